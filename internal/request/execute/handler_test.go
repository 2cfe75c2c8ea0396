package execute

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/pkg/event"
)

type noRecorder struct{}

func (noRecorder) Record(event.Kind, event.Fields) {}

// fakeServer is a backend server whose state tests change.
type fakeServer struct {
	mu       sync.Mutex
	ready    bool
	replaced lagoonbarrow.ServerID
	// unreachable is the server that was found unreachable.
	unreachable lagoonbarrow.ServerID
	answer      lagoonbarrow.Answer
	// block holds runs back until it is closed.
	block chan struct{}
	// working is called while a call runs.
	working func(call *lagoonbarrow.Call)
	runs    []*lagoonbarrow.Call
}

func (f *fakeServer) current() (registration.Server, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return registration.Server{
		ID:      "i-1",
		Service: "alpha",
	}, f.ready
}

// budget returns a budget that holds two repeats.
func (f *fakeServer) budget() *retry.Budget {
	now := time.Unix(0, 0)
	budget := retry.New(retry.Config{
		Bounds: retry.Bounds{
			Slack:  5,
			Window: time.Second,
		},
		Instances: func() int { return 1 },
		Now:       func() time.Time { return now },
	})
	now = now.Add(time.Second)
	return budget
}

func (f *fakeServer) setReady(ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready = ready
}

func (f *fakeServer) Relay(_ context.Context, call *lagoonbarrow.Call, _ time.Time) *lagoonbarrow.Answer {
	f.mu.Lock()
	f.runs = append(f.runs, call)
	f.mu.Unlock()
	if f.block != nil {
		<-f.block
	}
	if f.working != nil {
		f.working(call)
	}
	answer := f.answer
	answer.Call = call.ID
	return &answer
}

func (f *fakeServer) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

func newHandler(server *fakeServer) (*Handler, *slots.Gate) {
	gate := slots.New(slots.Config{})
	gate.SetSlots(1)
	handler := NewHandler(Config{
		Current:     server.current,
		Replaced:    func(id lagoonbarrow.ServerID) { server.replaced = id },
		Unreachable: func(id lagoonbarrow.ServerID) { server.unreachable = id },
		Version:     func() lagoonbarrow.ConfigurationVersion { return 1 },
		Heard:       func(lagoonbarrow.ConfigurationVersion) {},
		Gate:        gate,
		Budget:      server.budget(),
		Relay:       server,
		Recorder:    noRecorder{},
	})
	return handler, gate
}

func newCall(id string) *lagoonbarrow.Call {
	return &lagoonbarrow.Call{
		ID:        lagoonbarrow.CallID(id),
		Request:   lagoonbarrow.RequestID(id),
		Service:   "alpha",
		Remaining: time.Minute,
		MaxWait:   time.Minute,
	}
}

var done = lagoonbarrow.Answer{
	Outcome: lagoonbarrow.OutcomeDone,
	Status:  200,
	Offered: true,
}

// Guards against calls that reach a server which is not known, is leaving, or is
// of another service.
func TestOnlyAReadyServerOfTheServiceGetsCalls(t *testing.T) {
	rows := []struct {
		name    string
		ready   bool
		service lagoonbarrow.ServiceName
		close   bool
		runs    int
	}{
		{"ready", true, "alpha", false, 1},
		{"not ready", false, "alpha", false, 0},
		{"another service", true, "beta", false, 0},
		{"the node is stopping", true, "alpha", true, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := &fakeServer{
				ready:  row.ready,
				answer: done,
			}
			handler, _ := newHandler(server)
			if row.close {
				handler.Close()
			}
			call := newCall("request")
			call.Service = row.service
			answer := handler.HandleCall(context.Background(), call)
			if server.count() != row.runs {
				t.Fatalf("%d runs", server.count())
			}
			if row.runs == 0 && answer.Outcome != lagoonbarrow.OutcomeNotRun {
				t.Fatalf("answer %+v", answer)
			}
			if row.runs == 1 && server.runs[0].Server != "i-1" {
				t.Fatalf("the expected server is %q", server.runs[0].Server)
			}
		})
	}
}

