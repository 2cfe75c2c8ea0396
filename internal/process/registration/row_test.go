package registration

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/era"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

func startRowWriter(t *testing.T) (*RowWriter, *standin.Store) {
	t.Helper()
	server, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	writer := NewRowWriter(RowWriterConfig{
		Store: era.NewStore(era.Config{
			Store: platform.NewStore(platform.StoreConfig{
				Address: server.Address(),
				Logger:  hclog.NewNullLogger(),
			}),
		}),
		Table:  "table",
		Key:    "own",
		Logger: hclog.NewNullLogger(),
	})
	writer.Start()
	t.Cleanup(writer.Stop)
	return writer, server
}

// startWriterOf starts a writer of a row in the store until the test ends.
func startWriterOf(t *testing.T, store lagoonbarrow.RowStore) *RowWriter {
	t.Helper()
	writer := NewRowWriter(RowWriterConfig{
		Store:  store,
		Logger: hclog.NewNullLogger(),
	})
	writer.Start()
	t.Cleanup(writer.Stop)
	return writer
}

// awaitRow waits until the row has the value.
func awaitRow(t *testing.T, server *standin.Store, want string) {
	t.Helper()
	for range 1000 {
		if string(server.Value("table", "own")) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the row is %q, want %q", server.Value("table", "own"), want)
}

// Guards against a row that stays missing or outdated after a failure of the store.
func TestRowIsWrittenAfterFailures(t *testing.T) {
	tests := []struct {
		name   string
		faults standin.Faults
	}{
		{"busy", standin.Faults{
			Failure: standin.FailBusy,
		}},
		{"reset", standin.Faults{
			Failure: standin.FailReset,
		}},
		{"answers lost", standin.Faults{
			LoseResponses: 1,
		}},
		{"writes done late", standin.Faults{
			LoseResponses:  1,
			LostWriteDelay: 300 * time.Millisecond,
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			writer, server := startRowWriter(t)
			server.SetFaults(test.faults)
			writer.ObserveRow(lagoonbarrow.Row{}, 0)
			writer.SetValue([]byte("first"))
			time.Sleep(150 * time.Millisecond)
			writer.SetValue([]byte("second"))
			time.Sleep(50 * time.Millisecond)
			server.SetFaults(standin.Faults{})
			awaitRow(t, server, "second")
			// A write of the first value that is performed late must change nothing.
			time.Sleep(test.faults.LostWriteDelay)
			awaitRow(t, server, "second")
		})
	}
}

// Guards against a row that keeps the change or removal of another writer.
func TestRowIsRestored(t *testing.T) {
	writer, server := startRowWriter(t)
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	writer.SetValue([]byte("value"))
	awaitRow(t, server, "value")
	version := server.Put("table", "own", []byte("forged"))
	writer.ObserveRow(lagoonbarrow.Row{
		Version: lagoonbarrow.NewRowVersion(1, version),
		Value:   []byte("forged"),
	}, lagoonbarrow.NewRowVersion(1, version))
	awaitRow(t, server, "value")
	server.Remove("table", "own")
	// The row was written again and then removed.
	writer.ObserveRow(lagoonbarrow.Row{}, lagoonbarrow.NewRowVersion(1, version+2))
	awaitRow(t, server, "value")
}

// countingStore accepts and counts writes.
type countingStore struct {
	lagoonbarrow.RowStore
	mu     sync.Mutex
	writes int
}

func (s *countingStore) Put(_ context.Context, _ lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return lagoonbarrow.RowVersion(s.writes), nil
}

// Guards against a write for each heartbeat although the value is the same.
func TestUnchangedRowIsNotWrittenAgain(t *testing.T) {
	store := &countingStore{}
	writer := startWriterOf(t, store)
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	for range 20 {
		writer.SetValue([]byte("value"))
		time.Sleep(time.Millisecond)
		writer.ObserveRow(lagoonbarrow.Row{
			Version: 1,
			Value:   []byte("value"),
		}, 1)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.writes != 1 {
		t.Fatalf("%d writes", store.writes)
	}
}

// Guards against a row that keeps a write from before a restore, performed after it.
func TestLateWriteFromBeforeARestoreIsReplaced(t *testing.T) {
	const lateWrite = 300 * time.Millisecond
	writer, server := startRowWriter(t)
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	writer.SetValue([]byte("first"))
	awaitRow(t, server, "first")
	before := server.Copy()
	server.SetFaults(standin.Faults{
		LoseResponses:  1,
		LostWriteDelay: lateWrite,
	})
	writer.SetValue([]byte("late"))
	time.Sleep(lateWrite / 2)
	writer.SetValue([]byte("last"))
	server.Restore(before)
	server.SetFaults(standin.Faults{})
	awaitRow(t, server, "last")
	time.Sleep(2 * lateWrite)
	awaitRow(t, server, "last")
}

// Guards against a row that stays lost after a restore because no change names it: only the table at
// a later version shows that the row is missing.
func TestRowThatALaterTableLacksIsWrittenAgain(t *testing.T) {
	writer, server := startRowWriter(t)
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	before := server.Copy()
	writer.SetValue([]byte("value"))
	awaitRow(t, server, "value")
	server.Restore(before)
	// The restored store's numbers are lower.
	writer.ObserveRow(lagoonbarrow.Row{}, lagoonbarrow.NewRowVersion(2, 0))
	awaitRow(t, server, "value")
}

// Guards against a write for each table from before the last write, which lacks it.
func TestRowThatAnEarlierTableLacksIsNotWrittenAgain(t *testing.T) {
	store := &countingStore{}
	writer := startWriterOf(t, store)
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	writer.SetValue([]byte("value"))
	if err := writer.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	time.Sleep(50 * time.Millisecond)
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.writes != 1 {
		t.Errorf("%d writes", store.writes)
	}
}

// lateStore performs writes, and answers the first one only once it is released.
type lateStore struct {
	countingStore
	released chan struct{}
	// restored is set for versions of the era after a restore.
	restored atomic.Bool
}

func (s *lateStore) Put(ctx context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	era := lagoonbarrow.Era(1)
	if s.restored.Load() {
		era++
	}
	number, err := s.countingStore.Put(ctx, write)
	<-s.released
	return lagoonbarrow.NewRowVersion(era, number.Number()), err
}

// Guards against the response to a write from before a restore that arrives after the node has
// learned that the row is lost, and hides the loss.
func TestLateResponseToAWriteDoesNotHideThatItIsLost(t *testing.T) {
	store := &lateStore{
		released: make(chan struct{}),
	}
	writer := startWriterOf(t, store)
	writes := func() int {
		store.mu.Lock()
		defer store.mu.Unlock()
		return store.writes
	}
	writer.ObserveRow(lagoonbarrow.Row{}, lagoonbarrow.NewRowVersion(1, 0))
	writer.SetValue([]byte("value"))
	for writes() == 0 {
		time.Sleep(time.Millisecond)
	}
	store.restored.Store(true)
	writer.ObserveRow(lagoonbarrow.Row{}, lagoonbarrow.NewRowVersion(2, 0))
	close(store.released)
	for range 1000 {
		if writes() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d writes", writes())
}

// Guards against a departure that counts as recorded while the store doesn't have the row.
func TestWaitEndsOnceTheStoreHasTheRow(t *testing.T) {
	writer, server := startRowWriter(t)
	server.SetFaults(standin.Faults{
		Failure: standin.FailBusy,
	})
	writer.ObserveRow(lagoonbarrow.Row{}, 0)
	writer.SetValue([]byte("value"))
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := writer.Wait(ctx); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
		t.Fatalf("error %v while the store is busy", err)
	}
	server.SetFaults(standin.Faults{})
	if err := writer.Wait(context.Background()); err != nil {
		t.Fatal(err)
	}
	if got := string(server.Value("table", "own")); got != "value" {
		t.Errorf("the row is %q", got)
	}
}
