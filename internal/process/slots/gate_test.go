package slots

import (
	"context"
	"math/rand/v2"
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

func mustAcquire(t *testing.T, gate *Gate, demand Demand) func() {
	t.Helper()
	release, err := gate.Acquire(context.Background(), demand)
	if err != nil {
		t.Fatal(err)
	}
	return release
}

// Guards against a server that is filled to its last slots, where it slows down.
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

// Guards against a full server that receives more requests, and against a refusal
// without a retry time.
func TestFullGateRefusesAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	gate := New(Config{
		Now: func() time.Time { return now },
	})
	gate.SetSlots(1)
	release := mustAcquire(t, gate, Demand{})
	now = now.Add(100 * time.Millisecond)
	release()
	defer mustAcquire(t, gate, Demand{})()
	_, err := gate.Acquire(context.Background(), Demand{
		Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0),
		MaxWait:  10 * time.Millisecond,
	})
	var refusal *Refusal
	if !errors.As(err, &refusal) || !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatalf("error %v", err)
	}
	if refusal.RetryAfter != 100*time.Millisecond {
		t.Fatalf("retry after %s, want the time that a slot is held", refusal.RetryAfter)
	}
}

// Guards against less important requests that get a slot before more important ones,
// and against client requests that precede nested ones of the same importance.
func TestWaitersAreOrderedByImportance(t *testing.T) {
	gate := newGate(1)
	release := mustAcquire(t, gate, Demand{})
	var mu sync.Mutex
	var order []int
	var ended sync.WaitGroup
	demands := []Demand{
		{
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0),
		},
		{
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0),
		},
		{
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0),
			Nested:   true,
		},
		{
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0),
			Nested:   true,
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

// Guards against an overload in which most requests get only some of their calls
// served and fail, although some requests could be served completely. The load is
// three times the capacity, and each request makes four calls in sequence.
func TestOverloadServesWholeRequests(t *testing.T) {
	const (
		steps        = 2000
		calls        = 4
		maxWaitSteps = 12
	)
	gate := New(Config{})
	gate.SetSlots(2)
	type request struct {
		priority  lagoonbarrow.Priority
		remaining int
		expires   int
		waiting   *waiter
	}
	var active []*request
	shuffle := rand.New(rand.NewPCG(1, 1))
	started, complete := 0, 0
	// Each step serves two calls. Two steps add three requests, which need six calls a step.
	for step := range steps {
		for range 1 + step%2 {
			active = append(active, &request{
				priority:  lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, shuffle.Uint64()),
				remaining: calls,
			})
			started++
		}
		// Calls arrive in random order, not in the order of their requests.
		shuffle.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
		var running int
		var unfinished []*request
		for _, r := range active {
			if r.waiting == nil {
				r.expires = step + maxWaitSteps
				w, err := gate.acquireOrQueue(Demand{
					Priority: r.priority,
					Nested:   true,
					MaxWait:  time.Minute,
				})
				if err != nil {
					continue
				}
				r.waiting = w
				if w == nil {
					r.waiting = &waiter{
						result: make(chan error, 1),
					}
					r.waiting.result <- nil
				}
			}
			select {
			case err := <-r.waiting.result:
				if err != nil {
					continue
				}
				running++
				r.waiting = nil
				r.remaining--
			default:
				if step > r.expires {
					gate.mu.Lock()
					gate.remove(r.waiting)
					gate.mu.Unlock()
					continue
				}
			}
			if r.remaining == 0 {
				complete++
				continue
			}
			unfinished = append(unfinished, r)
		}
		active = unfinished
		gate.mu.Lock()
		gate.running -= running
		gate.grant()
		gate.mu.Unlock()
	}
	possible := steps * 2 / calls
	t.Logf("%d of %d requests were served completely, %d were possible", complete, started, possible)
	if float64(complete) < 0.9*float64(possible) {
		t.Fatalf("%d of %d requests were served completely, %d were possible", complete, started, possible)
	}
}

// Guards against slots that are lost to callers that have stopped waiting.
func TestAbandonedWaitersLeaveTheQueue(t *testing.T) {
	gate := newGate(1)
	release := mustAcquire(t, gate, Demand{})
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
	mustAcquire(t, gate, Demand{})()
}

// Guards against a full queue that keeps unimportant requests and refuses important ones.
func TestFullQueueDisplacesTheLeastImportant(t *testing.T) {
	gate := newGate(1)
	defer mustAcquire(t, gate, Demand{})()
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
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0),
			MaxWait:  time.Minute,
		})
	}()
	if err := <-refused; !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatalf("error %v", err)
	}
}
