// Package era keeps versions of the platform's store from before and after a restore
// apart. A restored store has lost its latest changes and gives out their numbers again.
package era

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Config configures a Store.
type Config struct {
	Store lagoonbarrow.RowStore
	// OnRestored is called once for each later era that a response of the store shows. It
	// must not call the store. It may be nil.
	OnRestored func(previous, current lagoonbarrow.Era)
}

// Store is the platform's store, of which responses of an earlier era than the latest known
// one are not used. It never takes a number for a version of another era.
type Store struct {
	config Config

	mu sync.Mutex
	// latest is the latest era of a response. It is not known before the first one.
	latest lagoonbarrow.Era
	known  bool
}

var _ lagoonbarrow.RowStore = (*Store)(nil)

// NewStore returns a store that knows no era yet.
func NewStore(config Config) *Store {
	return &Store{
		config: config,
	}
}

// Rows returns all rows of a table and their version. It returns ErrUnavailable for a late
// response from before a restore.
func (s *Store) Rows(ctx context.Context, table string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	rows, version, err := s.config.Store.Rows(ctx, table)
	if err != nil {
		return nil, 0, err
	}
	if !s.observe(version.Era()) {
		return nil, 0, errLate(version)
	}
	return rows, version, nil
}

// Changes waits for changes after a version. It returns ErrHistoryLost if the store was
// restored since that version, even if it has reached its number again, and
// ErrUnavailable for a late response from before a restore.
func (s *Store) Changes(ctx context.Context, table string, after lagoonbarrow.RowVersion, wait time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	changes, version, err := s.config.Store.Changes(ctx, table, after, wait)
	if err != nil {
		return nil, 0, err
	}
	if !s.observe(version.Era()) || version.Era() < after.Era() {
		return nil, 0, errLate(version)
	}
	if version.Era() > after.Era() {
		return nil, 0, errors.Wrapf(lagoonbarrow.ErrHistoryLost, "era: the store was restored since version %s", after)
	}
	return changes, version, nil
}

// Put makes one conditional write. It returns ErrConflict without a call if the expected
// version is of an earlier era, and ErrOutcomeUnknown if the store was restored meanwhile:
// the write may be lost, or may have replaced a row with the same number.
func (s *Store) Put(ctx context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	expected := write.Expected.Era()
	if write.Expected != 0 && s.isEarlier(expected) {
		return 0, errors.Wrapf(lagoonbarrow.ErrConflict, "era: the store was restored since version %s", write.Expected)
	}
	version, err := s.config.Store.Put(ctx, write)
	if err != nil {
		return 0, err
	}
	current := s.observe(version.Era())
	if !current || write.Expected != 0 && version.Era() != expected {
		return 0, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "era: the store was restored during a write, at version %s", version)
	}
	return version, nil
}

// observe records the era of a response and reports whether no later one is known.
func (s *Store) observe(era lagoonbarrow.Era) bool {
	s.mu.Lock()
	previous, known := s.latest, s.known
	s.latest = max(previous, era)
	s.known = true
	s.mu.Unlock()
	if known && era > previous && s.config.OnRestored != nil {
		s.config.OnRestored(previous, era)
	}
	return era >= previous
}

// isEarlier reports whether a later era is known.
func (s *Store) isEarlier(era lagoonbarrow.Era) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return era < s.latest
}

// errLate returns ErrUnavailable for a response of an earlier era.
func errLate(version lagoonbarrow.RowVersion) error {
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "era: late response at version %s, from before the store was restored", version)
}
