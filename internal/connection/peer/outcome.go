package peer

import (
	"context"
	"time"

	"lagoonbarrow"
)

// outcomeError tells what a failed exchange means for the call (ErrNotSent or
// ErrAnswerLost), and why it failed. errors.Is finds both.
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

// notSent returns an error for a call that the callee can't have received whole.
func notSent(ctx context.Context, cause error) error {
	return &outcomeError{
		outcome: lagoonbarrow.ErrNotSent,
		cause:   causeOf(ctx, cause),
	}
}

// answerLost returns an error for a call that may have been run.
func answerLost(ctx context.Context, cause error) error {
	return &outcomeError{
		outcome: lagoonbarrow.ErrAnswerLost,
		cause:   causeOf(ctx, cause),
	}
}

// causeOf prefers the end of the context, which closes the connection, over the
// network error that follows from it.
func causeOf(ctx context.Context, cause error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	// The network's timers can fire before the context's.
	if deadline, has := ctx.Deadline(); has && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return cause
}
