package platform

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// verdict is what one request showed of the platform.
type verdict int

const (
	// answered: the platform served the request, whatever the result.
	answered verdict = iota
	// limited: the platform asked for fewer requests.
	limited
	// failed: no usable answer came.
	failed
	// unused: no request was made.
	unused
)

// ticket is the right to make one request. The epoch tells requests apart that
// began before the breaker last opened; their results no longer count.
type ticket struct {
	epoch uint64
}

// grant is what a waiting request gets: a ticket or the reason for none.
type grant struct {
	ticket ticket
	err    error
}

// gate bounds the requests under way and is the circuit breaker. After a
// recovery the bound starts at one and grows by one with each answer, so that
// the platform does not meet a burst when it returns.
type gate struct {
	concurrency  int
	failureLimit int
	waitLimit    int

	mutex    sync.Mutex
	open     bool
	stopped  bool
	epoch    uint64
	failures int
	// proven is unset from a probe's success until the next answer; one failure
	// in between opens the breaker again.
	proven  bool
	limit   int
	running int
	waiting []chan grant
	// opened wakes the prober.
	opened chan struct{}
	// changed is called outside the lock when the breaker opens or closes.
	changed func(up bool)
}

func newGate(config Config, changed func(up bool)) *gate {
	return &gate{
		concurrency:  config.Concurrency,
		failureLimit: config.FailureLimit,
		waitLimit:    config.Waiting,
		proven:       true,
		limit:        config.Concurrency,
		opened:       make(chan struct{}, 1),
		changed:      changed,
	}
}

func (g *gate) available() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.open && !g.stopped
}

// refused returns why requests are refused at once, or nil. The caller holds
// the lock.
func (g *gate) refused() error {
	if g.stopped {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: client is stopped")
	}
	if g.open {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: circuit breaker is open")
	}
	return nil
}

// acquire waits for room. Its errors are ErrUnavailable; nothing was sent.
func (g *gate) acquire(ctx context.Context) (ticket, error) {
	if err := ctx.Err(); err != nil {
		return ticket{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", err)
	}
	g.mutex.Lock()
	if err := g.refused(); err != nil {
		g.mutex.Unlock()
		return ticket{}, err
	}
	if g.running < g.limit && len(g.waiting) == 0 {
		g.running++
		taken := ticket{
			epoch: g.epoch,
		}
		g.mutex.Unlock()
		return taken, nil
	}
	if len(g.waiting) >= g.waitLimit {
		g.mutex.Unlock()
		return ticket{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: too many requests wait")
	}
	granted := make(chan grant, 1)
	g.waiting = append(g.waiting, granted)
	g.mutex.Unlock()
	return g.wait(ctx, granted)
}

func (g *gate) wait(ctx context.Context, granted chan grant) (ticket, error) {
	select {
	case got := <-granted:
		return got.ticket, got.err
	case <-ctx.Done():
	}
	if g.withdraw(granted) {
		return ticket{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", ctx.Err())
	}
	// The grant came at the same moment; the room is used.
	got := <-granted
	return got.ticket, got.err
}

// withdraw takes a waiting request back and reports whether it still waited.
func (g *gate) withdraw(granted chan grant) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for i, other := range g.waiting {
		if other == granted {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release returns the room and counts the request's result.
func (g *gate) release(taken ticket, result verdict) {
	g.mutex.Lock()
	g.running--
	opens := false
	if taken.epoch == g.epoch && !g.open {
		opens = g.count(result)
	}
	g.admitWaiting()
	g.mutex.Unlock()
	if opens {
		g.changed(false)
	}
}

// count notes a result and reports whether it opened the breaker. The caller
// holds the lock.
func (g *gate) count(result verdict) bool {
	switch result {
	case answered:
		g.failures = 0
		g.proven = true
		g.limit = min(g.limit+1, g.concurrency)
		return false
	case limited:
		g.failures = 0
		g.limit = max(g.limit/2, 1)
		return false
	case unused:
		return false
	}
	g.failures++
	if g.proven && g.failures < g.failureLimit {
		return false
	}
	g.openNow()
	return true
}

// openNow opens the breaker and fails all waiting requests. The caller holds
// the lock.
func (g *gate) openNow() {
	g.open = true
	g.epoch++
	g.failWaiting(errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: circuit breaker opened"))
	select {
	case g.opened <- struct{}{}:
	default:
	}
}

func (g *gate) failWaiting(err error) {
	for _, granted := range g.waiting {
		granted <- grant{
			err: err,
		}
	}
	g.waiting = nil
}

// admitWaiting admits waiting requests into free room. The caller holds the lock.
func (g *gate) admitWaiting() {
	for len(g.waiting) > 0 && g.running < g.limit {
		g.running++
		g.waiting[0] <- grant{
			ticket: ticket{
				epoch: g.epoch,
			},
		}
		g.waiting = g.waiting[1:]
	}
}

// recover closes the breaker after a successful probe.
func (g *gate) recover() {
	g.mutex.Lock()
	if !g.open || g.stopped {
		g.mutex.Unlock()
		return
	}
	g.open = false
	g.failures = 0
	g.proven = false
	g.limit = 1
	g.mutex.Unlock()
	g.changed(true)
}

// stop refuses all further requests and fails those that wait.
func (g *gate) stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = true
	g.failWaiting(g.refused())
}
