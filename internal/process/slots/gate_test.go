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

// Guards against calls of many requests that each get some of their calls served and
// fail all the same, where some requests could be served whole. The load is three
// times what the server can run; each request makes four calls, one after the other.
func TestOverloadServesWholeRequests(t *testing.T) {
	const (
		steps    = 2000
		calls    = 4
		patience = 12
	)
	gate := New(Config{})
	gate.SetSlots(2)
	type request struct {
		priority lagoonbarrow.Priority
		left     int
		expires  int
		waiting  *waiter
	}
	var active []*request
	shuffle := rand.New(rand.NewPCG(1, 1))
	begun, whole := 0, 0
	// Each step serves two calls, and three requests in two steps ask for six.
	for step := range steps {
		for range 1 + step%2 {
			active = append(active, &request{
				priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, shuffle.Uint64()),
				left:     calls,
			})
			begun++
		}
		// Calls arrive in any order, not in that of their requests.
		shuffle.Shuffle(len(active), func(i, j int) { active[i], active[j] = active[j], active[i] })
		var running int
		var still []*request
		for _, r := range active {
			if r.waiting == nil {
				r.expires = step + patience
				self, err := gate.enter(Demand{
					Priority: r.priority,
					Nested:   true,
					MaxWait:  time.Minute,
				})
				if err != nil {
					continue
				}
				r.waiting = self
				if self == nil {
					r.waiting = &waiter{
						granted: make(chan error, 1),
					}
					r.waiting.granted <- nil
				}
			}
			select {
			case err := <-r.waiting.granted:
				if err != nil {
					continue
				}
				running++
				r.waiting = nil
				r.left--
			default:
				if step > r.expires {
					gate.mu.Lock()
					gate.remove(r.waiting)
					gate.mu.Unlock()
					continue
				}
			}
			if r.left == 0 {
				whole++
				continue
			}
			still = append(still, r)
		}
		active = still
		gate.mu.Lock()
		gate.running -= running
		gate.grant()
		gate.mu.Unlock()
	}
	possible := steps * 2 / calls
	t.Logf("%d of %d requests were served whole, %d were possible", whole, begun, possible)
	if float64(whole) < 0.9*float64(possible) {
		t.Fatalf("%d of %d requests were served whole, %d were possible", whole, begun, possible)
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
			Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0),
			MaxWait:  time.Minute,
		})
	}()
	if err := <-refused; !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Fatalf("error %v", err)
	}
}
