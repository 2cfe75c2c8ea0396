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

// fakeParts stands for the parts around a caller and a handler. Functions that
// a test does not set succeed.
type fakeParts struct {
	lagoonbarrow.Claims
	lagoonbarrow.Transport
	instances int

	mu sync.Mutex
	// steps are the operations in their order.
	steps []string
	// sent are the calls that were sent; script answers them, the last entry
	// all further ones.
	sent    []*lagoonbarrow.Call
	script  []reply
	lookups int

	take        func(call *lagoonbarrow.Call) (lagoonbarrow.Claim, error)
	voidAttempt func(call *lagoonbarrow.Call) (lagoonbarrow.Claim, error)
	row         func() (lagoonbarrow.Claim, error)
	admitErr    error
	completeErr error
	voidErr     error
	backend     lagoonbarrow.Answer
	// held is the permit's context; that of the call by default.
	held     context.Context
	released bool
	// waiting counts the downstream waits that the permit was told of; unnoticed
	// is set when a claim was taken or a call sent without one.
	waiting   int
	unnoticed bool
}

// reply is what an instance answers to one attempt.
type reply struct {
	answer lagoonbarrow.Answer
	// ran tells whether a backend server ran the call.
	ran bool
	err error
}

func (f *fakeParts) step(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.steps = append(f.steps, name)
}

func (f *fakeParts) Pick(_ lagoonbarrow.ServiceName, _ string, avoid []lagoonbarrow.InstanceID) (lagoonbarrow.Instance, error) {
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

func (f *fakeParts) Started(lagoonbarrow.InstanceID) func(lagoonbarrow.Observation) {
	return func(lagoonbarrow.Observation) {}
}

func (f *fakeParts) Call(_ context.Context, _ lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unnoticed = f.unnoticed || f.waiting != 1
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

func (f *fakeParts) Lookup(context.Context, lagoonbarrow.CustomerID, string) (lagoonbarrow.Claim, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lookups++
	return f.row()
}

func (f *fakeParts) VoidAttempt(_ context.Context, call *lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
	return f.voidAttempt(call)
}

func (f *fakeParts) Take(_ context.Context, call *lagoonbarrow.Call, _ time.Time) (lagoonbarrow.Claim, error) {
	f.step("take")
	f.unnoticed = f.unnoticed || f.waiting != 1
	return f.take(call)
}

func (f *fakeParts) Complete(context.Context, lagoonbarrow.Claim, *lagoonbarrow.Answer) error {
	f.step("complete")
	return f.completeErr
}

func (f *fakeParts) Void(context.Context, lagoonbarrow.Claim) error {
	f.step("void")
	return f.voidErr
}

func (f *fakeParts) Admit(ctx context.Context, _ lagoonbarrow.Work) (lagoonbarrow.Permit, error) {
	f.step("admit")
	if f.admitErr != nil {
		return nil, f.admitErr
	}
	if f.held == nil {
		f.held = ctx
	}
	return f, nil
}

func (f *fakeParts) Context() context.Context { return f.held }

func (f *fakeParts) Release(served bool) {
	if !f.released {
		f.step(fmt.Sprintf("release %t", served))
	}
	f.released = true
}

func (f *fakeParts) Downstream() func() {
	f.waiting++
	return func() { f.waiting-- }
}

func (f *fakeParts) ThresholdOf(bool) lagoonbarrow.Threshold { return 7 }

func (f *fakeParts) Load() lagoonbarrow.Load { return lagoonbarrow.Load{} }

func (f *fakeParts) Run(context.Context, *lagoonbarrow.Call, time.Time) *lagoonbarrow.Answer {
	f.step("run")
	answer := f.backend
	return &answer
}

func (f *fakeParts) Record(event.Kind, event.Fields) {}

func (f *fakeParts) Now() event.Stamp { return event.Stamp{} }

func (f *fakeParts) Observe(event.Stamp) {}

func (f *fakeParts) handler(ledger lagoonbarrow.Ledger) *Handler {
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

func (f *fakeParts) caller() *Caller {
	return NewCaller(
		CallerConfig{
			Self:        "self",
			Transport:   f,
			Router:      f,
			Claims:      f,
			Recorder:    f,
			Clock:       f,
			Scope:       tally.NoopScope,
			Unreachable: func(lagoonbarrow.InstanceID) {},
		},
		f.handler(budget.New(budget.Config{})),
	)
}

func openAccount(tokens lagoonbarrow.Tokens, deadline time.Duration) lagoonbarrow.Account {
	return budget.New(budget.Config{}).Open(&lagoonbarrow.Call{
		ID:     "root",
		Tokens: tokens,
	}, time.Now().Add(deadline))
}
