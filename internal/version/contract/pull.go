package contract

import (
	"context"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// pullTarget is a peer that has a higher revision.
type pullTarget struct {
	peer     lagoonbarrow.Address
	revision lagoonbarrow.Revision
}

// want asks the pull loop to catch up with a peer. Only the highest revision
// heard of is kept.
func (d *Distributor) want(peer lagoonbarrow.Address, revision lagoonbarrow.Revision) {
	d.mutex.Lock()
	if revision > d.wanted.revision {
		d.wanted = pullTarget{
			peer:     peer,
			revision: revision,
		}
	}
	d.mutex.Unlock()
	select {
	case d.pulling <- struct{}{}:
	default:
	}
}

// takeWanted clears the target, so that a peer that does not answer does not
// stand in the way of the next one.
func (d *Distributor) takeWanted() pullTarget {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	target := d.wanted
	d.wanted = pullTarget{}
	return target
}

func (d *Distributor) runPulls(ctx context.Context) {
	defer d.done.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.pulling:
			d.pullWanted(ctx)
		case <-d.refreshing:
			d.refresh(ctx)
		}
	}
}

func (d *Distributor) refresh(ctx context.Context) {
	if d.config.Registry.Ready() {
		d.poll(ctx)
	}
}

func (d *Distributor) pullWanted(ctx context.Context) {
	target := d.takeWanted()
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

// pull reads one message of records from a peer. It returns errTrimmed when
// the peer no longer keeps them.
func (d *Distributor) pull(ctx context.Context, peer lagoonbarrow.Address) (bool, error) {
	request, err := encodeMessage(KindPull, pullRequest{
		After: d.config.Registry.Revision(),
	})
	if err != nil {
		return false, err
	}
	ctx, cancel := d.requestContext(ctx)
	defer cancel()
	asked := d.config.Now()
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
	// The age was right at some time after the question, so counting it from
	// the question never makes the confirmation younger than it is.
	d.confirm(answer.Revision, asked.Add(-answer.Age))
	return len(applied) > 0, nil
}

func errUnknownKind(kind string) error {
	return errors.Wrapf(lagoonbarrow.ErrInvalid, "contract: unknown message kind %q", kind)
}
