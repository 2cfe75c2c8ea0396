package claim

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

var _ lagoonbarrow.Claims = (*Claims)(nil)

// maxReadTries is the maximum number of tries of one read.
const maxReadTries = 3

// Claims implements lagoonbarrow.Claims over a lagoonbarrow.Table.
type Claims struct {
	config     Config
	attempts   *attemptSet
	metrics    *metrics
	background *backgroundWriter
	// random returns a number in [0, n) for its argument n.
	random   func(int64) int64
	stopOnce sync.Once
}

// New returns Claims. Start must be called before background writes run.
func New(config Config) *Claims {
	config = config.withDefaults()
	c := &Claims{
		config:   config,
		attempts: newAttemptSet(),
		metrics:  newMetrics(config.Scope),
		random:   rand.Int64N,
	}
	c.background = newBackgroundWriter(c)
	return c
}

// Start starts the background writes.
func (c *Claims) Start() error {
	if c.config.Table == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: a table is required")
	}
	c.background.start()
	return nil
}

// Stop waits up to Config.StopTimeout for the background writes. Each
// abandoned write is reported by an event, and its row stays claimed.
func (c *Claims) Stop() error {
	c.stopOnce.Do(c.background.stop)
	return nil
}

func identityOf(call *lagoonbarrow.Call) identity {
	return identity{
		customer: call.Customer,
		key:      call.Key,
	}
}

func checkCall(call *lagoonbarrow.Call) error {
	if call.Customer == "" || call.Key == "" || call.Attempt == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: customer, key and attempt are required")
	}
	return nil
}

// Acquire implements lagoonbarrow.Claims. An attempt can claim its key at most
// once: a second Acquire of the same attempt in this process returns ErrClaimed
// without reading or writing. After any error the attempt must not run.
// ErrDeadline means that the deadline has passed.
//
// With ErrClaimed and the state completed, the claim holds the answer for
// repeated requests. ErrClaimed with version 0 means that a row exists but
// could not be read.
func (c *Claims) Acquire(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) (lagoonbarrow.Claim, error) {
	if err := checkCall(call); err != nil {
		return lagoonbarrow.Claim{}, err
	}
	now := c.config.Now()
	if !now.Before(deadline) {
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrDeadline, "claim: take")
	}
	if !c.attempts.addIfAbsent(call.Attempt, now, deadline) {
		c.recordEvent(event.ClaimRefused, call.Request, call.Customer, "the attempt was already taken here")
		return unreadableClaim(identityOf(call)), errors.Wrap(lagoonbarrow.ErrClaimed, "claim: duplicate of an attempt")
	}
	wanted := row{
		State:    lagoonbarrow.ClaimHeld,
		Attempt:  call.Attempt,
		Instance: c.config.Self,
		Digest:   Digest(call),
		Deadline: deadline,
		WriteID:  newWriteID(),
	}
	claim, err := c.writeClaim(ctx, call, wanted)
	if err != nil {
		c.recordRefusal(call, claim, err)
		return claim, err
	}
	return c.confirm(call, claim, deadline)
}

// confirm checks the deadline again, because the process may have been paused
// during the write. A claim that is past its deadline must not run and is
// voided in the background.
func (c *Claims) confirm(call *lagoonbarrow.Call, claim lagoonbarrow.Claim, deadline time.Time) (lagoonbarrow.Claim, error) {
	if !c.config.Now().Before(deadline) {
		c.background.add(c.voidJob(claim))
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrDeadline, "claim: taken too late")
	}
	c.metrics.taken.Inc(1)
	c.recordEvent(event.ClaimTaken, call.Request, call.Customer, string(call.Attempt))
	return claim, nil
}

// writeClaim writes the claim if the row still has the expected version.
func (c *Claims) writeClaim(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	id := identityOf(call)
	version, err := c.put(ctx, id, wanted, call.ExpectedVersion)
	switch {
	case err == nil:
		return wanted.toClaim(id, version), nil
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return c.resolveConflict(ctx, call, wanted)
	case errors.Is(err, lagoonbarrow.ErrOutcomeUnknown):
		return c.resolveLostAnswer(ctx, call, wanted)
	default:
		return lagoonbarrow.Claim{}, errors.Wrap(err, "claim: take")
	}
}

// resolveConflict reads the row that a claim write conflicted with. The claim
// write had no effect.
func (c *Claims) resolveConflict(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	id := identityOf(call)
	current, err := c.read(ctx, id)
	if err != nil {
		// A row exists and may show that the request ran, so "not run" could be wrong.
		return unreadableClaim(id), errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: the row can't be read: %v", err)
	}
	if current.version <= call.ExpectedVersion {
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "claim: the row was removed")
	}
	return c.classifyRow(id, current, wanted)
}

// resolveLostAnswer handles a claim write that may have taken effect.
func (c *Claims) resolveLostAnswer(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	id := identityOf(call)
	current, err := c.read(ctx, id)
	if err == nil && current.version > call.ExpectedVersion {
		return c.classifyRow(id, current, wanted)
	}
	// The table can't be read, or the write may still be in flight. The
	// attempt must not run, even if the write takes effect later.
	c.background.add(c.voidUncertainJob(call, wanted))
	if err != nil {
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "claim: the row can't be read: %v", err)
	}
	return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "claim: the claim write did not arrive in time")
}

// classifyRow compares the current row, whose version is higher than the
// expected one, with the row that the caller tried to write.
func (c *Claims) classifyRow(id identity, current storedRow, wanted row) (lagoonbarrow.Claim, error) {
	if current.decodeErr != nil {
		return unreadableClaim(id), errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: %v", current.decodeErr)
	}
	found := current.row.toClaim(id, current.version)
	switch {
	case current.row.WriteID == wanted.WriteID:
		return found, nil
	case current.row.State == lagoonbarrow.ClaimVoided:
		return found, errors.Wrapf(lagoonbarrow.ErrVoided, "claim: voided at version %d", current.version)
	case current.row.State == lagoonbarrow.ClaimCompleted && current.row.Digest != wanted.Digest:
		found.Answer = nil
		return found, errors.Wrap(lagoonbarrow.ErrKeyMismatch, "claim: take")
	default:
		return found, errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: %s by attempt %s", current.row.State, current.row.Attempt)
	}
}

// unreadableClaim represents a row that exists but whose content is unknown.
func unreadableClaim(id identity) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		Customer: id.customer,
		Key:      id.key,
		State:    lagoonbarrow.ClaimHeld,
	}
}

// Lookup implements lagoonbarrow.Claims.
func (c *Claims) Lookup(ctx context.Context, customer lagoonbarrow.CustomerID, key string) (lagoonbarrow.Claim, error) {
	id := identity{
		customer: customer,
		key:      key,
	}
	current, err := c.read(ctx, id)
	if err != nil {
		return lagoonbarrow.Claim{}, err
	}
	if current.version == 0 {
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrNotFound, "claim: %s", id.rowKey())
	}
	if current.decodeErr != nil {
		return lagoonbarrow.Claim{}, current.decodeErr
	}
	return current.row.toClaim(id, current.version), nil
}
