package admission

import (
	"context"
	"time"

	"lagoonbarrow"
)

// DownstreamTimer is implemented by the gate's permits. It takes the time that
// a call waits for calls to other services out of its measured latency, so that a
// slow downstream service does not lower this backend server's limit.
type DownstreamTimer interface {
	// Downstream notes the start of a downstream call; the function it returns
	// notes its end and may be called more than once.
	Downstream() (done func())
}

// permit implements lagoonbarrow.Permit. Gate.mu guards its fields but ctx.
type permit struct {
	gate  *Gate
	work  lagoonbarrow.Work
	lane  *lane
	op    *operation
	ctx   context.Context
	start time.Time
	// sequence orders permits by their start.
	sequence uint64
	cancel   func(cause error)

	released    bool
	preempted   bool
	preemptedAt time.Time
	// downstream counts the downstream calls under way; away is the time during
	// which there was at least one, awaySince the start of the present such time.
	downstream int
	away       time.Duration
	awaySince  time.Time

	prev, next *permit
}

var (
	_ lagoonbarrow.Permit = (*permit)(nil)
	_ DownstreamTimer     = (*permit)(nil)
)

// Context is cancelled with cause ErrPreempted when more important work takes the slot.
func (p *permit) Context() context.Context {
	return p.ctx
}

// Release frees the slot. Only the first call counts.
func (p *permit) Release(served bool) {
	if p.gate.release(p, served) {
		p.cancel(nil)
	}
}

// Downstream notes the start of a downstream call.
func (p *permit) Downstream() (done func()) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if p.downstream == 0 {
		p.awaySince = p.gate.config.Clock.Now()
	}
	p.downstream++
	ended := false
	return func() {
		p.gate.mu.Lock()
		defer p.gate.mu.Unlock()
		if ended {
			return
		}
		ended = true
		p.endDownstream(p.gate.config.Clock.Now())
	}
}

func (p *permit) endDownstream(now time.Time) {
	p.downstream--
	if p.downstream == 0 {
		p.away += now.Sub(p.awaySince)
	}
}

// times returns how long the slot was held, and how much of that the backend
// server itself took.
func (p *permit) times(now time.Time) (held, own time.Duration) {
	held = now.Sub(p.start)
	own = held - p.away
	if p.downstream > 0 {
		own -= now.Sub(p.awaySince)
	}
	return held, max(own, 0)
}

// permitList is a list of permits in the order in which they were added.
type permitList struct {
	first, last *permit
	length      int
}

func (l *permitList) push(p *permit) {
	p.prev = l.last
	if p.prev == nil {
		l.first = p
	} else {
		p.prev.next = p
	}
	l.last = p
	l.length++
}

func (l *permitList) remove(p *permit) {
	if p.prev == nil {
		l.first = p.next
	} else {
		p.prev.next = p.next
	}
	if p.next == nil {
		l.last = p.prev
	} else {
		p.next.prev = p.prev
	}
	p.prev = nil
	p.next = nil
	l.length--
}
