package caller

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Sentinel errors of requests without a complete answer. Test for them with errors.Is.
var (
	// ErrNotRun reports that no backend server ran the request and none will.
	ErrNotRun = errors.New("not run")
	// ErrUnknown reports that the request may have been run.
	ErrUnknown = errors.New("outcome unknown")
	// ErrOverContract reports that the customer requested more work than its contract
	// allows.
	ErrOverContract = errors.New("over contract")
	// ErrRejected reports that the request can't succeed unchanged, because its
	// credential, path, key, size or format is invalid.
	ErrRejected = errors.New("rejected")
)

// Refusal is the error of a request without a complete answer.
type Refusal struct {
	// Status is the HTTP status, or 0 without an answer. It is also 400 for a request
	// that was not sent because it can't be encoded as HTTP.
	Status int
	// Outcome states whether the request was run by any of its sends.
	Outcome lagoonbarrow.Outcome
	// Reason is the node's reason, or empty if it gave none.
	Reason lagoonbarrow.Reason
	// Request is the request's id in the timeline, or empty if the answer has none.
	Request lagoonbarrow.RequestID
	// RetryAfter is the wait that the node requested, or 0.
	RetryAfter time.Duration
	// Sends is the number of sends, including those that reached no node.
	Sends int
	// Text is the node's explanation.
	Text string
	// Err is the underlying error, such as a transport or context error. It may be nil.
	Err error
}

// Error returns the outcome, status, reason, request id and explanation.
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

// Unwrap returns Err, which callers can test for context errors.
func (r *Refusal) Unwrap() error {
	return r.Err
}

// Is reports whether the refusal matches one of the sentinel errors of this package.
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
// without an outcome is not from a node, so its status does not count.
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
