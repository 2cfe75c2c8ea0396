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
		{
			name: "read",
			parts: fakeParts{
				backend: ok,
			},
			claim:   free,
			steps:   "admit, run, release true",
			outcome: done,
		},
		{
			name: "read refused",
			parts: fakeParts{
				backend: refused,
			},
			claim:   free,
			steps:   "admit, run, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name: "read preempted",
			parts: fakeParts{
				backend: lost,
				held:    preempted,
			},
			claim:   free,
			steps:   "admit, run, release false",
			outcome: unclear,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:   "shed",
			filing: true,
			parts: fakeParts{
				admitErr: lagoonbarrow.ErrShed,
			},
			claim:   free,
			steps:   "admit",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:   "late",
			filing: true,
			parts: fakeParts{
				admitErr: lagoonbarrow.ErrDeadline,
			},
			claim:   free,
			steps:   "admit",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonDeadline,
		},
		{
			name:   "filing",
			filing: true,
			parts: fakeParts{
				backend: ok,
			},
			claim:   free,
			steps:   "admit, take, run, release true, complete",
			outcome: done,
		},
		{
			name:   "completion fails",
			filing: true,
			parts: fakeParts{
				backend:     ok,
				completeErr: backendFailed,
			},
			claim:   free,
			steps:   "admit, take, run, release true, complete",
			outcome: done,
		},
		{
			name:   "filing refused",
			filing: true,
			parts: fakeParts{
				backend: refused,
			},
			claim:   free,
			steps:   "admit, take, run, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonVoided,
		},
		{
			name:   "void fails",
			filing: true,
			parts: fakeParts{
				backend: refused,
				voidErr: backendFailed,
			},
			claim:   free,
			steps:   "admit, take, run, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name:   "filing lost",
			filing: true,
			parts: fakeParts{
				backend: lost,
			},
			claim:   free,
			steps:   "admit, take, run, release false",
			outcome: unclear,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name:   "preempted while the claim is taken",
			filing: true,
			parts: fakeParts{
				held: preempted,
			},
			claim:   free,
			steps:   "admit, take, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:    "repeat",
			filing:  true,
			parts:   fakeParts{},
			claim:   filed,
			takeErr: lagoonbarrow.ErrClaimed,
			steps:   "admit, take, release false",
			outcome: done,
		},
		{
			name:    "in progress",
			filing:  true,
			parts:   fakeParts{},
			claim:   free,
			takeErr: lagoonbarrow.ErrClaimed,
			steps:   "admit, take, release false",
			outcome: unclear,
			reason:  lagoonbarrow.ReasonClaimed,
		},
		{
			name:    "voided",
			filing:  true,
			parts:   fakeParts{},
			claim:   free,
			takeErr: lagoonbarrow.ErrVoided,
			steps:   "admit, take, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonVoided,
		},
		{
			name:    "other content",
			filing:  true,
			parts:   fakeParts{},
			claim:   free,
			takeErr: lagoonbarrow.ErrMismatch,
			steps:   "admit, take, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonMismatch,
		},
		{
			name:    "claimed late",
			filing:  true,
			parts:   fakeParts{},
			claim:   free,
			takeErr: lagoonbarrow.ErrDeadline,
			steps:   "admit, take, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonDeadline,
		},
		{
			name:    "platform down",
			filing:  true,
			parts:   fakeParts{},
			claim:   free,
			takeErr: backendFailed,
			steps:   "admit, take, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonPlatform,
		},
		{
			name:   "preempted, platform down",
			filing: true,
			parts: fakeParts{
				held: preempted,
			},
			claim:   free,
			takeErr: backendFailed,
			steps:   "admit, take, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonShed,
		},
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
		{
			name:    "starting",
			prepare: func(handler *Handler, _ *lagoonbarrow.Call) { handler.SetReady(false) },
			reason:  lagoonbarrow.ReasonNotReady,
		},
		{
			name:    "leaving",
			prepare: func(handler *Handler, _ *lagoonbarrow.Call) { handler.Leave() },
			reason:  lagoonbarrow.ReasonLeaving,
		},
		{
			name:    "deep",
			prepare: func(_ *Handler, call *lagoonbarrow.Call) { call.Depth = lagoonbarrow.MaxDepth + 1 },
			reason:  lagoonbarrow.ReasonDepth,
		},
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
