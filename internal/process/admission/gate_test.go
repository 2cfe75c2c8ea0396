package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
	"lagoonbarrow/pkg/event"
)

// Guards against goroutines that keep running after Stop.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

const (
	deferrable = lagoonbarrow.Priority(lagoonbarrow.ImportanceDeferrable) * 64
	normal     = lagoonbarrow.Priority(lagoonbarrow.ImportanceNormal) * 64
	critical   = lagoonbarrow.Priority(lagoonbarrow.ImportanceCritical) * 64
)

// manualClock is a clock that tests advance.
type manualClock struct {
	now time.Time
}

func (c *manualClock) Now() time.Time {
	return c.now
}

// testCall records what the gate decides about a call.
type testCall struct {
	permit    *permit
	err       error
	preempted bool
}

func (c *testCall) waiting() bool {
	return c.permit == nil && c.err == nil
}

// submitCall submits a call without waiting for the decision.
func submitCall(gate *Gate, work lagoonbarrow.Work) *testCall {
	c := &testCall{}
	gate.submit(&waiter{
		work: work,
		onDecision: func(p *permit, err error) {
			c.permit = p
			c.err = err
		},
		cancel: func(cause error) {
			c.preempted = errors.Is(cause, lagoonbarrow.ErrPreempted)
		},
	})
	return c
}

// warmGate returns a gate that has finished its cold start.
func warmGate(t *testing.T, config Config) (*Gate, *manualClock) {
	t.Helper()
	clock := &manualClock{
		now: time.Unix(1_000_000, 0),
	}
	config.Clock = clock
	gate, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	gate.limiter.limit = config.Slots
	gate.limiter.warm = true
	return gate, clock
}

// advance moves the clock and runs the control steps.
func (c *manualClock) advance(gate *Gate, length time.Duration) {
	const step = DefaultWindow / samplesPerWindow
	for passed := time.Duration(0); passed < length; passed += step {
		c.now = c.now.Add(step)
		gate.Step()
	}
}

// Guards against critical work that waits for less important work, preemption of the
// wrong call, and more preemptions than waiting calls.
func TestCriticalWorkPreempts(t *testing.T) {
	gate, clock := warmGate(t, Config{
		Slots: 4,
	})
	var running []*testCall
	for _, priority := range []lagoonbarrow.Priority{deferrable, normal, deferrable, normal} {
		running = append(running, submitCall(gate, lagoonbarrow.Work{
			Priority: priority,
		}))
	}
	first := submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	})
	clock.advance(gate, 20*time.Millisecond)
	if running[2].preempted {
		t.Error("preempted before the target delay passed")
	}
	clock.advance(gate, 10*time.Millisecond)
	if !running[2].preempted || running[0].preempted {
		t.Error("the newest deferrable call was not the one preempted")
	}
	clock.advance(gate, 20*time.Millisecond)
	if running[0].preempted || !first.waiting() {
		t.Error("one waiting call preempted two, or ran before the slot was free")
	}
	running[2].permit.Release(false)
	if first.permit == nil {
		t.Fatal("the critical call did not get the slot")
	}
	second := submitCall(gate, lagoonbarrow.Work{
		Priority: critical + 1,
	})
	third := submitCall(gate, lagoonbarrow.Work{
		Priority: critical + 1,
	})
	clock.advance(gate, 30*time.Millisecond)
	if !running[0].preempted || !running[3].preempted || running[1].preempted {
		t.Error("the second deferrable and the newest normal call were not the ones preempted")
	}
	running[0].permit.Release(false)
	running[3].permit.Release(false)
	if second.permit == nil || third.permit == nil {
		t.Error("critical calls still wait")
	}
	clock.advance(gate, 50*time.Millisecond)
	if got := gate.Status().Preempted; got["deferrable"] != 2 || got["normal"] != 1 {
		t.Errorf("preempted %v", got)
	}
}

// Guards against critical work that waits for a preempted call that ignores its cancellation.
func TestPreemptedCallThatDoesNotEnd(t *testing.T) {
	gate, clock := warmGate(t, Config{
		Slots: 2,
	})
	unresponsive := submitCall(gate, lagoonbarrow.Work{
		Priority: deferrable,
	})
	newest := submitCall(gate, lagoonbarrow.Work{
		Priority: deferrable,
	})
	submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	})
	clock.advance(gate, 50*time.Millisecond)
	if !newest.preempted || unresponsive.preempted {
		t.Error("the newest call was not the only one preempted")
	}
	clock.advance(gate, 20*time.Millisecond)
	if !unresponsive.preempted {
		t.Error("no second call was preempted")
	}
}

