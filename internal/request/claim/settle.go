package claim

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Settle implements lagoonbarrow.Claims. It returns ErrNotFound for a key
// without a row, and ErrConflict with the current row when that is not claimed
// or has another version. It returns ErrClaimed until the deadline and
// Config.SettleMargin have passed, because the holder may still run the request.
// ErrOutcomeUnknown means that the result of the write could not be read.
func (c *Claims) Settle(ctx context.Context, customer lagoonbarrow.CustomerID, key string, expected lagoonbarrow.RowVersion, ran bool) (lagoonbarrow.Claim, error) {
	id := identity{
		customer: customer,
		key:      key,
	}
	current, err := c.read(ctx, id)
	if err != nil {
		return lagoonbarrow.Claim{}, err
	}
	if err := c.checkSettle(id, current, expected); err != nil {
		return current.row.toClaim(id, current.version), err
	}
	wanted := current.row
	wanted.WriteID = newWriteID()
	wanted.State = lagoonbarrow.ClaimVoided
	if ran {
		wanted.State = lagoonbarrow.ClaimCompleted
		wanted.Answer = &storedAnswer{
			Status: http.StatusOK,
			Marker: AnswerSettled,
		}
	}
	settled, err := c.writeSettlement(ctx, id, wanted, expected)
	if err == nil {
		c.recordEvent(event.ClaimSettled, "", customer, key+" "+string(wanted.State))
	}
	return settled, err
}

func (c *Claims) checkSettle(id identity, current storedRow, expected lagoonbarrow.RowVersion) error {
	switch {
	case current.version == 0:
		return errors.Wrapf(lagoonbarrow.ErrNotFound, "claim: settle %s", id.rowKey())
	case current.decodeErr != nil:
		return current.decodeErr
	case current.version != expected:
		return errors.Wrapf(lagoonbarrow.ErrConflict, "claim: the row is at version %d", current.version)
	case current.row.State != lagoonbarrow.ClaimHeld:
		return errors.Wrapf(lagoonbarrow.ErrConflict, "claim: the row is %s", current.row.State)
	case c.config.Now().Before(current.row.Deadline.Add(c.config.SettleMargin)):
		return errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: may run until %s", current.row.Deadline)
	default:
		return nil
	}
}

func (c *Claims) writeSettlement(ctx context.Context, id identity, wanted row, expected lagoonbarrow.RowVersion) (lagoonbarrow.Claim, error) {
	version, err := c.put(ctx, id, wanted, expected)
	if err == nil {
		return wanted.toClaim(id, version), nil
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return lagoonbarrow.Claim{}, errors.Wrap(err, "claim: settle")
	}
	current, readErr := c.read(ctx, id)
	switch {
	case readErr != nil, current.decodeErr != nil, current.version <= expected:
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "claim: settle: %v", err)
	case current.row.WriteID == wanted.WriteID:
		return current.row.toClaim(id, current.version), nil
	default:
		return current.row.toClaim(id, current.version), errors.Wrap(lagoonbarrow.ErrConflict, "claim: settle")
	}
}