// Guards against a call that waited for a slot and reaches a server which began to
// leave meanwhile.
func TestServerThatLeavesWhileACallWaits(t *testing.T) {
	server := &fakeServer{
		ready:  true,
		answer: done,
		block:  make(chan struct{}),
	}
	handler, gate := newHandler(server)
	first := make(chan *lagoonbarrow.Answer)
	go func() { first <- handler.HandleCall(context.Background(), newCall("first")) }()
	for server.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	second := make(chan *lagoonbarrow.Answer)
	go func() { second <- handler.HandleCall(context.Background(), newCall("second")) }()
	for gate.Load().Queued == 0 {
		time.Sleep(time.Millisecond)
	}
	server.setReady(false)
	close(server.block)
	if answer := <-first; answer.Outcome != lagoonbarrow.OutcomeDone {
		t.Fatalf("the running call was cut off: %+v", answer)
	}
	if answer := <-second; answer.Outcome != lagoonbarrow.OutcomeNotRun || server.count() != 1 {
		t.Fatalf("answer %+v after %d runs", answer, server.count())
	}
	if load := gate.Load(); load.Running != 0 {
		t.Fatalf("%d slots are still held", load.Running)
	}
}

// Guards against a server that is gone and stays in use although another one
// answers at its address.
func TestAnotherServerAtTheAddressIsNoticed(t *testing.T) {
	server := &fakeServer{
		ready: true,
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeNotRun,
			Status:  statusMisdirected,
		},
	}
	handler, _ := newHandler(server)
	handler.HandleCall(context.Background(), newCall("request"))
	if server.replaced != "i-1" {
		t.Fatalf("replaced %q", server.replaced)
	}
}

// Guards against a server that is down and is tried again for every call.
func TestUnreachableServerIsNoticed(t *testing.T) {
	server := &fakeServer{
		ready:  true,
		answer: *lagoonbarrow.Refuse("", lagoonbarrow.ReasonUnreachable),
	}
	handler, _ := newHandler(server)
	handler.HandleCall(context.Background(), newCall("request"))
	if server.unreachable != "i-1" {
		t.Fatalf("unreachable %q", server.unreachable)
	}
}

// Guards against requests of a server that lose the importance of the request that
// it is running.
func TestParentIsFoundByTheRequestID(t *testing.T) {
	held := newRunning()
	call := newCall("9c41")
	call.Priority = lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0)
	held.add(call, time.Now())
	rows := []struct {
		id   lagoonbarrow.RequestID
		want bool
	}{
		{"9c41.1", true},
		{"9c41.1.2", true},
		{"9c41", false},
		{"9c4.1", false},
		{"other.1", false},
		{".1", false},
		{"", false},
	}
	for _, row := range rows {
		parent, found := held.parent(row.id)
		if found != row.want || found && parent.Priority != call.Priority {
			t.Errorf("%q: found %t, want %t", row.id, found, row.want)
		}
	}
	held.remove(call.Request)
	if _, found := held.parent("9c41.1"); found || held.count() != 0 {
		t.Error("a call that has ended is still a parent")
	}
}

// Guards against more repeated calls at a server than its budget holds, and
// against first sends that are refused for want of it.
func TestRepeatedCallsNeedTheBudget(t *testing.T) {
	server := &fakeServer{
		ready:  true,
		answer: done,
	}
	handler, gate := newHandler(server)
	served := 0
	for range 10 {
		call := newCall("request")
		call.Repeat = true
		call.Priority = lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0)
		answer := handler.HandleCall(context.Background(), call)
		if answer.Outcome == lagoonbarrow.OutcomeDone {
			served++
			continue
		}
		if answer.Outcome != lagoonbarrow.OutcomeNotRun || answer.Reason != lagoonbarrow.ReasonExhausted || answer.Offered {
			t.Fatalf("answer %+v", answer)
		}
	}
	if served != 2 || server.count() != 2 {
		t.Fatalf("%d repeats were served, %d runs", served, server.count())
	}
	if load := gate.Load(); load.Running != 0 {
		t.Fatalf("%d slots are still held", load.Running)
	}
	if answer := handler.HandleCall(context.Background(), newCall("first")); answer.Outcome != lagoonbarrow.OutcomeDone {
		t.Fatalf("answer %+v", answer)
	}
}

// Guards against repeats at each hop above a failure, which would multiply it: a
// run that failed since a call of it failed is not to be repeated.
func TestFailuresBelowAreNotRepeatedAbove(t *testing.T) {
	rows := []struct {
		name   string
		failed bool
		status int
		want   lagoonbarrow.Reason
	}{
		{"failed by itself", false, 500, lagoonbarrow.ReasonNone},
		{"failed with its calls", true, 500, lagoonbarrow.ReasonExhausted},
		{"served without its calls", true, 200, lagoonbarrow.ReasonNone},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := &fakeServer{
				ready:  true,
				answer: done,
			}
			server.answer.Status = row.status
			handler, _ := newHandler(server)
			server.working = func(*lagoonbarrow.Call) {
				run, found := handler.Parent("request.1")
				if !found {
					t.Error("the run isn't found")
					return
				}
				if row.failed {
					run.CallFailed()
				}
			}
			answer := handler.HandleCall(context.Background(), newCall("request"))
			if answer.Outcome != lagoonbarrow.OutcomeDone || answer.Reason != row.want {
				t.Fatalf("answer %+v", answer)
			}
		})
	}
}