// Guards against critical work that is refused by the threshold of its lane while less
// important work is admitted to the other lane.
func TestCriticalWorkIsAdmittedBesideLowerWork(t *testing.T) {
	gate, _ := warmGate(t, Config{
		Slots: 8,
	})
	gate.long.control = threshold.New(255)
	long := lagoonbarrow.Work{
		Priority: critical,
		Long:     true,
	}
	for range 2 {
		if idle := submitCall(gate, long); idle.permit == nil {
			t.Error("critical work refused although a slot is idle")
		}
	}
	if lower := submitCall(gate, lagoonbarrow.Work{
		Priority: normal,
		Long:     true,
	}); lower.err == nil {
		t.Error("less important work admitted while critical work is shed")
	}
	if refused := submitCall(gate, long); refused.err == nil {
		t.Error("the threshold refuses nothing")
	}
	submitCall(gate, lagoonbarrow.Work{
		Priority: deferrable,
	})
	if admitted := submitCall(gate, long); admitted.err != nil {
		t.Error("critical work refused while less important work is admitted")
	}
}

// Guards against a threshold that rises because the process was paused.
func TestPauseDoesNotRaiseThreshold(t *testing.T) {
	gate, clock := warmGate(t, Config{
		Slots: 1,
	})
	running := submitCall(gate, lagoonbarrow.Work{
		Priority: normal,
	})
	queued := submitCall(gate, lagoonbarrow.Work{
		Priority: normal,
	})
	clock.advance(gate, DefaultWindow/2)
	clock.now = clock.now.Add(10 * time.Second)
	gate.Step()
	if gate.Threshold() != 0 || !queued.waiting() {
		t.Errorf("threshold %d, queued call %v", gate.Threshold(), queued.err)
	}
	running.permit.Release(true)
}

// Guards against less important work in reserved slots, and against idle reserved slots
// when there is no critical work.
func TestCriticalReserve(t *testing.T) {
	gate, clock := warmGate(t, Config{
		Slots: 20,
	})
	submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	}).permit.Release(true)
	granted := 0
	for range 20 {
		if submitCall(gate, lagoonbarrow.Work{
			Priority: normal,
		}).permit != nil {
			granted++
		}
	}
	if granted != 18 {
		t.Errorf("normal work got %d of 20 slots", granted)
	}
	if submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	}).permit == nil {
		t.Error("critical work did not get a reserved slot")
	}
	clock.now = clock.now.Add(reserveTTL)
	if submitCall(gate, lagoonbarrow.Work{
		Priority: normal,
	}).permit == nil {
		t.Error("the reserve is idle without critical work")
	}
}

// Guards against an unbounded queue, and against a full queue that refuses more important
// work than it contains.
func TestFullQueue(t *testing.T) {
	gate, _ := warmGate(t, Config{
		Slots: 2,
	})
	var queued []*testCall
	for i := range 2 + 2*queueFactor {
		queued = append(queued, submitCall(gate, lagoonbarrow.Work{
			Priority: normal + lagoonbarrow.Priority(i),
		}))
	}
	if same := submitCall(gate, lagoonbarrow.Work{
		Priority: normal + 2,
	}); !errors.Is(same.err, lagoonbarrow.ErrShed) {
		t.Errorf("call of the lowest queued priority: %v", same.err)
	}
	if higher := submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	}); !higher.waiting() {
		t.Errorf("critical call: %v", higher.err)
	}
	if lowest := queued[2]; !errors.Is(lowest.err, lagoonbarrow.ErrShed) {
		t.Errorf("the least important queued call: %v", lowest.err)
	}
	if got := gate.Load().Queued; got != 2*queueFactor {
		t.Errorf("%d queued", got)
	}
}

// Guards against calls that stay queued although they can't meet their deadline, and
// against an expected time that stays high without calls.
func TestDeadlines(t *testing.T) {
	gate, clock := warmGate(t, Config{
		Slots: 1,
		// The threshold must not refuse the calls before their deadlines do.
		TargetQueueDelay: time.Hour,
	})
	for range 10 {
		measured := submitCall(gate, lagoonbarrow.Work{
			Operation: "a",
		})
		clock.now = clock.now.Add(100 * time.Millisecond)
		measured.permit.Release(true)
	}
	if late := submitCall(gate, lagoonbarrow.Work{
		Deadline: clock.now,
	}); !errors.Is(late.err, lagoonbarrow.ErrDeadline) {
		t.Errorf("call past its deadline: %v", late.err)
	}
	submitCall(gate, lagoonbarrow.Work{})
	tight := submitCall(gate, lagoonbarrow.Work{
		Operation: "a",
		Deadline:  clock.now.Add(120 * time.Millisecond),
	})
	loose := submitCall(gate, lagoonbarrow.Work{
		Operation: "a",
		Deadline:  clock.now.Add(300 * time.Millisecond),
	})
	clock.advance(gate, 40*time.Millisecond)
	if !errors.Is(tight.err, lagoonbarrow.ErrDeadline) || !loose.waiting() {
		t.Errorf("deadline in 80 ms: %v; in 260 ms: %v", tight.err, loose.err)
	}
	clock.advance(gate, 300*time.Millisecond)
	if !errors.Is(loose.err, lagoonbarrow.ErrDeadline) {
		t.Errorf("past deadline: %v", loose.err)
	}
	if expected := gate.operations.get("a").expected(clock.now.Add(10 * time.Second)); expected > time.Millisecond {
		t.Errorf("expected time %v after 10 s without a call", expected)
	}
}

