package reload

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a change of the settings file that is missed without a signal, and
// against one that is reported twice.
func TestChangesAreDetected(t *testing.T) {
	tests := []struct {
		name     string
		interval time.Duration
		signal   bool
	}{
		{"without a signal", time.Millisecond, false},
		{"with a signal", time.Hour, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			writeFile(t, path, "one")
			changes := make(chan struct{}, 10)
			watcher := NewWatcher(Config{
				Path:           path,
				InitialContent: []byte("one"),
				Interval:       test.interval,
				OnChange:       func([]byte) { changes <- struct{}{} },
				Logger:         hclog.NewNullLogger(),
			})
			replaceFile(t, path, "two")
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				watcher.Run(ctx)
			}()
			if test.signal {
				watcher.Signal()
			}
			<-changes
			cancel()
			<-done
			watcher.check()
			if len(changes) != 0 {
				t.Fatal("one change was reported twice")
			}
		})
	}
}

// Guards against missing a change between the initial load of the settings and the first
// check.
func TestChangeBeforeTheFirstCheck(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeFile(t, path, "two")
	watcher, changes := newCountingWatcher(path)
	watcher.check()
	if *changes != 1 {
		t.Fatalf("%d changes were reported", *changes)
	}
}

// Guards against a missing file that counts as a change.
func TestMissingFileIsNoChange(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	writeFile(t, path, "one")
	watcher, changes := newCountingWatcher(path)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	watcher.check()
	writeFile(t, path, "one")
	watcher.check()
	if *changes != 0 {
		t.Fatalf("%d changes were reported", *changes)
	}
}

// newCountingWatcher returns a watcher whose last content is "one", and the number of
// changes that it reports.
func newCountingWatcher(path string) (watcher *Watcher, changes *int) {
	changes = new(int)
	watcher = NewWatcher(Config{
		Path:           path,
		InitialContent: []byte("one"),
		OnChange:       func([]byte) { *changes++ },
		Logger:         hclog.NewNullLogger(),
	})
	return watcher, changes
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// replaceFile replaces the file atomically. A reader never sees a part of it.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
