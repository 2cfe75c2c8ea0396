package registration

import (
	"bytes"
	"context"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

// RowConfig configures a RowKeeper.
type RowConfig struct {
	Store  lagoonbarrow.RowStore
	Table  string
	Key    string
	Logger hclog.Logger
}

// RowKeeper writes a row until the store holds the wanted value. Every write names
// the version that it replaces. A write that is performed after a newer one changes nothing.
type RowKeeper struct {
	config RowConfig
	wake   chan struct{}
	task   background.Task

	mu     sync.Mutex
	wanted []byte
	// written is the value of the last successful write, and version its version.
	written []byte
	version lagoonbarrow.RowVersion
	// versionKnown is set after the first call of Seen.
	versionKnown bool
}

// NewRowKeeper returns a keeper that writes nothing before the first calls of Want and Seen.
func NewRowKeeper(config RowConfig) *RowKeeper {
	return &RowKeeper{
		config: config,
		wake:   make(chan struct{}, 1),
		task:   background.NewTask(),
	}
}

// Start begins the writes.
func (k *RowKeeper) Start() {
	k.task.Go(k.run)
}

// Stop ends the writes. A write in progress ends within its time limit.
func (k *RowKeeper) Stop() {
	k.task.Stop()
}

// Want sets the value that the row should have.
func (k *RowKeeper) Want(value []byte) {
	k.mu.Lock()
	k.wanted = value
	k.mu.Unlock()
	k.signal()
}

// Seen reports the version of the row in the store, 0 if the row does not exist.
func (k *RowKeeper) Seen(version lagoonbarrow.RowVersion) {
	k.mu.Lock()
	if version != k.version && (version > k.version || version == 0) {
		// Another writer, an earlier process of this node, or a late write of this node
		// has changed the row.
		k.written = nil
		k.version = version
	}
	k.versionKnown = true
	k.mu.Unlock()
	k.signal()
}

func (k *RowKeeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

func (k *RowKeeper) run(ctx context.Context) {
	wait := backoff.ForStore()
	for ctx.Err() == nil {
		write, needed := k.nextWrite()
		if !needed {
			select {
			case <-ctx.Done():
			case <-k.wake:
			}
			continue
		}
		version, err := k.config.Store.Put(ctx, write)
		if err == nil {
			k.recordWrite(write.Value, version)
			wait.Reset()
			continue
		}
		k.config.Logger.Warn("writing the node's row failed", "version", write.Expected, "error", err)
		if errors.Is(err, lagoonbarrow.ErrConflict) || errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
			k.reread(ctx)
		}
		wait.Wait(ctx)
	}
}

// nextWrite returns the next write and whether one is needed.
func (k *RowKeeper) nextWrite() (lagoonbarrow.Write, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.versionKnown || k.wanted == nil || bytes.Equal(k.wanted, k.written) {
		return lagoonbarrow.Write{}, false
	}
	return lagoonbarrow.Write{
		Table:    k.config.Table,
		Key:      k.config.Key,
		Expected: k.version,
		Value:    k.wanted,
	}, true
}

// recordWrite stores the value and version of a successful write.
func (k *RowKeeper) recordWrite(value []byte, version lagoonbarrow.RowVersion) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version >= k.version {
		k.written = value
		k.version = version
	}
}

// reread reads the row's value and version after a conflict or an unknown outcome.
func (k *RowKeeper) reread(ctx context.Context) {
	rows, _, err := k.config.Store.Rows(ctx, k.config.Table)
	if err != nil {
		k.config.Logger.Warn("reading the node's row failed", "error", err)
		return
	}
	for _, row := range rows {
		if row.Key == k.config.Key {
			k.mu.Lock()
			k.version = row.Version
			k.written = row.Value
			k.mu.Unlock()
			return
		}
	}
	k.Seen(0)
}
