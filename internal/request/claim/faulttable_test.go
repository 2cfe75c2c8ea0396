package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// faultTable is an in-memory table that loses answers, refuses requests and
// delays writes. The seed determines the faults.
type faultTable struct {
	rng *seededRand
	// outageStart is the start of the outage, which lasts for faultOutage.
	outageStart time.Time

	mutex sync.Mutex
	rows  map[string]lagoonbarrow.Row
}

const (
	faultLatency = 4 * time.Millisecond
	faultTimeout = 20 * time.Millisecond
	faultDelay   = 150 * time.Millisecond
	faultOutage  = 200 * time.Millisecond
)

func newFaultTable(seed uint64) *faultTable {
	rng := newSeededRand(seed, 999)
	return &faultTable{
		rng:         rng,
		outageStart: time.Now().Add(time.Duration(rng.int64n(int64(faultOutage)))),
		rows:        map[string]lagoonbarrow.Row{},
	}
}

// Available always returns true, so that calls reach the simulated faults.
func (f *faultTable) Available() bool { return true }

func (f *faultTable) outage() bool {
	since := time.Since(f.outageStart)
	return since >= 0 && since < faultOutage
}

func (f *faultTable) Get(ctx context.Context, _, key string) (lagoonbarrow.Row, error) {
	sleepUpTo(f.rng, faultLatency)
	if ctx.Err() != nil || f.outage() || f.rng.chance(15) {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrUnavailable
	}
	f.mutex.Lock()
	found := f.rows[key]
	f.mutex.Unlock()
	sleepUpTo(f.rng, faultLatency)
	if found.Version == 0 {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrNotFound
	}
	return found, nil
}

func (f *faultTable) Scan(context.Context, string, string, int) ([]lagoonbarrow.Row, error) {
	return nil, lagoonbarrow.ErrUnavailable
}

func (f *faultTable) Transact(context.Context, []lagoonbarrow.Write) error {
	return lagoonbarrow.ErrUnavailable
}

func (f *faultTable) Put(ctx context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	sleepUpTo(f.rng, faultLatency)
	switch {
	case ctx.Err() != nil || f.outage() || f.rng.chance(5):
		return 0, lagoonbarrow.ErrUnavailable
	case f.rng.chance(15):
		time.AfterFunc(time.Duration(f.rng.int64n(int64(faultDelay))), func() {
			_, _ = f.apply(write)
		})
		sleepContext(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	case f.rng.chance(5):
		// The request is lost in transit.
		sleepContext(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	version, err := f.apply(write)
	if f.rng.chance(15) {
		sleepContext(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	sleepUpTo(f.rng, faultLatency)
	return version, err
}

func (f *faultTable) apply(write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	current := f.rows[write.Key].Version
	if current != write.Expected {
		return current, errors.Wrap(lagoonbarrow.ErrConflict, "fault table")
	}
	f.rows[write.Key] = lagoonbarrow.Row{
		Table:   write.Table,
		Key:     write.Key,
		Version: current + 1,
		Value:   write.Value,
	}
	return current + 1, nil
}
