package platform

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// requestResult is the result of one request, as the circuit breaker counts it.
type requestResult int

const (
	// resultAnswered means that the platform served the request, whatever the outcome.
	resultAnswered requestResult = iota
	// resultLimited means that the platform limited the rate of requests.
	resultLimited
	// resultFailed means that no valid response arrived.
	resultFailed
	// resultNotSent means that no request was sent.
	resultNotSent
)

// permit allows one request. The results of requests whose epoch is from before the
// breaker last opened are ignored.
type permit struct {
	epoch uint64
}

// grant is what a waiting request receives: a permit, or the error if it is refused.
type grant struct {
	permit permit
	err    error
}

// gate limits the requests in flight and implements the circuit breaker. After a
// recovery the limit starts at one and grows by one with each served request, so that
// the recovered platform does not receive a burst.
type gate struct {
	concurrency  int
	failureLimit int
	maxWaiting   int

	mutex    sync.Mutex
	open     bool
	stopped  bool
	epoch    uint64
	failures int
	// confirmed is false from a successful probe until the next served request. During
	// this time a single failure opens the breaker again.
	confirmed bool
	limit     int
	inFlight  int
	waiting   []chan grant
	// opened wakes probeWhileDown when the breaker opens.
	opened chan struct{}
	// onChange is called without the lock when the breaker opens or closes.
	onChange func(up bool)
}

func newGate(config Config, onChange func(up bool)) *gate {
	return &gate{
		concurrency:  config.Concurrency,
		failureLimit: config.FailureLimit,
		maxWaiting:   config.MaxWaiting,
		confirmed:    true,
		limit:        config.Concurrency,
		opened:       make(chan struct{}, 1),
		onChange:     onChange,
	}
}

func (g *gate) available() bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return !g.open && !g.stopped
}

// refusalError returns the error with which requests are refused immediately, or nil.
// The caller holds the lock.
func (g *gate) refusalError() error {
	if g.stopped {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: client is stopped")
	}
	if g.open {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: circuit breaker is open")
	}
	return nil
}

// acquire waits for a permit. All its errors wrap ErrUnavailable.
func (g *gate) acquire(ctx context.Context) (permit, error) {
	if err := ctx.Err(); err != nil {
		return permit{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", err)
	}
	g.mutex.Lock()
	if err := g.refusalError(); err != nil {
		g.mutex.Unlock()
		return permit{}, err
	}
	if g.inFlight < g.limit && len(g.waiting) == 0 {
		g.inFlight++
		acquired := permit{
			epoch: g.epoch,
		}
		g.mutex.Unlock()
		return acquired, nil
	}
	if len(g.waiting) >= g.maxWaiting {
		g.mutex.Unlock()
		return permit{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: too many requests wait")
	}
	granted := make(chan grant, 1)
	g.waiting = append(g.waiting, granted)
	g.mutex.Unlock()
	return g.wait(ctx, granted)
}

func (g *gate) wait(ctx context.Context, granted chan grant) (permit, error) {
	select {
	case got := <-granted:
		return got.permit, got.err
	case <-ctx.Done():
	}
	if g.withdraw(granted) {
		return permit{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: not sent: %v", ctx.Err())
	}
	// The grant arrived at the same time. It is used, because it may hold a permit.
	got := <-granted
	return got.permit, got.err
}

// withdraw removes a waiting request. It reports whether the request was still waiting.
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

// release returns a permit, records the result of its request and admits waiting requests.
func (g *gate) release(acquired permit, result requestResult) {
	g.mutex.Lock()
	g.inFlight--
	opened := false
	if acquired.epoch == g.epoch && !g.open {
		opened = g.recordResult(result)
	}
	g.admitWaiting()
	g.mutex.Unlock()
	if opened {
		g.onChange(false)
	}
}

// recordResult counts a result and reports whether it opened the breaker. The caller
// holds the lock.
func (g *gate) recordResult(result requestResult) bool {
	switch result {
	case resultAnswered:
		g.failures = 0
		g.confirmed = true
		g.limit = min(g.limit+1, g.concurrency)
		return false
	case resultLimited:
		g.failures = 0
		g.limit = max(g.limit/2, 1)
		return false
	case resultNotSent:
		return false
	}
	g.failures++
	if g.confirmed && g.failures < g.failureLimit {
		return false
	}
	g.openBreaker()
	return true
}

// openBreaker opens the breaker and fails all waiting requests. The caller holds
// the lock.
func (g *gate) openBreaker() {
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

// admitWaiting grants permits to waiting requests up to the limit. The caller holds
// the lock.
func (g *gate) admitWaiting() {
	for len(g.waiting) > 0 && g.inFlight < g.limit {
		g.inFlight++
		g.waiting[0] <- grant{
			permit: permit{
				epoch: g.epoch,
			},
		}
		g.waiting = g.waiting[1:]
	}
}

// closeBreaker closes the breaker after a successful probe.
func (g *gate) closeBreaker() {
	g.mutex.Lock()
	if !g.open || g.stopped {
		g.mutex.Unlock()
		return
	}
	g.open = false
	g.failures = 0
	g.confirmed = false
	g.limit = 1
	g.mutex.Unlock()
	g.onChange(true)
}

// stop refuses all further requests and fails the waiting ones.
func (g *gate) stop() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.stopped = true
	g.failWaiting(g.refusalError())
}
