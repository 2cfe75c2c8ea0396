package forward

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/placement"
	"lagoonbarrow/internal/version/routing"
	"lagoonbarrow/pkg/event"
)

type fakeDirectory []lagoonbarrow.Instance

func (d fakeDirectory) Instances(lagoonbarrow.ServiceName) []lagoonbarrow.Instance {
	return d
}

// reply is what an instance does with a call.
type reply struct {
	answer lagoonbarrow.Answer
	err    error
}

// fakeTransport answers the calls in their order.
type fakeTransport struct {
	replies []reply
	calls   []*lagoonbarrow.Call
	to      []lagoonbarrow.InstanceID
}

func (f *fakeTransport) Call(_ context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	next := f.replies[min(len(f.calls), len(f.replies)-1)]
	f.calls = append(f.calls, call)
	f.to = append(f.to, to.ID)
	if next.err != nil {
		return nil, next.err
	}
	answer := next.answer
	answer.Call = call.ID
	return &answer, nil
}

type noRecorder struct{}

func (noRecorder) Record(event.Kind, event.Fields) {}

func newForwarder(transport Transport) *Forwarder {
	directory := fakeDirectory{}
	for _, id := range []lagoonbarrow.InstanceID{"a", "b", "c"} {
		directory = append(directory, lagoonbarrow.Instance{
			ID:    id,
			Slots: 10,
		})
	}
	return New(Config{
		Directory: directory,
		Chooser:   placement.New(placement.Config{}),
		Transport: transport,
		Version:   func() lagoonbarrow.ConfigurationVersion { return 1 },
		Heard:     func(lagoonbarrow.ConfigurationVersion) {},
		Recorder:  noRecorder{},
	})
}

func newRequest(idempotent, nested bool) *Request {
	now := time.Now()
	return &Request{
		ID: "request",
		Route: &routing.Route{
			Route: lagoonbarrow.Route{
				Idempotent: idempotent,
				Objective:  time.Second,
				MaxServers: 2,
			},
		},
		Nested:   nested,
		Received: now,
		Deadline: now.Add(time.Minute),
	}
}

var (
	served = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  200,
			Offered: true,
		},
	}
	refusedByNode = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeNotRun,
			Reason:  lagoonbarrow.ReasonShed,
		},
	}
	refusedByServer = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeNotRun,
			Reason:  lagoonbarrow.ReasonShed,
			Offered: true,
		},
	}
	failedAtBackend = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  500,
			Offered: true,
		},
	}
	lostAtServer = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeUnknown,
			Reason:  lagoonbarrow.ReasonBackend,
			Offered: true,
		},
	}
	exhausted = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeNotRun,
			Reason:  lagoonbarrow.ReasonExhausted,
		},
	}
	failedBelow = reply{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Reason:  lagoonbarrow.ReasonExhausted,
			Status:  500,
			Offered: true,
		},
	}
	notSent = reply{
		err: lagoonbarrow.ErrNotSent,
	}
	lostBetweenNodes = reply{
		err: lagoonbarrow.ErrAnswerLost,
	}
)

