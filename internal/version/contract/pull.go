package contract

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// pullTarget is a peer that has a higher revision.
type pullTarget struct {
	peer     lagoonbarrow.Address
	revision lagoonbarrow.Revision
}

// requestPull makes the pull loop catch up with a peer. Only the target with the
// highest revision is kept.
func (d *Distributor) requestPull(peer lagoonbarrow.Address, revision lagoonbarrow.Revision) {
	d.mutex.Lock()
	if revision > d.pendingPull.revision {
		d.pendingPull = pullTarget{
			peer:     peer,
			revision: revision,
		}
	}
	d.mutex.Unlock()
	select {
	case d.pullSignal <- struct{}{}:
	default:
	}
}

// popPendingPull returns and clears the target. A peer that does not answer then
// does not block a pull from the next one.
func (d *Distributor) popPendingPull() pullTarget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target := d.pendingPull
	d.pendingPull = pullTarget{}
	return target
}

func (d *Distributor) runPulls(ctx context.Context) {
	defer d.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.pullSignal:
			d.runPendingPull(ctx)
		case <-d.refreshSignal:
			d.refresh(ctx)
		}
	}
}

func (d *Distributor) refresh(ctx context.Context) {
	if d.config.Registry.Ready() {
		d.poll(ctx)
	}
}

func (d *Distributor) runPendingPull(ctx context.Context) {
	target := d.popPendingPull()
	before := d.config.Registry.Revision()
	defer func() {
		if d.config.Registry.Revision() > before {
			d.announce()
		}
	}()
	for d.config.Registry.Revision() < target.revision {
		progressed, err := d.pull(ctx, target.peer)
		if errors.Is(err, errTrimmed) {
			d.poll(ctx)
			return
		}
		if err != nil || !progressed {
			d.metrics.failedPulls.Inc(1)
			return
		}
	}
}

// pull requests one message of records from a peer and reports whether any were
// applied. It returns errTrimmed if the peer no longer keeps the records.
func (d *Distributor) pull(ctx context.Context, peer lagoonbarrow.Address) (bool, error) {
	request, err := frame.EncodeMessage(KindPull, pullRequest{
		After: d.config.Registry.Revision(),
	})
	if err != nil {
		return false, err
	}
	ctx, cancel := d.requestContext(ctx)
	defer cancel()
	sentAt := d.config.Now()
	d.metrics.pulls.Inc(1)
	reply, err := d.config.Transport.Send(ctx, peer, request)
	if err != nil {
		return false, errors.Wrap(err, "contract: pull")
	}
	answer, err := decodePullAnswer(reply)
	if err != nil {
		return false, err
	}
	if answer.TooOld {
		return false, errTrimmed
	}
	applied := d.config.Registry.Apply(answer.Records)
	// The peer computed the age after the request was sent. Subtracting it from
	// that time never makes the confirmation too recent.
	d.confirm(answer.Revision, sentAt.Add(-answer.Age))
	return len(applied) > 0, nil
}

func errUnknownKind(kind string) error {
	return errors.Wrapf(lagoonbarrow.ErrInvalid, "contract: unknown message kind %q", kind)
}
