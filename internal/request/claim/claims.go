package claim

import (
	"context"
	"time"

	"lagoonbarrow"
)

var _ lagoonbarrow.Claims = (*Claims)(nil)

// Claims implements lagoonbarrow.Claims over a lagoonbarrow.Table.
type Claims struct{}

// New returns Claims.
func New(_ Config) *Claims { return &Claims{} }

// Start begins the background writes.
func (c *Claims) Start() error { return nil }

// Stop ends the background writes.
func (c *Claims) Stop() error { return nil }

// Take implements lagoonbarrow.Claims.
func (c *Claims) Take(_ context.Context, _ *lagoonbarrow.Call, _ time.Time) (lagoonbarrow.Claim, error) {
	return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
}

// Complete implements lagoonbarrow.Claims.
func (c *Claims) Complete(_ context.Context, _ lagoonbarrow.Claim, _ *lagoonbarrow.Answer) error {
	return lagoonbarrow.ErrUnavailable
}

// Void implements lagoonbarrow.Claims.
func (c *Claims) Void(_ context.Context, _ lagoonbarrow.Claim) error {
	return lagoonbarrow.ErrUnavailable
}

// VoidAttempt implements lagoonbarrow.Claims.
func (c *Claims) VoidAttempt(_ context.Context, _ *lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
	return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
}

// Lookup implements lagoonbarrow.Claims.
func (c *Claims) Lookup(_ context.Context, _ lagoonbarrow.CustomerID, _ string) (lagoonbarrow.Claim, error) {
	return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
}

// Settle implements lagoonbarrow.Claims.
func (c *Claims) Settle(_ context.Context, _ lagoonbarrow.CustomerID, _ string, _ lagoonbarrow.RowVersion, _ bool) (lagoonbarrow.Claim, error) {
	return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
}
