package caller

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Sentinel errors of requests without a whole answer; test with errors.Is.
var (
	// ErrNotRun: no backend server ran the request and none will.
	ErrNotRun = errors.New("not run")
	// ErrUnknown: the request may have been run.
	ErrUnknown = errors.New("outcome unknown")
	// ErrOverContract: the customer asked for more work than its contract allows.
	ErrOverContract = errors.New("over contract")
	// ErrRejected: the request can't succeed as it is, because its credential,
	// path, key, size or form is wrong.
	ErrRejected = errors.New("rejected")
)

// Refusal is the error of a request without a whole answer.
type Refusal struct {
	// Status is the HTTP status; 0 without an answer, and 400 also for a request
	// that was not sent because it can't be written as HTTP.
	Status int
	// Outcome tells whether the request was run, all its sends considered.
	Outcome lagoonbarrow.Outcome
	// Reason is why; empty when the node gave none.
	Reason lagoonbarrow.Reason
	// Request is the id for the time line; empty when none was given.
	Request lagoonbarrow.RequestID
	// RetryAfter is the time that the node asked to wait; 0 without one.
	RetryAfter time.Duration
	// Sends counts the sends, including those that reached no node.
	Sends int
	// Text is the node's explanation.
	Text string
	// Err is the transport's error; nil when an answer came.
	Err error
}

// Error gives status, reason, outcome and request id.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("caller: %s", r.Outcome)
	if r.Status != 0 {
		text += fmt.Sprintf(", status %d", r.Status)
	}
	if r.Reason != lagoonbarrow.ReasonNone {
		text += ", reason " + string(r.Reason)
	}
	if r.Request != "" {
		text += ", request " + string(r.Request)
	}
	if r.Text != "" {
		text += ": " + r.Text
	}
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the transport's error, so that context errors can be tested.
func (r *Refusal) Unwrap() error {
	return r.Err
}

// Is matches the sentinel errors that the refusal stands for.
func (r *Refusal) Is(target error) bool {
	switch target {
	case ErrNotRun:
		return r.Outcome == lagoonbarrow.OutcomeNotRun
	case ErrUnknown:
		return r.Outcome != lagoonbarrow.OutcomeNotRun
	case ErrOverContract:
		return r.overContract()
	case ErrRejected:
		return r.rejected()
	default:
		return false
	}
}

func (r *Refusal) overContract() bool {
	return r.Status == statusTooManyRequests && !errors.Is(r.Err, errNoOutcome)
}

// rejected reports whether the same request would be refused again. An answer
// without an outcome comes from elsewhere and says nothing of that.
func (r *Refusal) rejected() bool {
	if errors.Is(r.Err, errNoOutcome) {
		return false
	}
	switch r.Status {
	case statusBadRequest, statusUnauthorized, statusForbidden, statusTooLarge,
		statusMismatch, statusHeaderTooLarge, statusLoop:
		return true
	default:
		return false
	}
}
