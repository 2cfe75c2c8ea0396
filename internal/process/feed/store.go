package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// secondCallDelay is the time without a response after which a second call to the store
// begins. A slow store usually responds earlier, and the first call has not reached its
// time limit yet.
const secondCallDelay = 800 * time.Millisecond

// storeResponse is the response of the store to one call.
type storeResponse struct {
	rows    []lagoonbarrow.Row
	changes []lagoonbarrow.Change
	version lagoonbarrow.RowVersion
	// age is how long ago version may have stopped being the newest of the store.
	age time.Duration
	err error
}

// storeCall makes one call to the store, which may wait for changes.
type storeCall func(ctx context.Context, wait time.Duration) storeResponse

// callTwice makes a call to the store, and a second one if there is no response for a time
// after the wait. The first response decides, or the end of the first call. It answers the
// load of a store that works again: a response that was lost in the outage would otherwise
// hold up the read until its time limit.
func (f *Feed) callTwice(ctx context.Context, wait time.Duration, call storeCall) storeResponse {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	first := f.beginCall(ctx, wait, call)
	timer := time.NewTimer(wait + secondCallDelay)
	defer timer.Stop()
	select {
	case response := <-first:
		return response
	case <-timer.C:
	}
	second := f.beginCall(ctx, 0, call)
	select {
	case response := <-first:
		return response
	case response := <-second:
		if errors.Is(response.err, lagoonbarrow.ErrUnavailable) {
			// A slow store that refuses the second call may still answer the first one.
			return <-first
		}
		return response
	}
}

// beginCall makes a call without waiting for its response.
func (f *Feed) beginCall(ctx context.Context, wait time.Duration, call storeCall) <-chan storeResponse {
	responses := make(chan storeResponse, 1)
	go f.panics.Run(ctx, "read of the store", func(ctx context.Context) {
		responses <- call(ctx, wait)
	})
	return responses
}

// readRows reads all rows of a table from the store.
func (f *Feed) readRows(ctx context.Context, table string) storeResponse {
	started := f.config.Now()
	rows, version, err := f.config.Store.Rows(ctx, table)
	return storeResponse{
		rows:    rows,
		version: version,
		age:     f.config.Now().Sub(started),
		err:     err,
	}
}

// readChanges waits for changes at the store.
func (f *Feed) readChanges(ctx context.Context, table string, after lagoonbarrow.RowVersion, wait time.Duration) storeResponse {
	started := f.config.Now()
	changes, version, err := f.config.Store.Changes(ctx, table, after, wait)
	return storeResponse{
		changes: changes,
		version: max(version, after),
		age:     lateness(f.config.Now().Sub(started), wait),
		err:     err,
	}
}

// lateness returns how much longer than its wait a call took. A response may have been
// ready for that long, as when this node was frozen meanwhile.
func lateness(took, wait time.Duration) time.Duration {
	return max(took-wait, 0)
}

// recordResponse records whether the store serves this node. The end of the caller's ctx
// and a lost history say nothing about it.
func (f *Feed) recordResponse(ctx context.Context, err error) {
	switch {
	case err == nil:
		f.recordStoreSuccess()
	case ctx.Err() == nil && !errors.Is(err, lagoonbarrow.ErrHistoryLost):
		f.recordStoreFailure()
	}
}
