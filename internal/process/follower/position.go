package follower

import (
	"context"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/backoff"
)

// position is how far a follower has read its table, and what it reads next.
type position struct {
	version lagoonbarrow.RowVersion
	// loaded is set once all rows were read.
	loaded bool
	// needsRows is set if all rows are read next, and not the changes since version.
	needsRows bool
	// historyLost is set from a lost history until changes were read.
	historyLost bool
	// retryDelay is the wait after a failure, and historyDelay the wait after a history
	// that is lost again although the rows were read.
	retryDelay   *backoff.Backoff
	historyDelay *backoff.Backoff
}

// newPosition returns the position before the first read.
func newPosition() *position {
	return &position{
		needsRows:    true,
		retryDelay:   backoff.ForStore(),
		historyDelay: backoff.ForStore(),
	}
}

// recordSuccess continues from a version.
func (p *position) recordSuccess(version lagoonbarrow.RowVersion) {
	if !p.needsRows {
		p.historyLost = false
		p.historyDelay.Reset()
	}
	p.version = version
	p.loaded = true
	p.needsRows = false
	p.retryDelay.Reset()
}

// recordHistoryLost lets the rows be read next: at once, or after a wait if that has not
// helped before.
func (p *position) recordHistoryLost(ctx context.Context) {
	if p.historyLost {
		p.historyDelay.Wait(ctx)
	}
	p.historyLost = true
	p.needsRows = true
}

// recordFailure waits before the next call. That reads changes, which other nodes may have,
// if the rows were read before.
func (p *position) recordFailure(ctx context.Context) {
	p.needsRows = !p.loaded
	p.retryDelay.Wait(ctx)
}
