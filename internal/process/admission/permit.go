package admission

import (
	"context"
	"time"

	"lagoonbarrow"
)

// DownstreamTimer is implemented by the gate's permits. It excludes the time that a call
// waits for other services from its measured latency. Otherwise a slow downstream service
// would lower this backend server's limit.
type DownstreamTimer interface {
	// Downstream records the start of a downstream call. The returned function
	// records its end and may be called more than once.
	Downstream() (done func())
}

// permit implements lagoonbarrow.Permit. Gate.mu guards all fields except ctx.
type permit struct {
	gate  *Gate
	work  lagoonbarrow.Work
	lane  *lane
	op    *operation
	ctx   context.Context
	start time.Time
	// sequence numbers the permits in the order of their start.
	sequence uint64
	cancel   func(cause error)

	released    bool
	preempted   bool
	preemptedAt time.Time
	// downstreamCalls is the number of downstream calls in progress. downstreamTime is the
	// total time with at least one in progress, without the period since downstreamSince.
	downstreamCalls int
	downstreamTime  time.Duration
	downstreamSince time.Time

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

// Downstream records the start of a downstream call. The returned function records its end.
func (p *permit) Downstream() (done func()) {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	if p.downstreamCalls == 0 {
		p.downstreamSince = p.gate.config.Clock.Now()
	}
	p.downstreamCalls++
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
	p.downstreamCalls--
	if p.downstreamCalls == 0 {
		p.downstreamTime += now.Sub(p.downstreamSince)
	}
}

// durations returns how long the call has held its slot, and how much of that time it
// did not wait for downstream calls.
func (p *permit) durations(now time.Time) (slotTime, serverTime time.Duration) {
	slotTime = now.Sub(p.start)
	serverTime = slotTime - p.downstreamTime
	if p.downstreamCalls > 0 {
		serverTime -= now.Sub(p.downstreamSince)
	}
	return slotTime, max(serverTime, 0)
}

// permitList is a doubly linked list of permits in insertion order.
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
