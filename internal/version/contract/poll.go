package contract

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// poll reads the head row, applies newer changes and pushes them to peers.
func (d *Distributor) poll(ctx context.Context) {
	applied := d.config.Registry.Revision()
	readAt := d.config.Now()
	head, err := d.readHead(ctx)
	if err != nil {
		d.metrics.failedReads.Inc(1)
		return
	}
	if head < applied {
		// The head is behind only if the table lost accepted changes. The contracts
		// in force never revert. The node becomes stale, which is reported.
		d.metrics.headBehind.Inc(1)
		return
	}
	if err := d.catchUp(ctx, head); err != nil {
		d.metrics.failedReads.Inc(1)
		return
	}
	d.confirm(head, readAt)
}

// catchUp applies the change rows up to the revision of the platform's head and
// pushes each page to peers.
func (d *Distributor) catchUp(ctx context.Context, head lagoonbarrow.Revision) error {
	for d.config.Registry.Revision() < head {
		page, err := d.readChanges(ctx, d.config.Registry.Revision())
		if err != nil {
			return err
		}
		if len(page) == 0 {
			return d.rescan(ctx, head)
		}
		if applied := d.config.Registry.Apply(page); len(applied) > 0 {
			d.push(applied, true)
		}
	}
	return nil
}

// rescan loads all contracts after change rows were trimmed. Peers receive the
// revision by gossip.
func (d *Distributor) rescan(ctx context.Context, head lagoonbarrow.Revision) error {
	if err := d.load(ctx); err != nil {
		return err
	}
	if d.config.Registry.Revision() < head {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "contract: rescan found an older state")
	}
	return nil
}
