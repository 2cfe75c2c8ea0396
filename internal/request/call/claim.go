package call

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// voidTimeout bounds the settling of a lost answer, which goes on after the
	// request's deadline so that the caller hears "not run" where it is true.
	voidTimeout = 2 * time.Second
	// firstLookup and lastLookup bound the growing time between two looks at a
	// claim that another attempt holds.
	firstLookup = 50 * time.Millisecond
	lastLookup  = 800 * time.Millisecond
)

// voidAttempt settles an attempt at an at-most-once request whose answer was lost.
func (a *attempts) voidAttempt(ctx context.Context, sent *lagoonbarrow.Call) *lagoonbarrow.Answer {
	settling, cancel := context.WithTimeout(context.WithoutCancel(ctx), voidTimeout)
	defer cancel()
	claim, err := a.caller.config.Claims.VoidAttempt(settling, sent)
	if err == nil {
		answer := lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = claim.Version
		a.caller.record(event.ClaimVoided, sent, "", "answer lost")
		return answer
	}
	if errors.Is(err, lagoonbarrow.ErrClaimed) {
		return a.caller.awaitClaim(ctx, sent, claim)
	}
	a.caller.record(event.ClaimUnknown, sent, "", err.Error())
	return unknown(sent.ID, lagoonbarrow.ReasonPlatform)
}

// awaitClaim waits for the attempt that holds the key and gives its kept answer.
func (c *Caller) awaitClaim(ctx context.Context, sent *lagoonbarrow.Call, claim lagoonbarrow.Claim) *lagoonbarrow.Answer {
	wait := firstLookup
	for claim.State == lagoonbarrow.ClaimHeld {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			c.record(event.ClaimUnknown, sent, claim.Instance, "deadline passed while another attempt held the key")
			return unknown(sent.ID, lagoonbarrow.ReasonClaimed)
		case <-timer.C:
		}
		wait = min(2*wait, lastLookup)
		next, err := c.config.Claims.Lookup(ctx, sent.Customer, sent.Key)
		if err == nil {
			claim = next
		}
	}
	if claim.State == lagoonbarrow.ClaimCompleted && claim.Answer != nil {
		c.record(event.ClaimRepeated, sent, claim.Instance, "")
		answer := *claim.Answer
		answer.Call = sent.ID
		return &answer
	}
	if claim.State == lagoonbarrow.ClaimVoided {
		// The row has moved past the version that the attempt expected, so the
		// attempt can't be run any more.
		answer := lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = claim.Version
		return answer
	}
	return unknown(sent.ID, lagoonbarrow.ReasonClaimed)
}

func unknown(id lagoonbarrow.CallID, reason lagoonbarrow.Reason) *lagoonbarrow.Answer {
	answer := lagoonbarrow.Refuse(id, reason)
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	return answer
}
