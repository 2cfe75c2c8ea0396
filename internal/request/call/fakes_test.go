package call

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/budget"
	"lagoonbarrow/pkg/event"
)

// fakeDependencies implements the interfaces that a caller and a handler use. Errors
// that a test does not set are nil.
type fakeDependencies struct {
	lagoonbarrow.Claims
	lagoonbarrow.Transport
	instances int

	mu sync.Mutex
	// steps records the operations of a handler in order.
	steps []string
	// sent records the calls that were sent.
	sent []*lagoonbarrow.Call
	// script holds the replies to the sent calls in order. The last one repeats.
	script  []reply
	lookups int

	acquireClaim func(call *lagoonbarrow.Call) (lagoonbarrow.Claim, error)
	voidAttempt  func(call *lagoonbarrow.Call) (lagoonbarrow.Claim, error)
	lookupClaim  func() (lagoonbarrow.Claim, error)
	admitErr     error
	completeErr  error
	voidErr      error
	backend      lagoonbarrow.Answer
	// permitContext is the permit's context. The default is the call's context.
	permitContext context.Context
	released      bool
	// downstreamWaits counts the downstream waits in progress at the permit.
	downstreamWaits int
	// unreportedWait is set when a claim was acquired or a call sent without such a wait.
	unreportedWait bool
}

// reply is an instance's reply to one attempt.
type reply struct {
	answer lagoonbarrow.Answer
	// ran is set if a backend server ran the call.
	ran bool
	err error
}

func (f *fakeDependencies) addStep(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, name)
}

func (f *fakeDependencies) Pick(_ lagoonbarrow.ServiceName, _ string, avoid []lagoonbarrow.InstanceID) (lagoonbarrow.Instance, error) {
	for i := range f.instances {
		id := lagoonbarrow.InstanceID(fmt.Sprint(i))
		if !slices.Contains(avoid, id) {
			return lagoonbarrow.Instance{
				ID: id,
			}, nil
		}
	}
	return lagoonbarrow.Instance{}, lagoonbarrow.ErrNoInstance
}

func (f *fakeDependencies) StartCall(lagoonbarrow.InstanceID) func(lagoonbarrow.Observation) {
	return func(lagoonbarrow.Observation) {}
}

func (f *fakeDependencies) Call(_ context.Context, _ lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreportedWait = f.unreportedWait || f.downstreamWaits != 1
	f.sent = append(f.sent, call)
	next := f.script[min(len(f.sent), len(f.script))-1]
	if next.err != nil {
		return nil, next.err
	}
	answer := next.answer
	answer.Call = call.ID
	answer.TokensLeft = call.Tokens
	return &answer, nil
}

func (f *fakeDependencies) Lookup(context.Context, lagoonbarrow.CustomerID, string) (lagoonbarrow.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lookups++
	return f.lookupClaim()
}

func (f *fakeDependencies) VoidAttempt(_ context.Context, call *lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
	return f.voidAttempt(call)
}

func (f *fakeDependencies) Acquire(_ context.Context, call *lagoonbarrow.Call, _ time.Time) (lagoonbarrow.Claim, error) {
	f.addStep("acquire")
	f.unreportedWait = f.unreportedWait || f.downstreamWaits != 1
	return f.acquireClaim(call)
}

func (f *fakeDependencies) Complete(context.Context, lagoonbarrow.Claim, *lagoonbarrow.Answer) error {
	f.addStep("complete")
	return f.completeErr
}

func (f *fakeDependencies) Void(context.Context, lagoonbarrow.Claim) error {
	f.addStep("void")
	return f.voidErr
}

func (f *fakeDependencies) Admit(ctx context.Context, _ lagoonbarrow.Work) (lagoonbarrow.Permit, error) {
	f.addStep("admit")
	if f.admitErr != nil {
		return nil, f.admitErr
	}
	if f.permitContext == nil {
		f.permitContext = ctx
	}
	return f, nil
}

func (f *fakeDependencies) Context() context.Context { return f.permitContext }

func (f *fakeDependencies) Release(served bool) {
	if !f.released {
		f.addStep(fmt.Sprintf("release %t", served))
	}
	f.released = true
}

func (f *fakeDependencies) Downstream() func() {
	f.downstreamWaits++
	return func() { f.downstreamWaits-- }
}

func (f *fakeDependencies) LaneThreshold(bool) lagoonbarrow.Threshold { return 7 }

func (f *fakeDependencies) Load() lagoonbarrow.Load { return lagoonbarrow.Load{} }

func (f *fakeDependencies) Run(context.Context, *lagoonbarrow.Call, time.Time) *lagoonbarrow.Answer {
	f.addStep("run")
	answer := f.backend
	return &answer
}

func (f *fakeDependencies) Record(event.Kind, event.Fields) {}

func (f *fakeDependencies) Now() event.Stamp { return event.Stamp{} }

func (f *fakeDependencies) Observe(event.Stamp) {}

func (f *fakeDependencies) newHandler(ledger lagoonbarrow.Ledger) *Handler {
	return NewHandler(HandlerConfig{
		Admission:       f,
		Ledger:          ledger,
		Claims:          f,
		Backend:         f,
		Recorder:        f,
		Clock:           f,
		Scope:           tally.NoopScope,
		ClaimAnswerWait: time.Second,
	})
}

func (f *fakeDependencies) newCaller() *Caller {
	return NewCaller(
		CallerConfig{
			Self:          "self",
			Transport:     f,
			Router:        f,
			Claims:        f,
			Recorder:      f,
			Clock:         f,
			Scope:         tally.NoopScope,
			OnUnreachable: func(lagoonbarrow.InstanceID) {},
		},
		f.newHandler(budget.New(budget.Config{})),
	)
}

func openAccount(tokens lagoonbarrow.Tokens, deadline time.Duration) lagoonbarrow.Account {
	return budget.New(budget.Config{}).Open(&lagoonbarrow.Call{
		ID:     "root",
		Tokens: tokens,
	}, time.Now().Add(deadline))
}
