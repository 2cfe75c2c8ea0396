package call

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/claim"
	"lagoonbarrow/pkg/event"
)

// voidTimeout bounds the settling of a lost answer, which goes on after the
// request's deadline so that the caller hears "not run" where it is true.
const voidTimeout = 2 * time.Second

// voidAttempt settles an attempt at an at-most-once request whose answer was lost.
func (a *attempts) voidAttempt(ctx context.Context, sent *lagoonbarrow.Call) *lagoonbarrow.Answer {
	settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	row, err := a.caller.config.Claims.VoidAttempt(settling, sent)
	switch {
	case err == nil:
		answer := lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = row.Version
		return answer
	case errors.Is(err, lagoonbarrow.ErrClaimed):
		return a.caller.awaitClaim(ctx, sent, row)
	case errors.Is(err, lagoonbarrow.ErrMismatch):
		// The row has moved past the version that the attempt expected.
		return lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonMismatch)
	default:
		return unknown(sent.ID, lagoonbarrow.ReasonPlatform)
	}
}

// awaitClaim waits for the attempt that holds the key and gives its kept answer.
func (c *Caller) awaitClaim(ctx context.Context, sent *lagoonbarrow.Call, row lagoonbarrow.Claim) *lagoonbarrow.Answer {
	key := waitKey{
		customer: sent.Customer,
		key:      sent.Key,
	}
	// A row at the expected version or below was read before the claim was
	// taken. The attempt could still take the key at that version.
	for row.State == lagoonbarrow.ClaimHeld || row.Version <= sent.ExpectedRow {
		ended, err := c.waits.wait(ctx, key)
		if err != nil {
			c.record(event.ClaimUnknown, sent, row.Instance, "deadline passed while another attempt held the key")
			return unknown(sent.ID, lagoonbarrow.ReasonClaimed)
		}
		row = ended
	}
	return c.fromClaim(sent, row)
}

// fromClaim answers an attempt from a row that no attempt holds any more. The
// row has moved past the version that the attempt expected, so the attempt
// can't be run.
func (c *Caller) fromClaim(sent *lagoonbarrow.Call, row lagoonbarrow.Claim) *lagoonbarrow.Answer {
	switch {
	case row.State == lagoonbarrow.ClaimVoided:
		answer := lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = row.Version
		return answer
	case row.State == lagoonbarrow.ClaimCompleted && row.Digest != claim.Digest(sent):
		return lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonMismatch)
	case row.State == lagoonbarrow.ClaimCompleted && row.Answer != nil:
		c.record(event.ClaimRepeated, sent, row.Instance, "")
		answer := *row.Answer
		answer.Call = sent.ID
		return &answer
	default:
		return unknown(sent.ID, lagoonbarrow.ReasonClaimed)
	}
}

func unknown(id lagoonbarrow.CallID, reason lagoonbarrow.Reason) *lagoonbarrow.Answer {
	answer := lagoonbarrow.Refuse(id, reason)
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	return answer
}
