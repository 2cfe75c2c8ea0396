package claim

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// faultTable is a table in memory that loses answers, refuses requests and
// lets writes arrive late, all by seed.
type faultTable struct {
	draws *draws
	// down is when an outage begins, which lasts for faultOutage.
	down time.Time

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
	source := newDraws(seed, 999)
	return &faultTable{
		draws: source,
		down:  time.Now().Add(time.Duration(source.int64n(int64(faultOutage)))),
		rows:  map[string]lagoonbarrow.Row{},
	}
}

// Available always lets calls through, so that they meet the faults.
func (f *faultTable) Available() bool { return true }

func (f *faultTable) outage() bool {
	since := time.Since(f.down)
	return since >= 0 && since < faultOutage
}

func (f *faultTable) Get(ctx context.Context, _, key string) (lagoonbarrow.Row, error) {
	pauseUpTo(f.draws, faultLatency)
	if ctx.Err() != nil || f.outage() || f.draws.chance(15) {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrUnavailable
	}
	f.mutex.Lock()
	found := f.rows[key]
	f.mutex.Unlock()
	pauseUpTo(f.draws, faultLatency)
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
	pauseUpTo(f.draws, faultLatency)
	switch {
	case ctx.Err() != nil || f.outage() || f.draws.chance(5):
		return 0, lagoonbarrow.ErrUnavailable
	case f.draws.chance(15):
		time.AfterFunc(time.Duration(f.draws.int64n(int64(faultDelay))), func() {
			_, _ = f.apply(write)
		})
		pause(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	case f.draws.chance(5):
		// The request is lost on its way.
		pause(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	version, err := f.apply(write)
	if f.draws.chance(15) {
		pause(ctx, faultTimeout)
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	pauseUpTo(f.draws, faultLatency)
	return version, err
}

func (f *faultTable) apply(write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	present := f.rows[write.Key].Version
	if present != write.Expected {
		return present, errors.Wrap(lagoonbarrow.ErrConflict, "fault table")
	}
	f.rows[write.Key] = lagoonbarrow.Row{
		Table:   write.Table,
		Key:     write.Key,
		Version: present + 1,
		Value:   write.Value,
	}
	return present + 1, nil
}
