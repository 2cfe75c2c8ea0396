package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// voidTries bounds the writes of one VoidAttempt.
const voidTries = 5

// VoidAttempt implements lagoonbarrow.Claims. It returns nil only when the row
// is voided beyond the attempt's expected version: the attempt's claim write
// then carries an old version and can't win any more, and no other attempt of
// the key has run. ErrMismatch means that the attempt did not and will not run,
// because a request with other content has completed under the key. All other
// errors are ErrOutcomeUnknown or ErrInvalid.
func (c *Claims) VoidAttempt(ctx context.Context, call *lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
	if err := checkCall(call); err != nil {
		return lagoonbarrow.Claim{}, err
	}
	wanted := row{
		State:    lagoonbarrow.ClaimVoided,
		Attempt:  call.Attempt,
		Instance: c.config.Self,
		Digest:   Digest(call),
		Deadline: c.config.Now(),
		WriteID:  newWriteID(),
	}
	var err error
	for try := range voidTries {
		var found lagoonbarrow.Claim
		var settled bool
		found, settled, err = c.voidOnce(ctx, call, wanted)
		if settled {
			c.noteVoidAttempt(call, err)
			return found, err
		}
		if try+1 == voidTries || !pause(ctx, c.retryDelay(try)) {
			break
		}
	}
	c.note(event.ClaimUnknown, call.Request, call.Customer, "an attempt could not be voided")
	return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "claim: void attempt: %v", err)
}

// voidOnce makes one write and, unless it was answered with success, one
// read. It reports whether the attempt's fate is settled.
func (c *Claims) voidOnce(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, bool, error) {
	of := identityOf(call)
	version, err := c.put(ctx, of, wanted, call.ExpectedRow)
	if err == nil {
		return wanted.claim(of, version), true, nil
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return lagoonbarrow.Claim{}, false, err
	}
	present, readErr := c.read(ctx, of)
	if readErr != nil {
		return lagoonbarrow.Claim{}, false, readErr
	}
	if present.version <= call.ExpectedRow {
		// The void is still on its way, and so may be the claim: write it again.
		return lagoonbarrow.Claim{}, false, err
	}
	if present.damaged != nil {
		return lagoonbarrow.Claim{}, false, present.damaged
	}
	found, err := c.judge(of, present, wanted)
	if errors.Is(err, lagoonbarrow.ErrVoided) {
		err = nil
	}
	return found, true, err
}

// retryDelay doubles from Config.RetryDelay up to Config.RetryDelayMax; the
// wait is drawn from half of it to the whole.
func (c *Claims) retryDelay(try int) time.Duration {
	delay := c.config.RetryDelay
	for range try {
		delay = min(2*delay, c.config.RetryDelayMax)
	}
	return delay/2 + time.Duration(c.random(int64(delay/2)+1))
}

// pause waits and reports whether ctx still runs.
func pause(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
