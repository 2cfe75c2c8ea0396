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

// readTries bounds the reads that settle one lost answer.
const readTries = 3

// Claims implements lagoonbarrow.Claims over a lagoonbarrow.Table.
type Claims struct {
	config     Config
	attempts   *attempts
	metrics    *metrics
	background *background
	// random returns a number from 0 up to, but without, its argument.
	random   func(int64) int64
	stopOnce sync.Once
}

// New returns Claims. The background writes begin with Start.
func New(config Config) *Claims {
	config = config.withDefaults()
	c := &Claims{
		config:   config,
		attempts: newAttempts(),
		metrics:  newMetrics(config.Scope),
		random:   rand.Int64N,
	}
	c.background = newBackground(c)
	return c
}

// Start begins the background writes.
func (c *Claims) Start() error {
	if c.config.Table == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "claim: a table is required")
	}
	c.background.start()
	return nil
}

// Stop waits up to Config.StopTimeout for the background writes. Each write
// that is given up is reported by an event, and its row stays claimed.
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

// Take implements lagoonbarrow.Claims. An attempt is taken at most once: a
// second Take of the same attempt in this process returns ErrClaimed without
// reading or writing. After any error the attempt must not run. ErrDeadline
// means that the deadline has passed.
//
// With ErrClaimed and the state completed, the claim holds the answer for the
// repeat. ErrClaimed with version 0 means that a row exists but could not be
// read.
func (c *Claims) Take(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) (lagoonbarrow.Claim, error) {
	if err := checkCall(call); err != nil {
		return lagoonbarrow.Claim{}, err
	}
	now := c.config.Now()
	if !now.Before(deadline) {
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrDeadline, "claim: take")
	}
	if !c.attempts.begin(call.Attempt, now, deadline) {
		c.note(event.ClaimRefused, call.Request, call.Customer, "the attempt was already taken here")
		return unreadable(identityOf(call)), errors.Wrap(lagoonbarrow.ErrClaimed, "claim: duplicate of an attempt")
	}
	wanted := row{
		State:    lagoonbarrow.ClaimHeld,
		Attempt:  call.Attempt,
		Instance: c.config.Self,
		Digest:   Digest(call),
		Deadline: deadline,
		WriteID:  newWriteID(),
	}
	held, err := c.take(ctx, call, wanted)
	if err != nil {
		c.noteRefused(call, held, err)
		return held, err
	}
	return c.confirm(call, held, deadline)
}

// confirm checks the deadline again: the process may have been paused, and the
// claim must not run late. The claim is then voided in the background.
func (c *Claims) confirm(call *lagoonbarrow.Call, held lagoonbarrow.Claim, deadline time.Time) (lagoonbarrow.Claim, error) {
	if !c.config.Now().Before(deadline) {
		c.background.add(c.voidJob(held))
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrDeadline, "claim: taken too late")
	}
	c.metrics.taken.Inc(1)
	c.note(event.ClaimTaken, call.Request, call.Customer, string(call.Attempt))
	return held, nil
}

// take writes the claim at exactly the expected version.
func (c *Claims) take(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	of := identityOf(call)
	version, err := c.put(ctx, of, wanted, call.ExpectedRow)
	switch {
	case err == nil:
		return wanted.claim(of, version), nil
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return c.afterConflict(ctx, call, wanted)
	case errors.Is(err, lagoonbarrow.ErrOutcomeUnknown):
		return c.afterLostAnswer(ctx, call, wanted)
	default:
		return lagoonbarrow.Claim{}, errors.Wrap(err, "claim: take")
	}
}

// afterConflict finds out which row kept the claim from being taken. The claim
// write had no effect.
func (c *Claims) afterConflict(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	of := identityOf(call)
	present, err := c.read(ctx, of)
	if err != nil {
		// A row exists, and it may show that the request ran: "not run" would be wrong.
		return unreadable(of), errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: the row can't be read: %v", err)
	}
	if present.version <= call.ExpectedRow {
		return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "claim: the row was removed")
	}
	return c.judge(of, present, wanted)
}

// afterLostAnswer settles a claim write that may have taken effect.
func (c *Claims) afterLostAnswer(ctx context.Context, call *lagoonbarrow.Call, wanted row) (lagoonbarrow.Claim, error) {
	of := identityOf(call)
	present, err := c.read(ctx, of)
	if err == nil && present.version > call.ExpectedRow {
		return c.judge(of, present, wanted)
	}
	// The table can't be read, or the write may still be on its way. The
	// attempt must not run, whatever becomes of the write.
	c.background.add(c.voidTakeJob(call, wanted))
	if err != nil {
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrUnavailable, "claim: the row can't be read: %v", err)
	}
	return lagoonbarrow.Claim{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "claim: the claim write did not arrive in time")
}

// judge compares the present row, which is beyond the expected version, with
// the claim that was to be written.
func (c *Claims) judge(of identity, present stored, wanted row) (lagoonbarrow.Claim, error) {
	if present.damaged != nil {
		return unreadable(of), errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: %v", present.damaged)
	}
	found := present.row.claim(of, present.version)
	switch {
	case present.row.WriteID == wanted.WriteID:
		return found, nil
	case present.row.State == lagoonbarrow.ClaimVoided:
		return found, errors.Wrapf(lagoonbarrow.ErrVoided, "claim: voided at version %d", present.version)
	case present.row.State == lagoonbarrow.ClaimCompleted && present.row.Digest != wanted.Digest:
		found.Answer = nil
		return found, errors.Wrap(lagoonbarrow.ErrMismatch, "claim: take")
	default:
		return found, errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: %s by attempt %s", present.row.State, present.row.Attempt)
	}
}

// unreadable stands for a row that exists and whose content is not known.
func unreadable(of identity) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		Customer: of.customer,
		Key:      of.key,
		State:    lagoonbarrow.ClaimHeld,
	}
}

// Lookup implements lagoonbarrow.Claims.
func (c *Claims) Lookup(ctx context.Context, customer lagoonbarrow.CustomerID, key string) (lagoonbarrow.Claim, error) {
	of := identity{
		customer: customer,
		key:      key,
	}
	present, err := c.read(ctx, of)
	if err != nil {
		return lagoonbarrow.Claim{}, err
	}
	if present.version == 0 {
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrNotFound, "claim: %s", of.rowKey())
	}
	if present.damaged != nil {
		return lagoonbarrow.Claim{}, present.damaged
	}
	return present.row.claim(of, present.version), nil
}
