package departure

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/internal/process/background"
)

const (
	// recordTimeout bounds Record. A server takes no acknowledgement that arrives later than
	// a second.
	recordTimeout = 800 * time.Millisecond
	// rowTimeout is how long the store alone is waited for. It usually takes a few
	// milliseconds, and no other node is needed then.
	rowTimeout = 150 * time.Millisecond
)

// The places where a departure is recorded, as the log names them.
const (
	placeRow   = "row"
	placeNodes = "other nodes"
)

// RecorderConfig configures a Recorder.
type RecorderConfig struct {
	Config
	// WaitForRow waits until the store has this node's row with the departure. It returns an
	// error if the row doesn't state it or ctx ends first.
	WaitForRow func(ctx context.Context, departed lagoonbarrow.Departure) error
}

// Recorder records departures where they outlast the process: in the store or, while the
// store is away, at other nodes.
type Recorder struct {
	config RecorderConfig
	task   background.Task
}

// NewRecorder returns a recorder.
func NewRecorder(config RecorderConfig) *Recorder {
	return &Recorder{
		config: config,
		task:   background.NewTask(config.Logger),
	}
}

// Stop ends the messages in progress.
func (r *Recorder) Stop() {
	r.task.Stop()
}

// Record returns once the departure outlasts this process, or ErrUnavailable after
// recordTimeout. Then neither the store nor enough other nodes have confirmed it.
func (r *Recorder) Record(departed lagoonbarrow.Departure) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	row := make(chan error, 1)
	r.task.Go("departure row", func(context.Context) { row <- r.config.WaitForRow(ctx, departed) })
	timer := time.NewTimer(rowTimeout)
	defer timer.Stop()
	select {
	case err := <-row:
		if err == nil {
			return nil
		}
		r.logFailure(departed, placeRow, err)
		row = nil
	case <-timer.C:
	}
	kept := make(chan error, 1)
	r.task.Go("departure messages", func(context.Context) { kept <- r.keepAtOthers(ctx, departed) })
	return r.waitForOne(ctx, departed, row, kept)
}

// waitForOne waits until the row or the other nodes have the departure, or both have failed.
func (r *Recorder) waitForOne(ctx context.Context, departed lagoonbarrow.Departure, row, kept <-chan error) error {
	for row != nil || kept != nil {
		var err error
		place := placeRow
		select {
		case err = <-row:
			row = nil
		case err = <-kept:
			kept = nil
			place = placeNodes
		case <-ctx.Done():
			row, kept = nil, nil
			err = ctx.Err()
		}
		if err == nil {
			r.config.Logger.Info("recorded that a server leaves", "server", departed.Server, "started", departed.Started, "place", place)
			return nil
		}
		r.logFailure(departed, place, err)
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "departure: no record that server %q leaves", departed.Server)
}

// logFailure logs that a place has not recorded a departure.
func (r *Recorder) logFailure(departed lagoonbarrow.Departure, place string, err error) {
	r.config.Logger.Warn("recording that a server leaves failed", "server", departed.Server, "started", departed.Started, "place", place, "error", err)
}

// keepAtOthers asks other nodes to keep the departure until enough of them have confirmed.
func (r *Recorder) keepAtOthers(ctx context.Context, departed lagoonbarrow.Departure) error {
	message, err := frame.EncodeMessage(kindKeep, newRecord(departed, time.Now()))
	if err != nil {
		return err
	}
	holders := r.config.holders()
	replies := make(chan error, len(holders))
	for _, node := range holders {
		r.task.Go("departure message", func(context.Context) {
			_, err := r.config.send(ctx, node, message)
			replies <- err
		})
	}
	needed := neededHolders(len(holders))
	confirmed := 0
	for range holders {
		if err := <-replies; err != nil {
			r.config.Logger.Info("a node did not keep a departure", "error", err)
			continue
		}
		confirmed++
		if confirmed == needed {
			return nil
		}
	}
	return errors.Wrapf(lagoonbarrow.ErrUnavailable, "departure: %d of %d nodes have confirmed, %d are needed", confirmed, len(holders), needed)
}
