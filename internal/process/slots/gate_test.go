package slots

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

func newGate(declared int) *Gate {
	gate := New(Config{})
	gate.SetSlots(declared)
	return gate
}

func acquire(t *testing.T, gate *Gate, demand Demand) func() {
	t.Helper()
	release, err := gate.Acquire(context.Background(), demand)
	if err != nil {
		t.Fatal(err)
	}
	return release
}

// Guards against a server that is filled to the slot where it becomes slow.
func TestLimitLeavesHeadroom(t *testing.T) {
	rows := []struct {
		slots int
		want  int
	}{
		{1, 1},
		{2, 2},
		{17, 16},
		{72, 68},
		{252, 239},
	}
	for _, row := range rows {
		if got := Limit(row.slots); got != row.want {
			t.Errorf("%d slots: limit %d, want %d", row.slots, got, row.want)
		}
	}
}

// Guards against a full server that is sent more, and against a refusal without a
// word on when to come back.
func TestFullGateRefusesAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	gate := New(Config{
		Now: func() time.Time { return now },
	})
	gate.SetSlots(1)
	release := acquire(t, gate, Demand{})
	now = now.Add(100 * time.Millisecond)
	release()
	defer acquire(t, gate, Demand{})()
	_, err := gate.Acquire(context.Background(), Demand{
		Importance: lagoonbarrow.ImportanceCritical,
		MaxWait:    10 * time.Millisecond,
	})
	var refusal *Refusal
	if !errors.As(err, &refusal) || !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatalf("error %v", err)
	}
	if refusal.RetryAfter != 100*time.Millisecond {
		t.Fatalf("retry after %s, want the time that a slot is held", refusal.RetryAfter)
	}
}

// Guards against less important work that gets a slot before more important work,
// and new work before that of a request that was begun.
func TestWaitersGoByImportance(t *testing.T) {
	gate := newGate(1)
	release := acquire(t, gate, Demand{})
	var mu sync.Mutex
	var order []int
	var ended sync.WaitGroup
	demands := []Demand{
		{
			Importance: lagoonbarrow.ImportanceDeferrable,
		},
		{
			Importance: lagoonbarrow.ImportanceCritical,
		},
		{
			Importance: lagoonbarrow.ImportanceDeferrable,
			Nested:     true,
		},
		{
			Importance: lagoonbarrow.ImportanceCritical,
			Nested:     true,
		},
	}
	for i, demand := range demands {
		demand.MaxWait = time.Minute
		ended.Add(1)
		go func() {
			defer ended.Done()
			free, err := gate.Acquire(context.Background(), demand)
			if err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, i)
			mu.Unlock()
			free()
		}()
		for gate.Load().Queued != i+1 {
			time.Sleep(time.Millisecond)
		}
	}
	release()
	ended.Wait()
	want := []int{3, 1, 2, 0}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order %v, want %v", order, want)
		}
	}
}

// Guards against slots that are lost to callers who gave up waiting.
func TestAbandonedWaitersLeaveTheQueue(t *testing.T) {
	gate := newGate(1)
	release := acquire(t, gate, Demand{})
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error)
	go func() {
		_, err := gate.Acquire(ctx, Demand{
			MaxWait: time.Minute,
		})
		failed <- err
	}()
	for gate.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-failed; !errors.Is(err, lagoonbarrow.ErrDeadline) {
		t.Fatalf("error %v", err)
	}
	release()
	if load := gate.Load(); load.Running != 0 || load.Queued != 0 {
		t.Fatalf("load %+v", load)
	}
	acquire(t, gate, Demand{})()
}

// Guards against a full queue that keeps unimportant work and refuses important work.
func TestFullQueueDisplacesTheLeastImportant(t *testing.T) {
	gate := newGate(1)
	defer acquire(t, gate, Demand{})()
	refused := make(chan error, queueFactor)
	for range queueFactor {
		go func() {
			_, err := gate.Acquire(context.Background(), Demand{
				MaxWait: time.Minute,
			})
			refused <- err
		}()
	}
	for gate.Load().Queued != queueFactor {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		_, _ = gate.Acquire(ctx, Demand{
			Importance: lagoonbarrow.ImportanceCritical,
			MaxWait:    time.Minute,
		})
	}()
	if err := <-refused; !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatalf("error %v", err)
	}
}