// Guards against writes that run twice, refusals of requests that may have run,
// repeats beyond the budget, and requests that fail although another instance has room.
func TestRepeatsFollowWhatIsKnown(t *testing.T) {
	rows := []struct {
		name       string
		idempotent bool
		nested     bool
		replies    []reply
		outcome    lagoonbarrow.Outcome
		status     int
		calls      int
	}{
		{"served", false, false, []reply{served}, lagoonbarrow.OutcomeDone, 200, 1},
		{"refused by a node", false, false, []reply{refusedByNode, notSent, served}, lagoonbarrow.OutcomeDone, 200, 3},
		{"refused by all nodes", false, false, []reply{refusedByNode}, lagoonbarrow.OutcomeNotRun, 0, 3},
		{"write lost between nodes", false, true, []reply{lostBetweenNodes, served}, lagoonbarrow.OutcomeUnknown, 0, 1},
		{"write lost at its server", false, true, []reply{lostAtServer, served}, lagoonbarrow.OutcomeUnknown, 0, 1},
		{"write failed at its server", false, true, []reply{failedAtBackend, served}, lagoonbarrow.OutcomeDone, 500, 1},
		{"write refused by its server", false, true, []reply{refusedByServer, served}, lagoonbarrow.OutcomeDone, 200, 2},
		{"read lost, its client repeats it", true, false, []reply{lostAtServer, served}, lagoonbarrow.OutcomeUnknown, 0, 1},
		{"call lost", true, true, []reply{lostAtServer, served}, lagoonbarrow.OutcomeDone, 200, 2},
		{"call failed at its server", true, true, []reply{failedAtBackend, served}, lagoonbarrow.OutcomeDone, 200, 2},
		{"call lost, no repeat allowed", true, true, []reply{lostAtServer, exhausted, served}, lagoonbarrow.OutcomeUnknown, 0, 2},
		{"call refused by its server, no repeat allowed", true, true, []reply{refusedByServer, exhausted, served}, lagoonbarrow.OutcomeNotRun, 0, 2},
		{"call failed since calls of it failed", true, true, []reply{failedBelow, served}, lagoonbarrow.OutcomeDone, 500, 1},
		{"call lost, then refused", true, true, []reply{lostAtServer, refusedByNode}, lagoonbarrow.OutcomeUnknown, 0, 3},
		{"call failed, then refused", true, true, []reply{failedAtBackend, refusedByNode}, lagoonbarrow.OutcomeDone, 500, 3},
		{"call lost at as many servers as allowed", true, true, []reply{lostAtServer}, lagoonbarrow.OutcomeUnknown, 0, 2},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			transport := &fakeTransport{
				replies: row.replies,
			}
			answer := newForwarder(transport).Do(context.Background(), newRequest(row.idempotent, row.nested))
			if answer.Outcome != row.outcome || answer.Status != row.status || len(transport.calls) != row.calls {
				t.Fatalf("outcome %s status %d after %d calls, want %s %d %d", answer.Outcome, answer.Status, len(transport.calls), row.outcome, row.status, row.calls)
			}
			if answer.Outcome == lagoonbarrow.OutcomeNotRun && answer.RetryAfter <= 0 {
				t.Fatal("a refusal without a time to come back")
			}
			asked := map[lagoonbarrow.InstanceID]bool{}
			for _, id := range transport.to {
				if asked[id] {
					t.Fatalf("instance %s was asked twice", id)
				}
				asked[id] = true
			}
		})
	}
}

// Guards against servers that are handed more time than is left.
func TestTimeLeftIsPassedOn(t *testing.T) {
	transport := &fakeTransport{
		replies: []reply{refusedByNode, served},
	}
	request := newRequest(true, false)
	request.Deadline = time.Now().Add(time.Second)
	newForwarder(transport).Do(context.Background(), request)
	for _, call := range transport.calls {
		if call.Remaining > time.Second || call.Remaining <= 0 {
			t.Fatalf("%s are handed on", call.Remaining)
		}
	}
}

