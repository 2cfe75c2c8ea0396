// Package reload notices changes of a settings file, with or without a signal.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
)

// defaultInterval is the time between two looks at the file. Reading a file of
// about a kilobyte costs some ten microseconds.
const defaultInterval = 2 * time.Second

// Config configures a Watcher.
type Config struct {
	Path string
	// Known is the content that the settings in force were read from.
	Known []byte
	// Interval is the time between two looks at the file; 2 s by default.
	Interval time.Duration
	// Changed is told the file's new content.
	Changed func(content []byte)
	Logger  hclog.Logger
}

// Watcher compares a file's content with what it was before.
type Watcher struct {
	config Config
	signal chan struct{}
	last   []byte
	// failing is set between a failed and the next successful reading.
	failing bool
}

// NewWatcher returns a watcher that has not looked at the file yet.
func NewWatcher(config Config) *Watcher {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	return &Watcher{
		config: config,
		signal: make(chan struct{}, 1),
		last:   config.Known,
	}
}

// Signal asks for a look at the file now.
func (w *Watcher) Signal() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// Run looks at the file until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	ticker := time.NewTicker(w.config.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-w.signal:
		}
		w.look()
	}
}

func (w *Watcher) look() {
	content, known := w.read()
	if !known || bytes.Equal(content, w.last) {
		return
	}
	w.last = content
	w.config.Changed(content)
}

func (w *Watcher) read() (content []byte, known bool) {
	content, err := os.ReadFile(w.config.Path)
	failed := err != nil
	if failed && !w.failing {
		w.config.Logger.Warn("the settings file can't be read; the present settings stay", "error", err)
	}
	w.failing = failed
	return content, !failed
}
