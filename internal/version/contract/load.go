package contract

import (
	"context"
	"strconv"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// maxLoadAttempts limits the scans of one load. A scan is repeated only when
// change rows were trimmed while it ran.
const maxLoadAttempts = 3

// load reads a consistent state of all contracts from the platform. The change
// rows supply the records that changed while the scan ran.
func (d *Distributor) load(ctx context.Context) error {
	d.loadMutex.Lock()
	defer d.loadMutex.Unlock()
	var err error
	for range maxLoadAttempts {
		err = d.loadOnce(ctx)
		if !errors.Is(err, errTrimmed) {
			break
		}
	}
	if err != nil {
		d.metrics.failedReads.Inc(1)
		return err
	}
	d.recordEvent(event.ContractsLoaded, event.Fields{
		Detail: "revision " + strconv.FormatUint(uint64(d.config.Registry.Revision()), 10),
	})
	return nil
}

// errTrimmed reports that the changes after a revision are no longer kept.
var errTrimmed = errors.New("contract: change rows missing")

func (d *Distributor) loadOnce(ctx context.Context) error {
	before, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	records, err := d.scan(ctx)
	if err != nil {
		return err
	}
	scannedAt := d.config.Now()
	after, err := d.readHead(ctx)
	if err != nil {
		return err
	}
	if after < before {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "contract: head went back during load")
	}
	changes, err := d.readChangesTo(ctx, before, after)
	if err != nil {
		return err
	}
	d.config.Registry.Load(append(records, changes...), after)
	d.confirm(after, scannedAt)
	return nil
}

func (d *Distributor) readHead(ctx context.Context) (lagoonbarrow.Revision, error) {
	ctx, cancel := d.requestContext(ctx)
	defer cancel()
	d.metrics.reads.Inc(1)
	revision, _, err := readHead(ctx, d.config.Table)
	return revision, err
}

func (d *Distributor) scan(ctx context.Context) ([]lagoonbarrow.ContractRecord, error) {
	d.metrics.reads.Inc(1)
	return scanContracts(ctx, d.config.Table, d.config.RequestTimeout)
}

// readChangesTo returns all change records with revisions in (after, last], or
// errTrimmed.
func (d *Distributor) readChangesTo(ctx context.Context, after, last lagoonbarrow.Revision) ([]lagoonbarrow.ContractRecord, error) {
	var changes []lagoonbarrow.ContractRecord
	for after < last {
		page, err := d.readChanges(ctx, after)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return nil, errTrimmed
		}
		changes = append(changes, page...)
		after = page[len(page)-1].Revision
	}
	return changes, nil
}

func (d *Distributor) readChanges(ctx context.Context, after lagoonbarrow.Revision) ([]lagoonbarrow.ContractRecord, error) {
	ctx, cancel := d.requestContext(ctx)
	defer cancel()
	d.metrics.reads.Inc(1)
	return readChanges(ctx, d.config.Table, after)
}
