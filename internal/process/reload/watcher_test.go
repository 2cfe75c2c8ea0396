package reload

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Guards against a change of the settings file that is not noticed because no
// signal comes, and against one that is told twice.
func TestChangesAreNoticed(t *testing.T) {
	rows := []struct {
		name     string
		interval time.Duration
		signal   bool
	}{
		{"without a signal", time.Millisecond, false},
		{"with a signal", time.Hour, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "settings")
			write(t, path, "one")
			changes := make(chan struct{}, 10)
			watcher := NewWatcher(Config{
				Path:     path,
				Known:    []byte("one"),
				Interval: row.interval,
				Changed:  func([]byte) { changes <- struct{}{} },
				Logger:   hclog.NewNullLogger(),
			})
			replace(t, path, "two")
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				watcher.Run(ctx)
			}()
			if row.signal {
				watcher.Signal()
			}
			<-changes
			cancel()
			<-ended
			watcher.look()
			if len(changes) != 0 {
				t.Fatal("one change was told twice")
			}
		})
	}
}

// Guards against a change that is missed because it came between the reading of the
// settings and the first look.
func TestChangeBeforeTheFirstLook(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "two")
	watcher, told := counting(path)
	watcher.look()
	if *told != 1 {
		t.Fatalf("%d changes were told", *told)
	}
}

// Guards against a missing file that counts as a change.
func TestAMissingFileChangesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	write(t, path, "one")
	watcher, told := counting(path)
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	watcher.look()
	write(t, path, "one")
	watcher.look()
	if *told != 0 {
		t.Fatalf("%d changes were told", *told)
	}
}

// counting returns a watcher of a file that held "one", and the number of changes
// that it has told.
func counting(path string) (watcher *Watcher, told *int) {
	told = new(int)
	watcher = NewWatcher(Config{
		Path:    path,
		Known:   []byte("one"),
		Changed: func([]byte) { *told++ },
		Logger:  hclog.NewNullLogger(),
	})
	return watcher, told
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// replace changes the file at once, so that no part of it is seen.
func replace(t *testing.T, path, text string) {
	t.Helper()
	write(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}
