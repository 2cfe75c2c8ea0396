package contract

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Pauses between the attempts at one change. Changes are rare, so a conflict
// on the head row is gone after one or two attempts.
const (
	firstPause = 10 * time.Millisecond
	lastPause  = 500 * time.Millisecond
)

// StoreConfig holds what a Store needs.
type StoreConfig struct {
	Table lagoonbarrow.Table
	// Recorder is told of accepted and refused changes; nil for none.
	Recorder lagoonbarrow.Recorder
	// Accepted is called after each accepted change; nil for none. With
	// Distributor.Refresh, the change does not wait for a reader's next poll.
	Accepted func()
	// Pause waits between attempts; nil for a timer that the context ends.
	Pause func(ctx context.Context, duration time.Duration)
}

// Store changes contracts in the platform's table. A change is one transaction
// of the contract row, the head row, a new change row, and the key rows of the
// API key hashes that are added or removed.
type Store struct {
	config StoreConfig
}

var _ lagoonbarrow.ContractStore = (*Store)(nil)

// NewStore returns a store over the configured table.
func NewStore(config StoreConfig) *Store {
	if config.Pause == nil {
		config.Pause = pause
	}
	return &Store{
		config: config,
	}
}

// Apply creates or changes a contract. expected is the present version, 0 to
// create; the tombstone of a retired contract counts as its present version.
// It returns the accepted record, or ErrConflict with the present record,
// ErrInvalid, ErrUnavailable when nothing was accepted, or ErrOutcomeUnknown
// when the context ended before a lost answer was settled.
func (s *Store) Apply(ctx context.Context, contract lagoonbarrow.Contract, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	if err := Validate(contract); err != nil {
		return lagoonbarrow.ContractRecord{}, err
	}
	return s.change(ctx, newChange(contract.Customer, &contract, expected))
}

// Retire ends a contract and leaves a tombstone, with the same errors as
// Apply, and ErrNotFound for an unknown customer.
func (s *Store) Retire(ctx context.Context, customer lagoonbarrow.CustomerID, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	if expected == 0 {
		return lagoonbarrow.ContractRecord{}, &InvalidError{
			Faults: []string{"the version to retire is missing"},
		}
	}
	return s.change(ctx, newChange(customer, nil, expected))
}

// Get returns the present record of a customer, or ErrNotFound.
func (s *Store) Get(ctx context.Context, customer lagoonbarrow.CustomerID) (lagoonbarrow.ContractRecord, error) {
	row, err := s.config.Table.Get(ctx, tableContracts, string(customer))
	if err != nil {
		return lagoonbarrow.ContractRecord{}, readFailure(err)
	}
	return decodeRecord(row)
}

// List returns the present records of all customers, retired ones included,
// in the order of their ids.
func (s *Store) List(ctx context.Context) ([]lagoonbarrow.ContractRecord, error) {
	records, err := scanContracts(ctx, s.config.Table, DefaultRequestTimeout)
	if err != nil {
		return nil, readFailure(err)
	}
	return records, nil
}

// readFailure keeps a lost answer to a read from looking like a lost change.
func readFailure(err error) error {
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: read: %v", err)
	}
	return errors.Wrap(err, "contract: read")
}

// change makes attempts until one has a definite result or the context ends.
// All attempts carry one change id and depend on one version of the contract
// row, so at most one of them takes effect, however late it arrives.
func (s *Store) change(ctx context.Context, change *change) (lagoonbarrow.ContractRecord, error) {
	wait := firstPause
	for {
		record, err := s.attempt(ctx, change)
		if !errors.Is(err, errAgain) {
			s.record(record, err)
			s.announce(err)
			return record, err
		}
		if ctx.Err() != nil {
			return lagoonbarrow.ContractRecord{}, change.abandoned(ctx.Err())
		}
		s.config.Pause(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, lastPause)
	}
}

func (s *Store) announce(err error) {
	if err == nil && s.config.Accepted != nil {
		s.config.Accepted()
	}
}

func (s *Store) record(record lagoonbarrow.ContractRecord, err error) {
	if s.config.Recorder == nil {
		return
	}
	fields := event.Fields{
		Customer:        string(record.Customer),
		ContractVersion: uint64(record.Version),
		Detail:          string(record.Change),
	}
	switch {
	case err == nil:
		s.config.Recorder.Record(event.ContractAccepted, fields)
	case errors.Is(err, lagoonbarrow.ErrConflict):
		s.config.Recorder.Record(event.ContractConflict, fields)
	}
}

func pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
