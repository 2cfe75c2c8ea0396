package execute

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"lagoonbarrow"
)

// idSeparator separates the id of a request from the suffix that a backend server
// adds for its own requests.
const idSeparator = '.'

// Run is a call that the backend server is running.
type Run struct {
	Priority lagoonbarrow.Priority
	// Customer is the customer that the call belongs to; empty without customers.
	Customer lagoonbarrow.CustomerID
	Deadline time.Time
	// Repeat is set if the call was sent to a server before.
	Repeat bool
	// threshold is the highest threshold in the answers to its downstream calls.
	threshold atomic.Uint32
	// failedCalls is set if a downstream call that the server made for it has failed.
	failedCalls atomic.Bool
	// called holds the services that the call has led to calls to.
	called calledServices
}

// maxCalledServices bounds the services that a run remembers.
const maxCalledServices = 32

// calledServices is a set of services.
type calledServices struct {
	mu    sync.Mutex
	names []lagoonbarrow.ServiceName
}

func (c *calledServices) add(name lagoonbarrow.ServiceName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.names) < maxCalledServices && !slices.Contains(c.names, name) {
		c.names = append(c.names, name)
	}
}

func (c *calledServices) list() []lagoonbarrow.ServiceName {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.names)
}

// AddCalled records the services in the answer to a downstream call.
func (r *Run) AddCalled(reports []lagoonbarrow.ServiceThreshold) {
	for _, report := range reports {
		if report.Called {
			r.called.add(report.Service)
		}
	}
}

// RaiseThreshold raises the threshold of the run to that of a downstream call's answer.
func (r *Run) RaiseThreshold(threshold lagoonbarrow.Threshold) {
	value := uint32(threshold)
	for {
		highest := r.threshold.Load()
		if value <= highest || r.threshold.CompareAndSwap(highest, value) {
			return
		}
	}
}

// Threshold returns the highest threshold in the answers to downstream calls.
func (r *Run) Threshold() lagoonbarrow.Threshold {
	return lagoonbarrow.Threshold(r.threshold.Load())
}

// MarkCallFailed records that a downstream call failed after all retries.
func (r *Run) MarkCallFailed() {
	r.failedCalls.Store(true)
}

// HasFailedCalls reports whether a downstream call failed after all retries.
func (r *Run) HasFailedCalls() bool {
	return r.failedCalls.Load()
}

// activeCalls holds the calls that the backend server is running.
type activeCalls struct {
	mu    sync.Mutex
	calls map[lagoonbarrow.RequestID]*Run
	total int
}

func newActiveCalls() *activeCalls {
	return &activeCalls{
		calls: map[lagoonbarrow.RequestID]*Run{},
	}
}

// add registers a running call, which the caller removes when it ends.
func (a *activeCalls) add(call *lagoonbarrow.Call, deadline time.Time) *Run {
	a.mu.Lock()
	defer a.mu.Unlock()
	run := &Run{
		Priority: call.Priority,
		Customer: call.Customer,
		Deadline: deadline,
		Repeat:   call.Repeat,
	}
	a.total++
	a.calls[call.Request] = run
	return run
}

func (a *activeCalls) remove(request lagoonbarrow.RequestID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.total--
	delete(a.calls, request)
}

func (a *activeCalls) count() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total
}

// parent returns the running call with the longest id that is a prefix of the
// request's id and ends before a separator.
func (a *activeCalls) parent(request lagoonbarrow.RequestID) (*Run, bool) {
	separator := strings.LastIndexByte(string(request), idSeparator)
	if separator < 0 {
		return nil, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for separator > 0 {
		if found, known := a.calls[request[:separator]]; known {
			return found, true
		}
		separator = strings.LastIndexByte(string(request[:separator]), idSeparator)
	}
	return nil, false
}

// notServedDetail returns the detail of an event about a call that was not served.
func notServedDetail(call *lagoonbarrow.Call, answer *lagoonbarrow.Answer, server lagoonbarrow.Announcement) string {
	detail := fmt.Sprintf("service=%s outcome=%s reason=%s status=%d offered=%t server=%s running=%d queued=%d limit=%d remaining=%s",
		call.Service, answer.Outcome, answer.Reason, answer.Status, answer.SentToServer, call.Server,
		answer.Load.Running, answer.Load.Queued, answer.Load.Limit, call.Remaining)
	if server.Limited {
		detail += fmt.Sprintf(" server-limit=%g", server.Limit)
	}
	return detail
}
