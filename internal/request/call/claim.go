package call

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/claim"
	"lagoonbarrow/pkg/event"
)

// voidTimeout bounds the voiding of an attempt whose answer was lost. Voiding continues
// after the request's deadline, so the caller can still receive "not run" if it is true.
const voidTimeout = 2 * time.Second

// voidAttempt voids an attempt at an at-most-once request whose answer was lost. If
// another attempt holds or ended the claim, it returns the answer of that claim.
func (l *retryLoop) voidAttempt(ctx context.Context, sent *lagoonbarrow.Call) *lagoonbarrow.Answer {
	voidCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	row, err := l.caller.config.Claims.VoidAttempt(voidCtx, sent)
	switch {
	case err == nil:
		answer := lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = row.Version
		return answer
	case errors.Is(err, lagoonbarrow.ErrClaimed):
		return l.caller.awaitClaim(ctx, sent, row)
	case errors.Is(err, lagoonbarrow.ErrKeyMismatch):
		// The row is already past the version that the attempt expected.
		return lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonKeyMismatch)
	default:
		return unknownAnswer(sent.ID, lagoonbarrow.ReasonPlatform)
	}
}

// awaitClaim waits for the end of the claim on the key and answers from its row.
func (c *Caller) awaitClaim(ctx context.Context, sent *lagoonbarrow.Call, row lagoonbarrow.Claim) *lagoonbarrow.Answer {
	key := claimKey{
		customer: sent.Customer,
		key:      sent.Key,
	}
	// A row at or below the expected version was read before the key was claimed.
	// The attempt could still claim the key at that version.
	for row.State == lagoonbarrow.ClaimHeld || row.Version <= sent.ExpectedVersion {
		found, err := c.claimPoller.wait(ctx, key)
		if err != nil {
			c.record(event.ClaimUnknown, sent, row.Instance, "deadline passed while another attempt held the key")
			return unknownAnswer(sent.ID, lagoonbarrow.ReasonClaimed)
		}
		row = found
	}
	return c.answerFromClaim(sent, row)
}

// answerFromClaim answers an attempt from a row that no attempt holds any more. The row
// is past the version that the attempt expected, so the attempt can't run.
func (c *Caller) answerFromClaim(sent *lagoonbarrow.Call, row lagoonbarrow.Claim) *lagoonbarrow.Answer {
	switch {
	case row.State == lagoonbarrow.ClaimVoided:
		answer := lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = row.Version
		return answer
	case row.State == lagoonbarrow.ClaimCompleted && row.Digest != claim.Digest(sent):
		return lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonKeyMismatch)
	case row.State == lagoonbarrow.ClaimCompleted && row.Answer != nil:
		c.record(event.ClaimRepeated, sent, row.Instance, "")
		answer := *row.Answer
		answer.Call = sent.ID
		return &answer
	default:
		return unknownAnswer(sent.ID, lagoonbarrow.ReasonClaimed)
	}
}

func unknownAnswer(id lagoonbarrow.CallID, reason lagoonbarrow.Reason) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(id, reason)
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	return answer
}
