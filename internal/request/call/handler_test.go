package call

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/budget"
)

// Guards against work without a permit or a claim, permits and claims that are
// not given back, claims that hold a slot while they are written, and kept
// answers that count as latency of the backend server.
func TestHandlerOrder(t *testing.T) {
	filed := completed(callOf("POST", true))
	free := lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimHeld,
		Version: 1,
	}
	backendFailed := errors.Wrap(lagoonbarrow.ErrUnavailable, "test")
	preempted, preempt := context.WithCancelCause(context.Background())
	preempt(lagoonbarrow.ErrPreempted)
	ok := answered(done, "").answer
	refused := answered(notRun, lagoonbarrow.ReasonBackend).answer
	lost := answered(unclear, lagoonbarrow.ReasonBackend).answer
	cases := []struct {
		name    string
		filing  bool
		parts   fakeParts
		claim   lagoonbarrow.Claim
		takeErr error
		steps   string
		outcome lagoonbarrow.Outcome
		reason  lagoonbarrow.Reason
	}{
		{"read", false, fakeParts{backend: ok}, free, nil, "admit, run, release true", done, ""},
		{"read refused", false, fakeParts{backend: refused}, free, nil, "admit, run, release false", notRun, lagoonbarrow.ReasonBackend},
		{"read preempted", false, fakeParts{backend: lost, held: preempted}, free, nil, "admit, run, release false", unclear, lagoonbarrow.ReasonShed},
		{"shed", true, fakeParts{admitErr: lagoonbarrow.ErrShed}, free, nil, "admit", notRun, lagoonbarrow.ReasonShed},
		{"late", true, fakeParts{admitErr: lagoonbarrow.ErrDeadline}, free, nil, "admit", notRun, lagoonbarrow.ReasonDeadline},
		{"filing", true, fakeParts{backend: ok}, free, nil, "admit, take, run, release true, complete", done, ""},
		{"completion fails", true, fakeParts{backend: ok, completeErr: backendFailed}, free, nil, "admit, take, run, release true, complete", done, ""},
		{"filing refused", true, fakeParts{backend: refused}, free, nil, "admit, take, run, release false, void", notRun, lagoonbarrow.ReasonVoided},
		{"void fails", true, fakeParts{backend: refused, voidErr: backendFailed}, free, nil, "admit, take, run, release false, void", notRun, lagoonbarrow.ReasonBackend},
		{"filing lost", true, fakeParts{backend: lost}, free, nil, "admit, take, run, release false", unclear, lagoonbarrow.ReasonBackend},
		{"preempted while the claim is taken", true, fakeParts{held: preempted}, free, nil, "admit, take, release false, void", notRun, lagoonbarrow.ReasonShed},
		{"repeat", true, fakeParts{}, filed, lagoonbarrow.ErrClaimed, "admit, take, release false", done, ""},
		{"in progress", true, fakeParts{}, free, lagoonbarrow.ErrClaimed, "admit, take, release false", unclear, lagoonbarrow.ReasonClaimed},
		{"voided", true, fakeParts{}, free, lagoonbarrow.ErrVoided, "admit, take, release false", notRun, lagoonbarrow.ReasonVoided},
		{"other content", true, fakeParts{}, free, lagoonbarrow.ErrMismatch, "admit, take, release false", notRun, lagoonbarrow.ReasonMismatch},
		{"claimed late", true, fakeParts{}, free, lagoonbarrow.ErrDeadline, "admit, take, release false", notRun, lagoonbarrow.ReasonDeadline},
		{"platform down", true, fakeParts{}, free, backendFailed, "admit, take, release false", notRun, lagoonbarrow.ReasonPlatform},
		{"preempted, platform down", true, fakeParts{held: preempted}, free, backendFailed, "admit, take, release false", notRun, lagoonbarrow.ReasonShed},
	}
	for i := range cases {
		current := &cases[i]
		t.Run(current.name, func(t *testing.T) {
			parts := &current.parts
			parts.take = func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
				return current.claim, current.takeErr
			}
			ledger := budget.New(budget.Config{})
			handler := parts.handler(ledger)
			handler.SetReady(true)
			made := callOf("POST", current.filing)
			made.Remaining = time.Minute
			made.Tokens = 2
			answer := handler.HandleCall(context.Background(), made)
			got := strings.Join(parts.steps, ", ")
			if got != current.steps || answer.Outcome != current.outcome || answer.Reason != current.reason {
				t.Errorf("%s: %s %s; want %s: %s %s", got, answer.Outcome, answer.Reason, current.steps, current.outcome, current.reason)
			}
			if answer.Call != made.ID || answer.TokensLeft != 2 || answer.Threshold != 7 {
				t.Errorf("answer for %s with %d tokens and threshold %d", answer.Call, answer.TokensLeft, answer.Threshold)
			}
			if parts.unnoticed || parts.waiting > 0 {
				t.Error("the time of the claim write counts as the backend server's")
			}
			if accounts, _ := ledger.Len(); accounts > 0 || handler.InFlight() > 0 || len(handler.tracker.calls) > 0 {
				t.Errorf("%d accounts, %d calls in flight and %d tracked calls are left", accounts, handler.InFlight(), len(handler.tracker.calls))
			}
		})
	}
}

