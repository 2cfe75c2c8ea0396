// Package reload detects changes of a settings file, with or without a signal.
package reload

import (
	"bytes"
	"context"
	"os"
	"time"

	"github.com/hashicorp/go-hclog"
)

// defaultInterval is the time between two checks of the file. Reading a file of about
// a kilobyte takes about ten microseconds.
const defaultInterval = 2 * time.Second

// Config configures a Watcher.
type Config struct {
	Path string
	// InitialContent is the content from which the current settings were read.
	InitialContent []byte
	// Interval is the time between two checks of the file. The default is 2 s.
	Interval time.Duration
	// OnChange is called with the file's new content.
	OnChange func(content []byte)
	Logger   hclog.Logger
}

// Watcher reports changes of a file's content.
type Watcher struct {
	config Config
	signal chan struct{}
	// last is the content at the last successful read.
	last []byte
	// failing is set between a failed and the next successful read. It limits the log to
	// one line for each series of failures.
	failing bool
}

// NewWatcher returns a watcher that has not read the file yet.
func NewWatcher(config Config) *Watcher {
	if config.Interval <= 0 {
		config.Interval = defaultInterval
	}
	return &Watcher{
		config: config,
		signal: make(chan struct{}, 1),
		last:   config.InitialContent,
	}
}

// Signal triggers a check of the file and doesn't wait for it.
func (w *Watcher) Signal() {
	select {
	case w.signal <- struct{}{}:
	default:
	}
}

// Run checks the file at each interval and signal until ctx is done.
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
		w.check()
	}
}

// check reads the file and calls OnChange if its content differs.
func (w *Watcher) check() {
	content, ok := w.read()
	if !ok || bytes.Equal(content, w.last) {
		return
	}
	w.last = content
	w.config.OnChange(content)
}

// read returns the file's content, and false if the file can't be read.
func (w *Watcher) read() (content []byte, ok bool) {
	content, err := os.ReadFile(w.config.Path)
	failed := err != nil
	if failed && !w.failing {
		w.config.Logger.Warn("could not read the settings file, keeping the current settings", "error", err)
	}
	w.failing = failed
	return content, !failed
}
