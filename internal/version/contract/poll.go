package contract

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// poll reads the head row, brings newer changes into force and pushes them.
func (d *Distributor) poll(ctx context.Context) {
	own := d.config.Registry.Revision()
	at := d.config.Now()
	head, err := d.readHead(ctx)
	if err != nil {
		d.metrics.failedReads.Inc(1)
		return
	}
	if head < own {
		// Only a table that lost accepted changes can be behind. The contracts in
		// force never revert; the node becomes stale, which operators see.
		d.metrics.headBehind.Inc(1)
		return
	}
	if err := d.catchUp(ctx, head); err != nil {
		d.metrics.failedReads.Inc(1)
		return
	}
	d.confirm(head, at)
}

// catchUp applies the change rows up to a revision that the platform's head
// had, and pushes each page to peers.
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

// rescan loads everything when the change rows were trimmed. Peers learn of
// the revision by gossip.
func (d *Distributor) rescan(ctx context.Context, head lagoonbarrow.Revision) error {
	if err := d.load(ctx); err != nil {
		return err
	}
	if d.config.Registry.Revision() < head {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "contract: rescan found an older state")
	}
	return nil
}