// Guards against senders of requests that don't hear of an overload below the
// service that they send to, or that take a full instance for a full service.
func TestAnswersCarryTheThresholdMetBelow(t *testing.T) {
	const below = 70
	rows := []struct {
		name   string
		nested bool
		met    lagoonbarrow.Threshold
		want   lagoonbarrow.Threshold
	}{
		{"no overload", false, 0, 0},
		{"a call met one", false, below, below},
		{"a call of a call met one", true, below, below},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			server := &fakeServer{
				ready:  true,
				answer: done,
			}
			handler, _ := newHandler(server)
			server.working = func(*lagoonbarrow.Call) {
				run, _ := handler.Parent("request.1")
				run.Met(row.met)
				run.Met(0)
			}
			call := newCall("request")
			call.Nested = row.nested
			if answer := handler.HandleCall(context.Background(), call); answer.Threshold != row.want {
				t.Fatalf("threshold %d, want %d", answer.Threshold, row.want)
			}
		})
	}
}

// Guards against a server that is down, still accepts connections and fails all
// requests at once: it looks idle, and callers send it more than the others.
func TestServerWithoutAnswersGetsProbesOnly(t *testing.T) {
	broken := lagoonbarrow.Answer{
		Outcome: lagoonbarrow.OutcomeUnknown,
		Reason:  lagoonbarrow.ReasonBackend,
		Offered: true,
	}
	hung := broken
	hung.Reason = lagoonbarrow.ReasonDeadline
	left := broken
	left.Reason = lagoonbarrow.ReasonCancelled
	const calls = 10 * openAfter
	rows := []struct {
		name string
		// answers are given again and again.
		answers []lagoonbarrow.Answer
		most    int
	}{
		{"resets all", []lagoonbarrow.Answer{broken}, openAfter},
		{"hangs", []lagoonbarrow.Answer{hung}, openAfter},
		{"loses every second answer", []lagoonbarrow.Answer{broken, done}, calls},
		{"clients leave", []lagoonbarrow.Answer{left}, calls},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &fakeServer{
					ready: true,
				}
				handler, _ := newHandler(server)
				for i := range calls {
					server.answer = row.answers[i%len(row.answers)]
					answer := handler.HandleCall(context.Background(), newCall("request"))
					if server.count() == openAfter && i > openAfter && answer.Outcome != lagoonbarrow.OutcomeNotRun {
						t.Fatalf("answer %+v", answer)
					}
				}
				if got := server.count(); got != row.most {
					t.Fatalf("%d of %d calls reached the server, want %d", got, calls, row.most)
				}
			})
		})
	}
}

// Guards against a server that gets no work although it answers again, or that is
// kept from work because of the one before it.
func TestServerThatAnswersAgainGetsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &fakeServer{
			ready: true,
			answer: lagoonbarrow.Answer{
				Outcome: lagoonbarrow.OutcomeUnknown,
				Reason:  lagoonbarrow.ReasonBackend,
				Offered: true,
			},
		}
		handler, _ := newHandler(server)
		for range openAfter {
			handler.HandleCall(context.Background(), newCall("request"))
		}
		server.answer = done
		if answer := handler.HandleCall(context.Background(), newCall("request")); answer.Outcome != lagoonbarrow.OutcomeNotRun {
			t.Fatalf("before the time of a probe: %+v", answer)
		}
		time.Sleep(probeInterval)
		for range 2 {
			if answer := handler.HandleCall(context.Background(), newCall("request")); answer.Outcome != lagoonbarrow.OutcomeDone {
				t.Fatalf("after an answer: %+v", answer)
			}
		}
	})
	var b breaker
	for range openAfter {
		b.note("old", &lagoonbarrow.Answer{
			Reason:  lagoonbarrow.ReasonBackend,
			Offered: true,
		}, time.Time{})
	}
	if b.allows("old", time.Time{}) || !b.allows("new", time.Time{}) {
		t.Error("the breaker of one server holds for the next")
	}
}