// Guards against a plain gate that orders by priority or has an unbounded queue.
func TestPlain(t *testing.T) {
	gate, _ := warmGate(t, Config{
		Slots: 1,
		Plain: true,
	})
	running := submitCall(gate, lagoonbarrow.Work{
		Priority: deferrable,
	})
	low := submitCall(gate, lagoonbarrow.Work{
		Priority: deferrable,
	})
	high := submitCall(gate, lagoonbarrow.Work{
		Priority: critical,
	})
	for range queueFactor {
		submitCall(gate, lagoonbarrow.Work{
			Priority: critical,
		})
	}
	if gate.Load().Queued != queueFactor {
		t.Errorf("%d queued", gate.Load().Queued)
	}
	running.permit.Release(true)
	if low.permit == nil || !high.waiting() {
		t.Error("not first come, first served")
	}
}

// Guards against invalid settings that would refuse all calls.
func TestConfigIsChecked(t *testing.T) {
	for _, config := range []Config{{}, {
		Slots:     1,
		LongShare: 2,
	}, {
		Slots:           1,
		CriticalReserve: 1,
	}} {
		if _, err := New(config); !errors.Is(err, lagoonbarrow.ErrInvalid) {
			t.Errorf("%+v: %v", config, err)
		}
	}
}

// countingRecorder counts events by kind.
type countingRecorder struct {
	mu     sync.Mutex
	counts map[string]int
}

func (r *countingRecorder) Record(kind event.Kind, _ event.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind.Name]++
}

// Guards against leaked slots, waiters without a decision and data races when calls,
// cancellations and a stop run concurrently.
func TestConcurrentCalls(t *testing.T) {
	recorder := &countingRecorder{
		counts: map[string]int{},
	}
	gate, err := New(Config{
		Slots:    8,
		Recorder: recorder,
	})
	if err != nil {
		t.Fatal(err)
	}
	gate.Start()
	var callers sync.WaitGroup
	for caller := range 64 {
		callers.Add(1)
		go func() {
			defer callers.Done()
			random := rand.New(rand.NewPCG(uint64(caller), 0))
			for range 50 {
				admitOnce(t, gate, random)
			}
		}()
	}
	callers.Wait()
	status := gate.Status()
	if status.Running != 0 || status.Short.Queued != 0 || status.Long.Queued != 0 {
		t.Errorf("after all calls ended: %+v", status)
	}
	gate.Stop()
	gate.Stop()
	if _, err := gate.Admit(context.Background(), lagoonbarrow.Work{}); !errors.Is(err, lagoonbarrow.ErrShed) {
		t.Errorf("after the stop: %v", err)
	}
	t.Logf("%+v, events %v", status, recorder.counts)
}

// admitOnce makes one random call. Errors other than ErrShed and ErrDeadline fail the test.
func admitOnce(t *testing.T, gate *Gate, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(20))*time.Millisecond)
	defer cancel()
	deadline, _ := ctx.Deadline()
	granted, err := gate.Admit(ctx, lagoonbarrow.Work{
		Priority:  lagoonbarrow.Priority(random.IntN(256)),
		Long:      random.IntN(8) == 0,
		Deadline:  deadline,
		Operation: "a",
	})
	if err != nil {
		if !errors.Is(err, lagoonbarrow.ErrShed) && !errors.Is(err, lagoonbarrow.ErrDeadline) {
			t.Errorf("refused with %v", err)
		}
		return
	}
	select {
	case <-granted.Context().Done():
		granted.Release(false)
	case <-time.After(time.Duration(random.IntN(1000)) * time.Microsecond):
		granted.Release(true)
	}
	granted.Release(true)
}

func BenchmarkAdmit(b *testing.B) {
	gate, err := New(Config{
		Slots: 200,
	})
	if err != nil {
		b.Fatal(err)
	}
	gate.limiter.limit = 200
	work := lagoonbarrow.Work{
		Priority:  normal,
		Operation: "registry GET /members",
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			granted, err := gate.Admit(context.Background(), work)
			if err != nil {
				b.Error(err)
				return
			}
			granted.Release(true)
		}
	})
}

func BenchmarkStep(b *testing.B) {
	gate, err := New(Config{
		Slots: 200,
	})
	if err != nil {
		b.Fatal(err)
	}
	for i := range 1000 {
		submitCall(gate, lagoonbarrow.Work{
			Priority:  lagoonbarrow.Priority(i),
			Operation: fmt.Sprint(i % 100),
		})
	}
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		gate.closeWindow(now)
		now = now.Add(DefaultWindow)
		for range samplesPerWindow {
			gate.expireQueued(now)
			gate.sample(&gate.short, now)
			gate.sample(&gate.long, now)
		}
	}
}
