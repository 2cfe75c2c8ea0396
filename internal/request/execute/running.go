package execute

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"lagoonbarrow"
)

// idSeparator stands between the id of a request and the part that a backend
// server adds for its own requests.
const idSeparator = '.'

// Parent is a call that the backend server is running.
type Parent struct {
	Priority lagoonbarrow.Priority
	Deadline time.Time
}

// running holds the calls that the backend server is running.
type running struct {
	mu    sync.Mutex
	calls map[lagoonbarrow.RequestID]Parent
	total int
}

func newRunning() *running {
	return &running{
		calls: map[lagoonbarrow.RequestID]Parent{},
	}
}

// add notes a running call until the returned function is called.
func (r *running) add(call *lagoonbarrow.Call, deadline time.Time) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	r.calls[call.Request] = Parent{
		Priority: call.Priority,
		Deadline: deadline,
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.total--
		delete(r.calls, call.Request)
	}
}

func (r *running) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

func (r *running) parent(request lagoonbarrow.RequestID) (Parent, bool) {
	separator := strings.LastIndexByte(string(request), idSeparator)
	if separator < 0 {
		return Parent{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for separator > 0 {
		if found, known := r.calls[request[:separator]]; known {
			return found, true
		}
		separator = strings.LastIndexByte(string(request[:separator]), idSeparator)
	}
	return Parent{}, false
}

// describe tells why a call was not served, for the log.
func describe(call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) string {
	return fmt.Sprintf("service=%s outcome=%s reason=%s status=%d offered=%t server=%s running=%d queued=%d limit=%d remaining=%s",
		call.Service, answer.Outcome, answer.Reason, answer.Status, answer.Offered, call.Server,
		answer.Load.Running, answer.Load.Queued, answer.Load.Limit, call.Remaining)
}
