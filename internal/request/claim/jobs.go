package claim

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// job is a write that completes or voids a claim. It is tried again until its
// result is known.
type job struct {
	id identity
	// row is the completed or voided row to write.
	row row
	// expected is the version of the row to replace.
	expected lagoonbarrow.RowVersion
	// claimWriteID is the id of a claim write that may have taken effect at the
	// expected version. If it did, the job replaces the row that it wrote.
	claimWriteID string
	tries        int
}

func (c *Claims) completeJob(claim lagoonbarrow.Claim, answer *lagoonbarrow.Answer) *job {
	j := c.newEndJob(claim, lagoonbarrow.ClaimCompleted)
	j.row.Answer = newStoredAnswer(answer, c.config.AnswerBytes)
	return j
}

func (c *Claims) voidJob(claim lagoonbarrow.Claim) *job {
	return c.newEndJob(claim, lagoonbarrow.ClaimVoided)
}

func (c *Claims) newEndJob(claim lagoonbarrow.Claim, state lagoonbarrow.ClaimState) *job {
	return &job{
		id: identity{
			customer: claim.Customer,
			key:      claim.Key,
		},
		row: row{
			State:    state,
			Attempt:  claim.Attempt,
			Instance: c.config.Self,
			Digest:   claim.Digest,
			Deadline: claim.Deadline,
			WriteID:  newWriteID(),
		},
		expected: claim.Version,
	}
}

// voidUncertainJob returns a job that voids a claim write whose outcome is unknown.
func (c *Claims) voidUncertainJob(call *lagoonbarrow.Call, claimed row) *job {
	voided := claimed
	voided.State = lagoonbarrow.ClaimVoided
	voided.WriteID = newWriteID()
	return &job{
		id:           identityOf(call),
		row:          voided,
		expected:     call.ExpectedVersion,
		claimWriteID: claimed.WriteID,
	}
}

// Complete implements lagoonbarrow.Claims. It ignores the cancellation of ctx
// and waits up to Config.CompleteTimeout. After an error other than ErrInvalid
// the write continues in the background. Only an answer with OutcomeDone can be
// stored: after another outcome the row must stay claimed or be voided.
func (c *Claims) Complete(ctx context.Context, claim lagoonbarrow.Claim, answer *lagoonbarrow.Answer) error {
	if answer == nil || answer.Outcome != lagoonbarrow.OutcomeDone {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: complete without the backend server's answer")
	}
	if err := checkHeld(claim); err != nil {
		return err
	}
	return c.end(ctx, c.completeJob(claim, answer))
}

// Void implements lagoonbarrow.Claims. The caller must not run the attempt
// afterwards, whatever Void returns. It waits and continues like Complete. nil
// means that the row is voided at the claim's version + 1. ErrConflict means
// that the row has changed otherwise, and no attempt may be made at that version.
func (c *Claims) Void(ctx context.Context, claim lagoonbarrow.Claim) error {
	if err := checkHeld(claim); err != nil {
		return err
	}
	return c.end(ctx, c.voidJob(claim))
}

func checkHeld(claim lagoonbarrow.Claim) error {
	if claim.State != lagoonbarrow.ClaimHeld || claim.Version == 0 || claim.Attempt == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: not a held claim")
	}
	return nil
}

func (c *Claims) end(ctx context.Context, j *job) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.config.CompleteTimeout)
	defer cancel()
	done, err := c.tryJob(ctx, j)
	if done {
		return err
	}
	c.background.add(j)
	return errors.Wrap(err, "claim: the write continues in the background")
}

// tryJob writes the job's row once and reads it back when the answer was lost
// or the write conflicted. It reports whether the job is done.
func (c *Claims) tryJob(ctx context.Context, j *job) (bool, error) {
	_, err := c.put(ctx, j.id, j.row, j.expected)
	if err == nil {
		c.countEnded(j)
		return true, nil
	}
	if errors.Is(err, lagoonbarrow.ErrInvalid) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		c.recordAbandoned(j, err.Error())
		return true, err
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return false, err
	}
	current, readErr := c.read(ctx, j.id)
	if readErr != nil {
		return false, readErr
	}
	return c.resolveJob(j, current, err)
}

// resolveJob compares the current row with the job's after a write that
// conflicted or whose answer was lost. It reports whether the job is done.
func (c *Claims) resolveJob(j *job, current storedRow, cause error) (bool, error) {
	switch {
	case current.decodeErr != nil:
		c.recordAbandoned(j, current.decodeErr.Error())
		return true, current.decodeErr
	case current.row.WriteID == j.row.WriteID:
		c.countEnded(j)
		return true, nil
	case current.version < j.expected:
		c.recordAbandoned(j, "the row was removed")
		return true, errors.Wrap(lagoonbarrow.ErrConflict, "claim: the row was removed")
	case current.version == j.expected:
		// The write has not arrived.
		return false, cause
	case j.claimWriteID != "" && current.row.WriteID == j.claimWriteID:
		j.expected = current.version
		j.claimWriteID = ""
		return false, cause
	case j.row.State == lagoonbarrow.ClaimVoided && current.row.State == lagoonbarrow.ClaimVoided && current.version == j.expected+1:
		// An operator voided the claim first.
		c.countEnded(j)
		return true, nil
	case j.row.State == lagoonbarrow.ClaimVoided:
		// Another write has replaced the row, and the attempt's claim is no longer
		// valid. Success would permit another attempt at the next version.
		c.countEnded(j)
		return true, errors.Wrapf(lagoonbarrow.ErrConflict, "claim: %s by attempt %s", current.row.State, current.row.Attempt)
	case settledByOperator(current.row, j.row):
		j.expected = current.version
		return false, cause
	default:
		c.recordAbandoned(j, "another attempt holds the key")
		return true, errors.Wrapf(lagoonbarrow.ErrConflict, "claim: %s by attempt %s", current.row.State, current.row.Attempt)
	}
}

// settledByOperator reports whether an operator settled the claim while its
// holder was still running, and no other attempt has claimed the key since. The
// answer shows that the request ran, so it replaces the operator's decision.
func settledByOperator(current, completed row) bool {
	if current.State == lagoonbarrow.ClaimVoided {
		return true
	}
	return current.State == lagoonbarrow.ClaimCompleted && current.Attempt == completed.Attempt
}

func (c *Claims) countEnded(j *job) {
	if j.row.State == lagoonbarrow.ClaimCompleted {
		c.metrics.completed.Inc(1)
		return
	}
	c.metrics.voided.Inc(1)
}

// recordAbandoned reports an abandoned write. The row stays unchanged, and
// repeated requests get the outcome "unknown".
func (c *Claims) recordAbandoned(j *job, reason string) {
	c.metrics.abandoned.Inc(1)
	c.config.Logger.Warn("claim write abandoned", "customer", j.id.customer, "attempt", j.row.Attempt, "state", j.row.State, "reason", reason)
	c.recordEvent(event.ClaimUnknown, "", j.id.customer, string(j.row.Attempt)+" not "+string(j.row.State)+": "+reason)
}
