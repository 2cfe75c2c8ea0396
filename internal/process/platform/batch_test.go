package platform

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	standin "lagoonbarrow/internal/standin/platform"
)

func pendingPuts(writes ...lagoonbarrow.Write) []*pendingPut {
	var queue []*pendingPut
	for _, write := range writes {
		queue = append(queue, &pendingPut{
			write:  write,
			result: make(chan putResult, 1),
		})
	}
	return queue
}

func keysOf(batch []*pendingPut) string {
	var keys []string
	for _, pending := range batch {
		keys = append(keys, fmt.Sprintf("%s@%d", pending.write.Key, pending.write.Expected))
	}
	return fmt.Sprint(keys)
}

// Guards against two writes of a row in one batch, reordered writes of a row,
// batches over the limits, and withdrawn writes that are sent.
func TestNextBatch(t *testing.T) {
	client := New(Config{
		MaxBatchWrites: 3,
		MaxBatchBytes:  8,
	})
	large := newWrite("large", 0)
	large.Value = make([]byte, 9)
	b := client.batcher
	b.queue = pendingPuts(
		newWrite("a", 0),
		newWrite("w", 0),
		newWrite("a", 1),
		newWrite("b", 0),
		newWrite("a", 2),
		newWrite("c", 0),
		newWrite("d", 0),
		large,
	)
	b.queue[1].withdrawn = true
	want := []string{"[a@0 b@0 c@0]", "[a@1 d@0]", "[a@2]", "[large@0]", "[]"}
	for i, keys := range want {
		if got := keysOf(b.nextBatch()); got != keys {
			t.Errorf("batch %d is %s, want %s", i, got, keys)
		}
	}
}

// Guards against a write that fails because of another one in its batch, and
// against one request per write.
func TestBatchedWritesSucceedIndependently(t *testing.T) {
	const writers = 400
	client, server := startPair(t, Config{})
	for i := 0; i < writers; i += 4 {
		if err := put(client, fmt.Sprint(i), 0); err != nil {
			t.Fatal(err)
		}
	}
	before := server.Stats().Batches
	server.SetFaults(standin.Faults{
		Slow: lagoonbarrow.Duration(20 * time.Millisecond),
	})
	var running sync.WaitGroup
	for i := range writers {
		running.Go(func() {
			version, err := client.Put(context.Background(), newWrite(fmt.Sprint(i), 0))
			if i%4 == 0 {
				if version != 1 || !errors.Is(err, lagoonbarrow.ErrConflict) {
					t.Errorf("write %d: version %d, %v, want a conflict", i, version, err)
				}
				return
			}
			if err != nil || version != 1 {
				t.Errorf("write %d: version %d, %v", i, version, err)
			}
		})
	}
	running.Wait()
	batches := server.Stats().Batches - before
	if batches < writers/defaultMaxBatchWrites || batches > writers/4 {
		t.Errorf("%d writes took %d batches", writers, batches)
	}
}

// Guards against writes that fail although the platform only limits their rate, and
// against a batch that stays too large for the limit.
func TestLimitedWritesAreSentAgain(t *testing.T) {
	server := standin.New(standin.Config{
		Address:         "127.0.0.1:0",
		WritesPerSecond: 40,
	})
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Stop() }()
	client := New(Config{
		Address: address,
		Timeout: time.Minute,
	})
	defer func() { _ = client.Stop() }()
	client.batcher.queue = pendingPuts(newWrites(50)...)
	all := client.batcher.queue
	if err := put(client, "last", 0); err != nil {
		t.Fatal(err)
	}
	for _, pending := range all {
		if got := <-pending.result; got.err != nil {
			t.Fatal(got.err)
		}
	}
	stats := server.Stats()
	if stats.Refused == 0 || stats.Writes != 51 || stats.Conflicts != 0 {
		t.Errorf("counts are %+v", stats)
	}
}

func newWrites(count int) []lagoonbarrow.Write {
	var writes []lagoonbarrow.Write
	for i := range count {
		writes = append(writes, newWrite(fmt.Sprint(i), 0))
	}
	return writes
}

// Guards against increments of one row that are lost or applied twice when they
// wait for the same batch.
func TestSameRowKeepsItsOrder(t *testing.T) {
	client, _ := startPair(t, Config{
		// A write whose time ends has an unknown outcome, which is not counted here.
		Timeout: time.Minute,
	})
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for range 10 {
				increment(t, client)
			}
		})
	}
	running.Wait()
	row, err := client.Get(context.Background(), "claims", "counter")
	if err != nil || row.Version != 80 {
		t.Errorf("the row is at version %d after 80 writes: %v", row.Version, err)
	}
}

func increment(t *testing.T, client *Client) {
	for range 10000 {
		row, _ := client.Get(context.Background(), "claims", "counter")
		err := put(client, "counter", row.Version)
		if err == nil {
			return
		}
		if !errors.Is(err, lagoonbarrow.ErrConflict) {
			t.Errorf("increment: %v", err)
			return
		}
	}
	t.Error("no increment in 10,000 tries")
}

// Guards against ErrUnavailable for a cancelled write that is already in flight or
// takes effect later.
func TestPutCancelled(t *testing.T) {
	client, server := startPair(t, Config{})
	server.SetFaults(standin.Faults{
		DelayWrites: lagoonbarrow.Duration(150 * time.Millisecond),
	})
	ctx, cancel := context.WithCancel(context.Background())
	inFlight := make(chan error, 1)
	waiting := make(chan error, 1)
	go func() {
		_, err := client.Put(ctx, newWrite("under-way", 0))
		inFlight <- err
	}()
	eventually(t, "the first batch is in flight", func() bool { return server.Stats().Batches == 1 })
	go func() {
		_, err := client.Put(ctx, newWrite("waiting", 0))
		waiting <- err
	}()
	eventually(t, "the second write waits", func() bool {
		client.batcher.mutex.Lock()
		defer client.batcher.mutex.Unlock()
		return len(client.batcher.queue) == 1
	})
	cancel()
	wantError(t, "write in flight", <-inFlight, lagoonbarrow.ErrOutcomeUnknown)
	wantError(t, "waiting write", <-waiting, lagoonbarrow.ErrUnavailable)
	if err := put(client, "last", 0); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(context.Background(), "claims", "under-way"); err != nil {
		t.Errorf("the write in flight should have taken effect: %v", err)
	}
	_, err := client.Get(context.Background(), "claims", "waiting")
	wantError(t, "waiting row", err, lagoonbarrow.ErrNotFound)
}