// Guards against requests that are sent although their time is over or their
// client has left.
func TestNothingIsSentTooLate(t *testing.T) {
	transport := &fakeTransport{
		replies: []reply{served},
	}
	late := newRequest(true, false)
	late.Deadline = time.Now()
	answer := newForwarder(transport).Do(context.Background(), late)
	if answer.Outcome != lagoonbarrow.OutcomeNotRun || len(transport.calls) != 0 {
		t.Fatalf("late: %+v after %d calls", answer, len(transport.calls))
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	answer = newForwarder(transport).Do(ctx, newRequest(true, false))
	if answer.Reason != lagoonbarrow.ReasonCancelled || len(transport.calls) != 0 {
		t.Fatalf("cancelled: %+v after %d calls", answer, len(transport.calls))
	}
}

// Guards against waits that leave no time for the request itself, and calls of
// running requests that are refused as soon as new requests.
func TestMaxWait(t *testing.T) {
	request := newRequest(true, false)
	passing := maxWait(request, false)
	last := maxWait(request, true)
	if passing >= last || last > request.Route.Objective/2 {
		t.Fatalf("passing %s, last %s", passing, last)
	}
	request.Nested = true
	if nested := maxWait(request, true); nested <= last || nested >= time.Minute {
		t.Fatalf("nested %s", nested)
	}
}

// Guards against clients that were refused together and return together, at once
// or too late.
func TestReturnTime(t *testing.T) {
	rows := []time.Duration{0, 300 * time.Millisecond, time.Hour}
	for _, expected := range rows {
		early := returnTime(expected, 0)
		late := returnTime(expected, 0.999)
		if early < leastReturn || late > 2*mostReturn || late <= early {
			t.Errorf("%s: from %s to %s", expected, early, late)
		}
	}
}

// Guards against a transport error that is taken for a refusal although the call
// may have reached its server.
func TestUnknownTransportErrorsAreNoRefusals(t *testing.T) {
	transport := &fakeTransport{
		replies: []reply{{
			err: errors.New("anything"),
		}},
	}
	answer := newForwarder(transport).Do(context.Background(), newRequest(false, false))
	if answer.Outcome != lagoonbarrow.OutcomeUnknown {
		t.Fatalf("outcome %s", answer.Outcome)
	}
}

// Guards against further requests to an instance whose connection was just lost.
func TestInstanceOfALostConnectionIsAvoided(t *testing.T) {
	transport := &fakeTransport{
		replies: []reply{lostBetweenNodes, served},
	}
	forwarder := newForwarder(transport)
	forwarder.Do(context.Background(), newRequest(true, false))
	for range 10 {
		forwarder.Do(context.Background(), newRequest(true, false))
	}
	for _, id := range transport.to[1:] {
		if id == transport.to[0] {
			t.Fatalf("instance %s is asked again", id)
		}
	}
}

// hangingTransport never answers for one instance.
type hangingTransport struct {
	fakeTransport
	hanging lagoonbarrow.InstanceID
}

func (h *hangingTransport) Call(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	answer, err := h.fakeTransport.Call(ctx, to, call)
	if to.ID != h.hanging {
		return answer, err
	}
	<-ctx.Done()
	return nil, lagoonbarrow.ErrAnswerLost
}

// Guards against a slow server that goes on getting requests because those that it
// doesn't answer in time count for nothing.
func TestTimedOutRequestsCountAgainstTheInstance(t *testing.T) {
	transport := &hangingTransport{
		fakeTransport: fakeTransport{
			replies: []reply{served},
		},
		hanging: "a",
	}
	forwarder := newForwarder(transport)
	const warm = 60
	for range 2 * warm {
		request := newRequest(true, false)
		request.Deadline = time.Now().Add(10 * time.Millisecond)
		forwarder.Do(context.Background(), request)
	}
	hung := 0
	for _, id := range transport.to[warm:] {
		if id == transport.hanging {
			hung++
		}
	}
	if hung > warm/10 {
		t.Fatalf("%d of the last %d requests went to the instance that doesn't answer", hung, warm)
	}
}

// Guards against repeats that aren't marked, which no budget would count.
func TestRepeatsAreMarked(t *testing.T) {
	rows := []struct {
		name string
		// inherited is set for a call of a run that is a repeat itself.
		inherited bool
		replies   []reply
		want      []bool
	}{
		{"first send", false, []reply{served}, []bool{false}},
		{"after a refusal by a node", false, []reply{refusedByNode, served}, []bool{false, false}},
		{"after a lost answer", false, []reply{lostAtServer, served}, []bool{false, true}},
		{"after a lost answer and a refusal", false, []reply{lostAtServer, refusedByNode, served}, []bool{false, true, true}},
		{"call of a repeated run", true, []reply{served}, []bool{true}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			transport := &fakeTransport{
				replies: row.replies,
			}
			request := newRequest(true, true)
			request.Repeat = row.inherited
			newForwarder(transport).Do(context.Background(), request)
			for i, call := range transport.calls {
				if call.Repeat != row.want[i] {
					t.Errorf("send %d: marked as a repeat %t, want %t", i, call.Repeat, row.want[i])
				}
			}
		})
	}
}

// Guards against a round trip for each repeat while a service allows none, and
// against important calls that aren't tried since a less important one was refused.
func TestRepeatsPauseWhileNoneAreAllowed(t *testing.T) {
	transport := &fakeTransport{
		replies: []reply{lostAtServer, exhausted, lostAtServer},
	}
	forwarder := newForwarder(transport)
	request := newRequest(true, true)
	request.Priority = lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0)
	forwarder.Do(context.Background(), request)
	asked := len(transport.calls)
	forwarder.Do(context.Background(), request)
	if got := len(transport.calls) - asked; got != 1 {
		t.Errorf("%d sends while no repeat is allowed, want 1", got)
	}
	asked = len(transport.calls)
	request.Priority = lagoonbarrow.NewPriority(lagoonbarrow.ImportanceCritical, 0)
	forwarder.Do(context.Background(), request)
	if got := len(transport.calls) - asked; got != 2 {
		t.Errorf("%d sends of a more important call, want 2", got)
	}
}

// keptRecorder keeps the details of what it is told.
type keptRecorder struct {
	details []string
}

func (r *keptRecorder) Record(_ event.Kind, fields event.Fields) {
	r.details = append(r.details, fields.Detail)
}

// Guards against a lost call whose log line doesn't tell why it was lost, and against
// a cause that is told of a later call.
func TestLostCallsAreLoggedWithTheirCause(t *testing.T) {
	forwarder := newForwarder(&fakeTransport{
		replies: []reply{
			{
				err: errors.Wrap(lagoonbarrow.ErrNotSent, "dial timeout"),
			},
			refusedByNode,
			served,
		},
	})
	kept := &keptRecorder{}
	forwarder.config.Recorder = kept
	forwarder.Do(context.Background(), newRequest(true, false))
	if len(kept.details) != 2 {
		t.Fatalf("recorded %q", kept.details)
	}
	if !strings.Contains(kept.details[0], "cause=dial timeout") || strings.Contains(kept.details[1], "cause=") {
		t.Fatalf("recorded %q", kept.details)
	}
}
