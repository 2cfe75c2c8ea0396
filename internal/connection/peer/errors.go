package peer

import (
	"context"
	"time"

	"lagoonbarrow"
)

// outcomeError combines what a failed exchange means for the call (ErrNotSent or
// ErrAnswerLost) with the cause of the failure. errors.Is matches both.
type outcomeError struct {
	outcome error
	cause   error
}

// Error returns the outcome and the cause.
func (e *outcomeError) Error() string {
	return "peer: " + e.outcome.Error() + ": " + e.cause.Error()
}

// Unwrap returns the outcome and the cause.
func (e *outcomeError) Unwrap() []error {
	return []error{e.outcome, e.cause}
}

// notSent returns the error of a call that the callee can't have received whole.
func notSent(ctx context.Context, cause error) error {
	return &outcomeError{
		outcome: lagoonbarrow.ErrNotSent,
		cause:   preferContextError(ctx, cause),
	}
}

// answerLost returns the error of a call that may have run.
func answerLost(ctx context.Context, cause error) error {
	return &outcomeError{
		outcome: lagoonbarrow.ErrAnswerLost,
		cause:   preferContextError(ctx, cause),
	}
}

// preferContextError returns the error of ctx if it has ended, and cause otherwise.
// The end of ctx closes the connection, and cause is then only a consequence of that.
func preferContextError(ctx context.Context, cause error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	// A network timeout can fire before the timer of the context.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return cause
}
