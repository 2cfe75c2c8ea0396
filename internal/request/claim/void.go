package claim

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// maxVoidTries is the maximum number of writes of one VoidAttempt.
const maxVoidTries = 5

// VoidAttempt implements lagoonbarrow.Claims. It returns nil only when the row
// is voided at a version above the attempt's expected one. The attempt's claim
// write then has an old version and can no longer succeed, and no other attempt
// of the key has run. ErrKeyMismatch means that the attempt did not and will not run,
// because a request with different content has completed under the key. All other
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
	for try := range maxVoidTries {
		var found lagoonbarrow.Claim
		var resolved bool
		found, resolved, err = c.voidOnce(ctx, call, wanted)
		if resolved {
			c.recordVoidAttempt(call, err)
			return found, err
		}
		if try+1 == maxVoidTries || !sleepContext(ctx, c.retryDelay(try)) {
			break
		}
	}
	c.recordEvent(event.ClaimUnknown, call.Request, call.Customer, "an attempt could not be voided")
	return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "claim: void attempt: %v", err)
}

// voidOnce makes one write and, after a conflict or a lost answer, one read. It
// reports whether the attempt's outcome is resolved.
func (c *Claims) voidOnce(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, bool, error) {
	id := identityOf(call)
	version, err := c.put(ctx, id, wanted, call.ExpectedVersion)
	if err == nil {
		return wanted.toClaim(id, version), true, nil
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return lagoonbarrow.Claim{}, false, err
	}
	current, readErr := c.read(ctx, id)
	if readErr != nil {
		return lagoonbarrow.Claim{}, false, readErr
	}
	if current.version <= call.ExpectedVersion {
		// The void may still be in flight, and so may the claim: write the void again.
		return lagoonbarrow.Claim{}, false, err
	}
	if current.decodeErr != nil {
		return lagoonbarrow.Claim{}, false, current.decodeErr
	}
	found, err := c.classifyRow(id, current, wanted)
	if errors.Is(err, lagoonbarrow.ErrVoided) {
		err = nil
	}
	return found, true, err
}

// retryDelay returns the wait before the next try. The delay doubles from
// Config.RetryDelay up to Config.RetryDelayMax, and the wait is random between
// half the delay and the whole delay.
func (c *Claims) retryDelay(try int) time.Duration {
	delay := c.config.RetryDelay
	for range try {
		delay = min(2*delay, c.config.RetryDelayMax)
	}
	return delay/2 + time.Duration(c.random(int64(delay/2)+1))
}

// sleepContext waits for the delay. It returns false when ctx ends first.
func sleepContext(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
