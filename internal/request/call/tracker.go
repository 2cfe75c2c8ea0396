package call

import (
	"sync"

	"lagoonbarrow"
)

// tracker records the overload that running calls met in their downstream calls. The
// answer of the running call passes it on. No other lock is held together with mu.
type tracker struct {
	mu    sync.Mutex
	calls map[lagoonbarrow.CallID]trackedCall
}

// trackedCall summarizes the answers to a running call's downstream calls.
type trackedCall struct {
	// threshold is the highest admission threshold in the answers.
	threshold lagoonbarrow.Threshold
	// overloaded is set when a downstream call was refused for overload or ran out
	// of tokens.
	overloaded bool
	permit     lagoonbarrow.Permit
}

// downstreamTimer is implemented by permits that exclude the time in which a call
// waits for other services from its measured latency.
type downstreamTimer interface {
	Downstream() (done func())
}

// startDownstreamWait marks the start of a call's wait for another service. The
// returned function marks its end.
func startDownstreamWait(permit lagoonbarrow.Permit) (done func()) {
	timer, ok := permit.(downstreamTimer)
	if !ok {
		return func() {}
	}
	return timer.Downstream()
}

func newTracker() *tracker {
	return &tracker{
		calls: map[lagoonbarrow.CallID]trackedCall{},
	}
}

func (t *tracker) open(id lagoonbarrow.CallID, permit lagoonbarrow.Permit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls[id] = trackedCall{
		permit: permit,
	}
}

// startWait marks the start of a running call's wait for a downstream call. The
// returned function marks its end.
func (t *tracker) startWait(parent lagoonbarrow.CallID) (done func()) {
	t.mu.Lock()
	permit := t.calls[parent].permit
	t.mu.Unlock()
	return startDownstreamWait(permit)
}

// recordAnswer adds the answer to a downstream call. Answers for calls that have ended
// are ignored.
func (t *tracker) recordAnswer(parent lagoonbarrow.CallID, answer *lagoonbarrow.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked, running := t.calls[parent]
	if !running {
		return
	}
	tracked.threshold = max(tracked.threshold, answer.Threshold)
	if answer.Reason == lagoonbarrow.ReasonShed || answer.Reason == lagoonbarrow.ReasonExhausted {
		tracked.overloaded = true
	}
	t.calls[parent] = tracked
}

func (t *tracker) close(id lagoonbarrow.CallID) trackedCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	tracked := t.calls[id]
	delete(t.calls, id)
	return tracked
}