// Guards against work that a node takes while it is starting or leaving, or
// beyond the depth, and against tokens lost with such refusals.
func TestHandlerRefuses(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(handler *Handler, call *lagoonbarrow.Call)
		reason  lagoonbarrow.Reason
	}{
		{"starting", func(handler *Handler, _ *lagoonbarrow.Call) { handler.SetReady(false) }, lagoonbarrow.ReasonNotReady},
		{"leaving", func(handler *Handler, _ *lagoonbarrow.Call) { handler.Leave() }, lagoonbarrow.ReasonLeaving},
		{"deep", func(_ *Handler, call *lagoonbarrow.Call) { call.Depth = lagoonbarrow.MaxDepth + 1 }, lagoonbarrow.ReasonDepth},
	}
	for _, current := range cases {
		parts := &fakeParts{}
		handler := parts.handler(budget.New(budget.Config{}))
		handler.SetReady(true)
		made := callOf("GET", false)
		made.Tokens = 2
		current.prepare(handler, made)
		answer := handler.HandleCall(context.Background(), made)
		if len(parts.steps) > 0 || answer.Outcome != notRun || answer.Reason != current.reason || answer.TokensLeft != 2 {
			t.Errorf("%s: %v, %s %s, %d tokens", current.name, parts.steps, answer.Outcome, answer.Reason, answer.TokensLeft)
		}
	}
}

// Guards against retries above a call that met overload below: its answer must
// be marked exhausted, with the threshold that was met.
func TestOverloadBelowIsMarked(t *testing.T) {
	for _, backend := range []reply{answered(notRun, lagoonbarrow.ReasonBackend), answered(unclear, lagoonbarrow.ReasonBackend)} {
		parts := &fakeParts{}
		handler := parts.handler(budget.New(budget.Config{}))
		handler.SetReady(true)
		made := callOf("GET", false)
		made.Remaining = time.Minute
		handler.config.Backend = backendFunc(func(call *lagoonbarrow.Call) *lagoonbarrow.Answer {
			below := lagoonbarrow.Refuse("below", lagoonbarrow.ReasonShed)
			below.Threshold = 99
			handler.tracker.note(call.ID, below)
			answer := backend.answer
			return &answer
		})
		answer := handler.HandleCall(context.Background(), made)
		if answer.Reason != lagoonbarrow.ReasonExhausted || answer.Outcome != backend.answer.Outcome || answer.Threshold != 99 {
			t.Errorf("%s %s, threshold %d", answer.Outcome, answer.Reason, answer.Threshold)
		}
	}
}

type backendFunc func(call *lagoonbarrow.Call) *lagoonbarrow.Answer

func (f backendFunc) Run(_ context.Context, call *lagoonbarrow.Call, _ time.Time) *lagoonbarrow.Answer {
	return f(call)
}
