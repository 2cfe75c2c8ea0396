package registration

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

func newKeeper(t *testing.T) (*RowKeeper, *standin.Store) {
	t.Helper()
	server, err := standin.NewStore(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	keeper := NewRowKeeper(RowConfig{
		Store: platform.NewStore(platform.StoreConfig{
			Address: server.Address(),
			Logger:  hclog.NewNullLogger(),
		}),
		Table:  "table",
		Key:    "own",
		Logger: hclog.NewNullLogger(),
	})
	keeper.Start()
	t.Cleanup(keeper.Stop)
	return keeper, server
}

func await(t *testing.T, server *standin.Store, want string) {
	t.Helper()
	for range 1000 {
		if string(server.Value("table", "own")) == want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the row is %q, want %q", server.Value("table", "own"), want)
}

// Guards against a row that stays missing or old after the store failed.
func TestRowIsWrittenAfterFailures(t *testing.T) {
	rows := []struct {
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
			LoseAnswers: 1,
		}},
		{"writes done late", standin.Faults{
			LoseAnswers: 1,
			LateBy:      300 * time.Millisecond,
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			keeper, server := newKeeper(t)
			server.SetFaults(row.faults)
			keeper.Seen(0)
			keeper.Want([]byte("first"))
			time.Sleep(150 * time.Millisecond)
			keeper.Want([]byte("second"))
			time.Sleep(50 * time.Millisecond)
			server.SetFaults(standin.Faults{})
			await(t, server, "second")
			// A write of the first value that is performed late must change nothing.
			time.Sleep(row.faults.LateBy)
			await(t, server, "second")
		})
	}
}

// Guards against a row that another writer has changed or removed.
func TestRowIsRestored(t *testing.T) {
	keeper, server := newKeeper(t)
	keeper.Seen(0)
	keeper.Want([]byte("value"))
	await(t, server, "value")
	version := server.Put("table", "own", []byte("forged"))
	keeper.Seen(lagoonbarrow.RowVersion(version))
	await(t, server, "value")
	server.Remove("table", "own")
	keeper.Seen(0)
	await(t, server, "value")
}

// countingStore counts writes.
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

// Guards against a write a heartbeat although nothing has changed.
func TestUnchangedRowIsNotWrittenAgain(t *testing.T) {
	store := &countingStore{}
	keeper := NewRowKeeper(RowConfig{
		Store:  store,
		Logger: hclog.NewNullLogger(),
	})
	keeper.Start()
	defer keeper.Stop()
	keeper.Seen(0)
	for range 20 {
		keeper.Want([]byte("value"))
		time.Sleep(time.Millisecond)
		keeper.Seen(1)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	if store.writes != 1 {
		t.Fatalf("%d writes", store.writes)
	}
}
