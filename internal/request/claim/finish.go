package claim

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// job is a write that ends a claim and is repeated until it is settled.
type job struct {
	of identity
	// row is what is written: completed or voided.
	row row
	// expected is the version of the row that is replaced.
	expected lagoonbarrow.RowVersion
	// claimWrite is the id of a claim write that may or may not have taken
	// effect at expected. If it did, the job goes on from the row it made.
	claimWrite string
	try        int
}

func (c *Claims) completeJob(held lagoonbarrow.Claim, answer *lagoonbarrow.Answer) *job {
	ended := c.endOf(held, lagoonbarrow.ClaimCompleted)
	ended.row.Answer = keep(answer, c.config.AnswerBytes)
	return ended
}

func (c *Claims) voidJob(held lagoonbarrow.Claim) *job {
	return c.endOf(held, lagoonbarrow.ClaimVoided)
}

func (c *Claims) endOf(held lagoonbarrow.Claim, state lagoonbarrow.ClaimState) *job {
	return &job{
		of: identity{
			customer: held.Customer,
			key:      held.Key,
		},
		row: row{
			State:    state,
			Attempt:  held.Attempt,
			Instance: c.config.Self,
			Digest:   held.Digest,
			Deadline: held.Deadline,
			WriteID:  newWriteID(),
		},
		expected: held.Version,
	}
}

// voidTakeJob voids a claim write whose fate is not known.
func (c *Claims) voidTakeJob(call *lagoonbarrow.Call, claimed row) *job {
	voided := claimed
	voided.State = lagoonbarrow.ClaimVoided
	voided.WriteID = newWriteID()
	return &job{
		of:         identityOf(call),
		row:        voided,
		expected:   call.ExpectedRow,
		claimWrite: claimed.WriteID,
	}
}

// Complete implements lagoonbarrow.Claims. It goes on when ctx is cancelled. It
// waits up to Config.CompleteTimeout; after an error other than ErrInvalid the
// write continues in the background. Only an answer with OutcomeDone can be
// kept: after another outcome the row must stay claimed or be voided.
func (c *Claims) Complete(ctx context.Context, held lagoonbarrow.Claim, answer *lagoonbarrow.Answer) error {
	if answer == nil || answer.Outcome != lagoonbarrow.OutcomeDone {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: complete without the backend server's answer")
	}
	if err := checkHeld(held); err != nil {
		return err
	}
	return c.end(ctx, c.completeJob(held, answer))
}

// Void implements lagoonbarrow.Claims. The caller must not run the attempt
// afterwards, whatever is returned. It waits and continues like Complete. nil
// means that the row is voided at the claim's version + 1; ErrConflict that it
// has moved on, so that no attempt may be made at that version.
func (c *Claims) Void(ctx context.Context, held lagoonbarrow.Claim) error {
	if err := checkHeld(held); err != nil {
		return err
	}
	return c.end(ctx, c.voidJob(held))
}

func checkHeld(held lagoonbarrow.Claim) error {
	if held.State != lagoonbarrow.ClaimHeld || held.Version == 0 || held.Attempt == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: not a held claim")
	}
	return nil
}

func (c *Claims) end(ctx context.Context, ending *job) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.CompleteTimeout)
	defer cancel()
	done, err := c.tryJob(ctx, ending)
	if done {
		return err
	}
	c.background.add(ending)
	return errors.Wrap(err, "claim: the write continues in the background")
}

// tryJob writes the job's row once and settles a lost answer by reading it
// back. It reports whether the job is over.
func (c *Claims) tryJob(ctx context.Context, ending *job) (bool, error) {
	_, err := c.put(ctx, ending.of, ending.row, ending.expected)
	if err == nil {
		c.noteEnded(ending)
		return true, nil
	}
	if errors.Is(err, lagoonbarrow.ErrInvalid) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		c.noteAbandoned(ending, err.Error())
		return true, err
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return false, err
	}
	present, readErr := c.read(ctx, ending.of)
	if readErr != nil {
		return false, readErr
	}
	return c.settleJob(ending, present, err)
}

// settleJob compares the present row with the job's after a write that had a
// conflict or whose answer was lost.
func (c *Claims) settleJob(ending *job, present stored, cause error) (bool, error) {
	switch {
	case present.damaged != nil:
		c.noteAbandoned(ending, present.damaged.Error())
		return true, present.damaged
	case present.row.WriteID == ending.row.WriteID:
		c.noteEnded(ending)
		return true, nil
	case present.version < ending.expected:
		c.noteAbandoned(ending, "the row was removed")
		return true, errors.Wrap(lagoonbarrow.ErrConflict, "claim: the row was removed")
	case present.version == ending.expected:
		// The write has not arrived.
		return false, cause
	case ending.claimWrite != "" && present.row.WriteID == ending.claimWrite:
		ending.expected = present.version
		ending.claimWrite = ""
		return false, cause
	case ending.row.State == lagoonbarrow.ClaimVoided && present.row.State == lagoonbarrow.ClaimVoided && present.version == ending.expected+1:
		// An operator voided the claim first.
		c.noteEnded(ending)
		return true, nil
	case ending.row.State == lagoonbarrow.ClaimVoided:
		// The row has moved on; the attempt's claim is not in force. Success
		// would say that another attempt may be made at the next version.
		c.noteEnded(ending)
		return true, errors.Wrapf(lagoonbarrow.ErrConflict, "claim: %s by attempt %s", present.row.State, present.row.Attempt)
	case overtaken(present.row, ending.row):
		ending.expected = present.version
		return false, cause
	default:
		c.noteAbandoned(ending, "another attempt holds the key")
		return true, errors.Wrapf(lagoonbarrow.ErrConflict, "claim: %s by attempt %s", present.row.State, present.row.Attempt)
	}
}

// overtaken reports whether an operator settled the claim while its holder was
// still at work, and no other attempt has claimed the key since. The answer
// shows that the request ran, so it replaces the operator's decision.
func overtaken(present, completed row) bool {
	if present.State == lagoonbarrow.ClaimVoided {
		return true
	}
	return present.State == lagoonbarrow.ClaimCompleted && present.Attempt == completed.Attempt
}

func (c *Claims) noteEnded(ended *job) {
	if ended.row.State == lagoonbarrow.ClaimCompleted {
		c.metrics.completed.Inc(1)
		return
	}
	c.metrics.voided.Inc(1)
}

// noteAbandoned reports a write that is given up: the row stays as it is and
// repeats hear "unknown".
func (c *Claims) noteAbandoned(ended *job, reason string) {
	c.metrics.abandoned.Inc(1)
	c.config.Logger.Warn("claim write given up", "customer", ended.of.customer, "attempt", ended.row.Attempt, "state", ended.row.State, "reason", reason)
	c.note(event.ClaimUnknown, "", ended.of.customer, string(ended.row.Attempt)+" not "+string(ended.row.State)+": "+reason)
}
