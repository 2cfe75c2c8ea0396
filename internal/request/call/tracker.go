package call

import (
	"sync"

	"lagoonbarrow"
)

// tracker remembers what the calls below a running call met, so that its own
// answer can tell the caller. Its lock is never held together with another.
type tracker struct {
	mu    sync.Mutex
	calls map[lagoonbarrow.CallID]below
}

// below is what a running call met at the calls it made.
type below struct {
	threshold lagoonbarrow.Threshold
	// overloaded is set when a call was refused for overload or ran out of tokens.
	overloaded bool
	permit     lagoonbarrow.Permit
}

// downstreamTimer is implemented by permits that take the time in which a call
// waits for other services out of its measured latency.
type downstreamTimer interface {
	Downstream() (done func())
}

// startDownstream notes that a call begins to wait for another service; the
// function it returns notes the end.
func startDownstream(permit lagoonbarrow.Permit) (done func()) {
	timer, ok := permit.(downstreamTimer)
	if !ok {
		return func() {}
	}
	return timer.Downstream()
}

func newTracker() *tracker {
	return &tracker{
		calls: map[lagoonbarrow.CallID]below{},
	}
}

func (t *tracker) open(id lagoonbarrow.CallID, permit lagoonbarrow.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[id] = below{
		permit: permit,
	}
}

// wait notes that a running call begins to wait for a call below it.
func (t *tracker) wait(parent lagoonbarrow.CallID) (done func()) {
	t.mu.Lock()
	permit := t.calls[parent].permit
	t.mu.Unlock()
	return startDownstream(permit)
}

// note adds what an answer showed. Answers for calls that have ended are ignored.
func (t *tracker) note(parent lagoonbarrow.CallID, answer *lagoonbarrow.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	met, running := t.calls[parent]
	if !running {
		return
	}
	met.threshold = max(met.threshold, answer.Threshold)
	if answer.Reason == lagoonbarrow.ReasonShed || answer.Reason == lagoonbarrow.ReasonExhausted {
		met.overloaded = true
	}
	t.calls[parent] = met
}

func (t *tracker) close(id lagoonbarrow.CallID) below {
	t.mu.Lock()
	defer t.mu.Unlock()
	met := t.calls[id]
	delete(t.calls, id)
	return met
}
