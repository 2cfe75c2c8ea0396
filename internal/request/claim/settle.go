package claim

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Settle implements lagoonbarrow.Claims. It returns ErrNotFound for a key
// without a row, ErrConflict with the present row when that is not claimed or
// has another version, ErrClaimed while the deadline and Config.SettleMargin
// have not passed, because the holder may still run the request, and
// ErrOutcomeUnknown when the table does not tell.
func (c *Claims) Settle(ctx context.Context, customer lagoonbarrow.CustomerID, key string, expected lagoonbarrow.RowVersion, ran bool) (lagoonbarrow.Claim, error) {
	of := identity{
		customer: customer,
		key:      key,
	}
	present, err := c.read(ctx, of)
	if err != nil {
		return lagoonbarrow.Claim{}, err
	}
	if err := c.checkSettle(of, present, expected); err != nil {
		return present.row.claim(of, present.version), err
	}
	wanted := present.row
	wanted.WriteID = newWriteID()
	wanted.State = lagoonbarrow.ClaimVoided
	if ran {
		wanted.State = lagoonbarrow.ClaimCompleted
		wanted.Answer = &keptAnswer{
			Status: http.StatusOK,
			Marker: AnswerSettled,
		}
	}
	settled, err := c.settle(ctx, of, wanted, expected)
	if err == nil {
		c.note(event.ClaimSettled, "", customer, key+" "+string(wanted.State))
	}
	return settled, err
}

func (c *Claims) checkSettle(of identity, present stored, expected lagoonbarrow.RowVersion) error {
	switch {
	case present.version == 0:
		return errors.Wrapf(lagoonbarrow.ErrNotFound, "claim: settle %s", of.rowKey())
	case present.damaged != nil:
		return present.damaged
	case present.version != expected:
		return errors.Wrapf(lagoonbarrow.ErrConflict, "claim: the row is at version %d", present.version)
	case present.row.State != lagoonbarrow.ClaimHeld:
		return errors.Wrapf(lagoonbarrow.ErrConflict, "claim: the row is %s", present.row.State)
	case c.config.Now().Before(present.row.Deadline.Add(c.config.SettleMargin)):
		return errors.Wrapf(lagoonbarrow.ErrClaimed, "claim: may run until %s", present.row.Deadline)
	default:
		return nil
	}
}

func (c *Claims) settle(ctx context.Context, of identity, wanted row, expected lagoonbarrow.RowVersion) (lagoonbarrow.Claim, error) {
	version, err := c.put(ctx, of, wanted, expected)
	if err == nil {
		return wanted.claim(of, version), nil
	}
	if !errors.Is(err, lagoonbarrow.ErrConflict) && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return lagoonbarrow.Claim{}, errors.Wrap(err, "claim: settle")
	}
	present, readErr := c.read(ctx, of)
	switch {
	case readErr != nil, present.damaged != nil, present.version <= expected:
		return lagoonbarrow.Claim{}, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "claim: settle: %v", err)
	case present.row.WriteID == wanted.WriteID:
		return present.row.claim(of, present.version), nil
	default:
		return present.row.claim(of, present.version), errors.Wrap(lagoonbarrow.ErrConflict, "claim: settle")
	}
}
