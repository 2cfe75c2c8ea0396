package contract

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Delays between the attempts at one change. Changes are rare, so a conflict on
// the head row is resolved after one or two attempts.
const (
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// StoreConfig holds what a Store needs.
type StoreConfig struct {
	Table lagoonbarrow.Table
	// Recorder records accepted and conflicting changes if it is not nil.
	Recorder lagoonbarrow.Recorder
	// OnAccepted is called after each accepted change if it is not nil. It can call
	// Distributor.Refresh to distribute the change before a reader's next poll.
	OnAccepted func()
	// Pause waits between attempts. The default is a timer that stops early when
	// the context ends.
	Pause func(ctx context.Context, duration time.Duration)
}

// Store changes contracts in the platform's table. A change is one transaction
// that writes the contract row, the head row, a new change row, and the key rows
// of added and removed API key hashes.
type Store struct {
	config StoreConfig
}

var _ lagoonbarrow.ContractStore = (*Store)(nil)

// NewStore returns a store that uses the configured table.
func NewStore(config StoreConfig) *Store {
	if config.Pause == nil {
		config.Pause = sleep
	}
	return &Store{
		config: config,
	}
}

// Apply creates or changes a contract. expected is the current version, or 0 to
// create the contract. The tombstone of a retired contract counts as its current
// version. Apply returns the accepted record, or one of these errors:
// ErrConflict with the current record, ErrInvalid, ErrUnavailable if nothing was
// accepted, or ErrOutcomeUnknown if an answer was lost and the context ended
// before the outcome was known.
func (s *Store) Apply(ctx context.Context, contract lagoonbarrow.Contract, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	if err := Validate(contract); err != nil {
		return lagoonbarrow.ContractRecord{}, err
	}
	return s.change(ctx, newChange(contract.Customer, &contract, expected))
}

// Retire replaces a contract with a tombstone. It returns the same errors as Apply,
// and ErrNotFound for an unknown customer.
func (s *Store) Retire(ctx context.Context, customer lagoonbarrow.CustomerID, expected lagoonbarrow.ContractVersion) (lagoonbarrow.ContractRecord, error) {
	if expected == 0 {
		return lagoonbarrow.ContractRecord{}, &InvalidError{
			Faults: []string{"the version to retire is missing"},
		}
	}
	return s.change(ctx, newChange(customer, nil, expected))
}

// Get returns the current record of a customer, or ErrNotFound.
func (s *Store) Get(ctx context.Context, customer lagoonbarrow.CustomerID) (lagoonbarrow.ContractRecord, error) {
	row, err := s.config.Table.Get(ctx, tableContracts, string(customer))
	if err != nil {
		return lagoonbarrow.ContractRecord{}, readError(err)
	}
	return decodeRecord(row)
}

// List returns the current records of all customers, retired ones included,
// in the order of their IDs.
func (s *Store) List(ctx context.Context) ([]lagoonbarrow.ContractRecord, error) {
	records, err := scanContracts(ctx, s.config.Table, DefaultRequestTimeout)
	if err != nil {
		return nil, readError(err)
	}
	return records, nil
}

// readError replaces ErrOutcomeUnknown with ErrUnavailable, because a read whose
// answer was lost has changed nothing.
func readError(err error) error {
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "contract: read: %v", err)
	}
	return errors.Wrap(err, "contract: read")
}

// change repeats attempts until one has a definite result or the context ends.
// All attempts carry one change ID and depend on one version of the contract
// row, so at most one of them takes effect, however late it arrives.
func (s *Store) change(ctx context.Context, change *change) (lagoonbarrow.ContractRecord, error) {
	delay := minRetryDelay
	for {
		record, err := s.attempt(ctx, change)
		if !errors.Is(err, errRetry) {
			s.recordEvent(record, err)
			s.notifyAccepted(err)
			return record, err
		}
		if ctx.Err() != nil {
			return lagoonbarrow.ContractRecord{}, change.contextError(ctx.Err())
		}
		s.config.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, maxRetryDelay)
	}
}

func (s *Store) notifyAccepted(err error) {
	if err == nil && s.config.OnAccepted != nil {
		s.config.OnAccepted()
	}
}

func (s *Store) recordEvent(record lagoonbarrow.ContractRecord, err error) {
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

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
