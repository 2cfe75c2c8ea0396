// Package follower keeps a copy of a table of the platform's store up to date.
package follower

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

const (
	// refreshDelay is the time after which the feed is not waited for.
	refreshDelay = 250 * time.Millisecond
	// refreshPause is the wait after a failed refresh.
	refreshPause = time.Second
)

// Config configures a Follower.
type Config struct {
	Feed  lagoonbarrow.ChangeFeed
	Table string
	// Wait is how long one call waits for changes. A silent connection is noticed
	// when that time has passed.
	Wait time.Duration
	// Replace takes all rows, Apply changes in their order.
	Replace func(rows []lagoonbarrow.Row)
	Apply   func(changes []lagoonbarrow.Change)
	// Pause is the time after changes in which further ones are left to gather.
	Pause time.Duration
	// Behind reports whether a refresh is still needed; always if it is nil.
	Behind func() bool
	Logger hclog.Logger
}

// Follower follows one table from Start until Stop.
type Follower struct {
	config Config
	// refresh asks for a new reading of all rows.
	refresh chan struct{}
	task    background.Task
	// failing is set between a failed and the next successful call.
	failing bool
}

// New returns a follower that is not started yet.
func New(config Config) *Follower {
	return &Follower{
		config:  config,
		refresh: make(chan struct{}, 1),
		task:    background.NewTask(),
	}
}

// Start begins to follow.
func (f *Follower) Start() {
	f.task.Go(f.run)
	f.task.Go(f.refreshes)
}

// Stop ends following. A call under way ends with its time limit.
func (f *Follower) Stop() {
	f.task.Stop()
}

// Refresh reads all rows soon, beside the wait for changes. It is for nodes that
// learn from another one that the table has changed.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

func (f *Follower) refreshes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.refresh:
		}
		// The feed usually brings the change meanwhile.
		backoff.Pause(ctx, refreshDelay)
		if f.config.Behind != nil && !f.config.Behind() {
			continue
		}
		rows, _, err := f.config.Feed.Rows(ctx, f.config.Table)
		if err != nil {
			f.config.Logger.Warn("refresh of a table failed", "table", f.config.Table, "error", err)
			backoff.Pause(ctx, refreshPause)
			continue
		}
		f.config.Replace(rows)
	}
}

func (f *Follower) run(ctx context.Context) {
	version := lagoonbarrow.RowVersion(0)
	known := false
	wait := backoff.ForStore()
	for ctx.Err() == nil {
		next, err := f.step(ctx, version, known)
		f.note(err)
		switch {
		case errors.Is(err, lagoonbarrow.ErrHistoryLost):
			known = false
		case err != nil:
			wait.Wait(ctx)
		default:
			version = next
			known = true
			wait.Reset()
		}
	}
}

// step reads all rows unless the version of the last reading is known, and then
// waits for changes. It returns the version to continue from.
func (f *Follower) step(ctx context.Context, version lagoonbarrow.RowVersion, known bool) (lagoonbarrow.RowVersion, error) {
	if !known {
		rows, read, err := f.config.Feed.Rows(ctx, f.config.Table)
		if err != nil {
			return 0, err
		}
		f.config.Replace(rows)
		return read, nil
	}
	changes, next, err := f.config.Feed.Changes(ctx, f.config.Table, version, f.config.Wait)
	if err != nil {
		return 0, err
	}
	if len(changes) > 0 {
		f.config.Apply(changes)
		backoff.Pause(ctx, f.config.Pause)
	}
	return max(next, version), nil
}

// note logs when the table is lost and when it is back.
func (f *Follower) note(err error) {
	failed := err != nil
	if failed == f.failing {
		return
	}
	f.failing = failed
	if failed {
		f.config.Logger.Warn("lost the feed of a table", "table", f.config.Table, "error", err)
		return
	}
	f.config.Logger.Info("regained the feed of a table", "table", f.config.Table)
}
