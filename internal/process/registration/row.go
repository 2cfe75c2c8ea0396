package registration

import (
	"bytes"
	"context"
	"slices"
	"sync"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

// RowWriterConfig configures a RowWriter.
type RowWriterConfig struct {
	Store  lagoonbarrow.RowStore
	Table  string
	Key    string
	Logger hclog.Logger
}

// RowWriter writes a row until the store holds the wanted value. Every write names
// the version that it replaces. A write that is performed after a newer one changes nothing.
type RowWriter struct {
	config RowWriterConfig
	wake   chan struct{}
	task   background.Task

	mu     sync.Mutex
	wanted []byte
	// written is the last known value of the row in the store, and version its version, or 0 if the
	// row does not exist.
	written []byte
	version lagoonbarrow.RowVersion
	// knownAt is the version of the table at which the row is known to be so.
	knownAt lagoonbarrow.RowVersion
	// versionKnown is set after the first call of ObserveRow.
	versionKnown bool
	// changed is closed when the known value of the row changes.
	changed chan struct{}
}

// NewRowWriter returns a writer that writes nothing before the first calls of SetValue
// and ObserveRow.
func NewRowWriter(config RowWriterConfig) *RowWriter {
	return &RowWriter{
		config:  config,
		wake:    make(chan struct{}, 1),
		task:    background.NewTask(config.Logger),
		changed: make(chan struct{}),
	}
}

// Start begins the writes.
func (w *RowWriter) Start() {
	w.task.Go("row writer", w.run)
}

// Stop ends the writes. A write in progress ends within its time limit.
func (w *RowWriter) Stop() {
	w.task.Stop()
}

// SetValue sets the value that the row should have.
func (w *RowWriter) SetValue(value []byte) {
	w.mu.Lock()
	w.wanted = value
	w.mu.Unlock()
	w.signal()
}

// ObserveRow records the row as the table has it at a version; the row's own version is 0 if it does
// not exist. A table from before the last known write is ignored. A later one without that write shows
// that the store has lost it, which no change has to tell.
func (w *RowWriter) ObserveRow(row lagoonbarrow.Row, tableVersion lagoonbarrow.RowVersion) {
	w.mu.Lock()
	previous := w.version
	w.setWritten(row, tableVersion)
	w.versionKnown = true
	changed := w.version != previous
	w.mu.Unlock()
	if changed {
		// Another writer, an earlier process of this node, a late write of this node or a
		// restore of the store has changed the row.
		w.config.Logger.Info("the node's row was changed or lost in the store", "exists", row.Version != 0, "version", row.Version.String(), "known-version", previous.String(), "table-version", tableVersion.String())
	}
	w.signal()
}

// setWritten sets the row as it is in the table at a version, unless it is known at a later one. The
// caller holds the mutex.
func (w *RowWriter) setWritten(row lagoonbarrow.Row, tableVersion lagoonbarrow.RowVersion) {
	if tableVersion < w.knownAt {
		return
	}
	w.knownAt = max(tableVersion, row.Version)
	if row.Version == w.version && w.versionKnown {
		return
	}
	w.version = row.Version
	w.written = row.Value
	close(w.changed)
	w.changed = make(chan struct{})
}

// Wait waits until the store holds the value that was set last. It returns ErrUnavailable if
// ctx ends first.
func (w *RowWriter) Wait(ctx context.Context) error {
	for {
		written, changed := w.isWritten()
		if written {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(lagoonbarrow.ErrUnavailable, "registration: the node's row is not written")
		case <-changed:
		}
	}
}

// isWritten reports whether the store holds the wanted value, and returns a channel that is
// closed when that may change.
func (w *RowWriter) isWritten() (written bool, changed <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.versionKnown && bytes.Equal(w.wanted, w.written), w.changed
}

func (w *RowWriter) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *RowWriter) run(ctx context.Context) {
	wait := backoff.ForStore()
	for ctx.Err() == nil {
		write, needed := w.nextWrite()
		if !needed {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		version, err := w.config.Store.Put(ctx, write)
		if err == nil {
			w.recordWrite(write.Value, version)
			wait.Reset()
			continue
		}
		w.config.Logger.Warn("writing the node's row failed", "version", write.Expected.String(), "error", err)
		if errors.Is(err, lagoonbarrow.ErrConflict) || errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
			w.reread(ctx)
		}
		wait.Wait(ctx)
	}
}

// nextWrite returns the next write and whether one is needed.
func (w *RowWriter) nextWrite() (lagoonbarrow.Write, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.versionKnown || w.wanted == nil || bytes.Equal(w.wanted, w.written) {
		return lagoonbarrow.Write{}, false
	}
	return lagoonbarrow.Write{
		Table:    w.config.Table,
		Key:      w.config.Key,
		Expected: w.version,
		Value:    w.wanted,
	}, true
}

// recordWrite stores the value and version of a successful write.
func (w *RowWriter) recordWrite(value []byte, version lagoonbarrow.RowVersion) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setWritten(lagoonbarrow.Row{
		Version: version,
		Value:   value,
	}, version)
}

// reread reads the row's value and version after a conflict or an unknown outcome.
func (w *RowWriter) reread(ctx context.Context) {
	rows, tableVersion, err := w.config.Store.Rows(ctx, w.config.Table)
	if err != nil {
		w.config.Logger.Warn("reading the node's row failed", "error", err)
		return
	}
	own := slices.IndexFunc(rows, func(row lagoonbarrow.Row) bool { return row.Key == w.config.Key })
	if own < 0 {
		w.ObserveRow(lagoonbarrow.Row{}, tableVersion)
		return
	}
	w.ObserveRow(rows[own], tableVersion)
}
