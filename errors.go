package lagoonbarrow

import "github.com/pkg/errors"

// Sentinel errors; test for them with errors.Is.
var (
	// ErrNotFound: the row, object, contract or instance does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a compare-and-set found another version.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable: the platform can't be reached; nothing was done.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrOutcomeUnknown: a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("outcome unknown")
	// ErrNotSent: a call could not be sent; it was not run.
	ErrNotSent = errors.New("call not sent")
	// ErrAnswerLost: a call was sent, but no complete answer arrived.
	ErrAnswerLost = errors.New("answer lost")
	// ErrShed: the call was refused by the admission threshold, a full queue or another
	// limit of the node.
	ErrShed = errors.New("shed")
	// ErrDeadline: the deadline has passed or can't be met.
	ErrDeadline = errors.New("deadline passed")
	// ErrPreempted: more important work took the slot.
	ErrPreempted = errors.New("preempted by more important work")
	// ErrExhausted: no retry token is left.
	ErrExhausted = errors.New("retry tokens exhausted")
	// ErrNoInstance: no instance of the service is known or usable.
	ErrNoInstance = errors.New("no instance of the service")
	// ErrInvalid: the input does not have the required form.
	ErrInvalid = errors.New("invalid")
	// ErrUnauthenticated: the credential is unknown.
	ErrUnauthenticated = errors.New("unauthenticated")
	// ErrRateExceeded: the customer has used up its rate.
	ErrRateExceeded = errors.New("rate exceeded")
	// ErrVoided: the attempt was declared not run and must not run.
	ErrVoided = errors.New("attempt voided")
	// ErrClaimed: another attempt holds the key.
	ErrClaimed = errors.New("key is claimed by another attempt")
	// ErrKeyMismatch: the key was used for a request with other content.
	ErrKeyMismatch = errors.New("key was used for a different request")
	// ErrProtocolVersion: the peer speaks an unknown protocol version.
	ErrProtocolVersion = errors.New("unknown protocol version")
	// ErrInvalidFrame: a frame is damaged or out of order.
	ErrInvalidFrame = errors.New("damaged frame")
	// ErrTooLarge: a body or frame exceeds its limit.
	ErrTooLarge = errors.New("too large")
	// ErrHistoryLost: the platform no longer has the requested changes.
	ErrHistoryLost = errors.New("history lost")
	// ErrOrderUnknown: a report may be older or newer than another one; nothing was done.
	ErrOrderUnknown = errors.New("order unknown")
	// ErrStopping: the process is stopping.
	ErrStopping = errors.New("stopping")
)
