package execute

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lagoonbarrow"
)

// idSeparator stands between the id of a request and the part that a backend
// server adds for its own requests.
const idSeparator = '.'

// Run is a call that the backend server is running.
type Run struct {
	Priority lagoonbarrow.Priority
	Deadline time.Time
	// Repeat is set if a server was sent the call before.
	Repeat bool
	// threshold is the highest threshold that its calls have met.
	threshold atomic.Uint32
	// failedCalls is set if a call that the server made for it has failed.
	failedCalls atomic.Bool
}

// Met notes the threshold that a call of this run has met.
func (r *Run) Met(threshold lagoonbarrow.Threshold) {
	met := uint32(threshold)
	for {
		highest := r.threshold.Load()
		if met <= highest || r.threshold.CompareAndSwap(highest, met) {
			return
		}
	}
}

// Threshold returns the highest threshold that the calls of this run have met.
func (r *Run) Threshold() lagoonbarrow.Threshold {
	return lagoonbarrow.Threshold(r.threshold.Load())
}

// CallFailed notes that a call made for this run has failed for good.
func (r *Run) CallFailed() {
	r.failedCalls.Store(true)
}

// HasFailedCalls reports whether a call made for this run has failed for good.
func (r *Run) HasFailedCalls() bool {
	return r.failedCalls.Load()
}

// running holds the calls that the backend server is running.
type running struct {
	mu    sync.Mutex
	calls map[lagoonbarrow.RequestID]*Run
	total int
}

func newRunning() *running {
	return &running{
		calls: map[lagoonbarrow.RequestID]*Run{},
	}
}

// add notes a running call until remove.
func (r *running) add(call *lagoonbarrow.Call, deadline time.Time) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &Run{
		Priority: call.Priority,
		Deadline: deadline,
		Repeat:   call.Repeat,
	}
	r.total++
	r.calls[call.Request] = run
	return run
}

func (r *running) remove(request lagoonbarrow.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total--
	delete(r.calls, request)
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

func (r *running) parent(request lagoonbarrow.RequestID) (*Run, bool) {
	separator := strings.LastIndexByte(string(request), idSeparator)
	if separator < 0 {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for separator > 0 {
		if found, known := r.calls[request[:separator]]; known {
			return found, true
		}
		separator = strings.LastIndexByte(string(request[:separator]), idSeparator)
	}
	return nil, false
}

// describe tells why a call was not served, for the log.
func describe(call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) string {
	return fmt.Sprintf("service=%s outcome=%s reason=%s status=%d offered=%t server=%s running=%d queued=%d limit=%d remaining=%s",
		call.Service, answer.Outcome, answer.Reason, answer.Status, answer.Offered, call.Server,
		answer.Load.Running, answer.Load.Queued, answer.Load.Limit, call.Remaining)
}
