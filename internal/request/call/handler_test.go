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

// Guards against work without a permit or a claim, permits and claims that are not
// released, slots that are held while a claim is ended, and claim writes and stored
// answers that count as latency of the backend server.
func TestHandlerOrder(t *testing.T) {
	completed := completedClaim(newCall("POST", true))
	free := lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimHeld,
		Version: 1,
	}
	unavailable := errors.Wrap(lagoonbarrow.ErrUnavailable, "test")
	preempted, preempt := context.WithCancelCause(context.Background())
	preempt(lagoonbarrow.ErrPreempted)
	ok := answerReply(done, "").answer
	refused := answerReply(notRun, lagoonbarrow.ReasonBackend).answer
	lost := answerReply(unknown, lagoonbarrow.ReasonBackend).answer
	cases := []struct {
		name       string
		atMostOnce bool
		fake       fakeDependencies
		claim      lagoonbarrow.Claim
		acquireErr error
		steps      string
		outcome    lagoonbarrow.Outcome
		reason     lagoonbarrow.Reason
	}{
		{
			name: "read",
			fake: fakeDependencies{
				backend: ok,
			},
			claim:   free,
			steps:   "admit, run, release true",
			outcome: done,
		},
		{
			name: "read refused",
			fake: fakeDependencies{
				backend: refused,
			},
			claim:   free,
			steps:   "admit, run, release false",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name: "read preempted",
			fake: fakeDependencies{
				backend:       lost,
				permitContext: preempted,
			},
			claim:   free,
			steps:   "admit, run, release false",
			outcome: unknown,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:       "shed",
			atMostOnce: true,
			fake: fakeDependencies{
				admitErr: lagoonbarrow.ErrShed,
			},
			claim:   free,
			steps:   "admit",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:       "late",
			atMostOnce: true,
			fake: fakeDependencies{
				admitErr: lagoonbarrow.ErrDeadline,
			},
			claim:   free,
			steps:   "admit",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonDeadline,
		},
		{
			name:       "at-most-once",
			atMostOnce: true,
			fake: fakeDependencies{
				backend: ok,
			},
			claim:   free,
			steps:   "admit, acquire, run, release true, complete",
			outcome: done,
		},
		{
			name:       "completion fails",
			atMostOnce: true,
			fake: fakeDependencies{
				backend:     ok,
				completeErr: unavailable,
			},
			claim:   free,
			steps:   "admit, acquire, run, release true, complete",
			outcome: done,
		},
		{
			name:       "at-most-once refused",
			atMostOnce: true,
			fake: fakeDependencies{
				backend: refused,
			},
			claim:   free,
			steps:   "admit, acquire, run, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonVoided,
		},
		{
			name:       "void fails",
			atMostOnce: true,
			fake: fakeDependencies{
				backend: refused,
				voidErr: unavailable,
			},
			claim:   free,
			steps:   "admit, acquire, run, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name:       "at-most-once lost",
			atMostOnce: true,
			fake: fakeDependencies{
				backend: lost,
			},
			claim:   free,
			steps:   "admit, acquire, run, release false",
			outcome: unknown,
			reason:  lagoonbarrow.ReasonBackend,
		},
		{
			name:       "preempted while the claim is acquired",
			atMostOnce: true,
			fake: fakeDependencies{
				permitContext: preempted,
			},
			claim:   free,
			steps:   "admit, acquire, release false, void",
			outcome: notRun,
			reason:  lagoonbarrow.ReasonShed,
		},
		{
			name:       "repeat",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      completed,
			acquireErr: lagoonbarrow.ErrClaimed,
			steps:      "admit, acquire, release false",
			outcome:    done,
		},
		{
			name:       "in progress",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      free,
			acquireErr: lagoonbarrow.ErrClaimed,
			steps:      "admit, acquire, release false",
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonClaimed,
		},
		{
			name:       "voided",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      free,
			acquireErr: lagoonbarrow.ErrVoided,
			steps:      "admit, acquire, release false",
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonVoided,
		},
		{
			name:       "other content",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      free,
			acquireErr: lagoonbarrow.ErrKeyMismatch,
			steps:      "admit, acquire, release false",
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonKeyMismatch,
		},
		{
			name:       "claimed late",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      free,
			acquireErr: lagoonbarrow.ErrDeadline,
			steps:      "admit, acquire, release false",
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonDeadline,
		},
		{
			name:       "platform down",
			atMostOnce: true,
			fake:       fakeDependencies{},
			claim:      free,
			acquireErr: unavailable,
			steps:      "admit, acquire, release false",
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonPlatform,
		},
		{
			name:       "preempted, platform down",
			atMostOnce: true,
			fake: fakeDependencies{
				permitContext: preempted,
			},
			claim:      free,
			acquireErr: unavailable,
			steps:      "admit, acquire, release false",
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonShed,
		},
	}
	for i := range cases {
		current := &cases[i]
		t.Run(current.name, func(t *testing.T) {
			fake := &current.fake
			fake.acquireClaim = func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
				return current.claim, current.acquireErr
			}
			ledger := budget.New(budget.Config{})
			handler := fake.newHandler(ledger)
			handler.SetReady(true)
			call := newCall("POST", current.atMostOnce)
			call.Remaining = time.Minute
			call.Tokens = 2
			answer := handler.HandleCall(context.Background(), call)
			got := strings.Join(fake.steps, ", ")
			if got != current.steps || answer.Outcome != current.outcome || answer.Reason != current.reason {
				t.Errorf("%s: %s %s; want %s: %s %s", got, answer.Outcome, answer.Reason, current.steps, current.outcome, current.reason)
			}
			if answer.Call != call.ID || answer.TokensLeft != 2 || answer.Threshold != 7 {
				t.Errorf("answer for %s with %d tokens and threshold %d", answer.Call, answer.TokensLeft, answer.Threshold)
			}
			if fake.unreportedWait || fake.downstreamWaits > 0 {
				t.Error("the time of the claim write counts as latency of the backend server")
			}
			if accounts, _ := ledger.Len(); accounts > 0 || handler.InFlight() > 0 || len(handler.tracker.calls) > 0 {
				t.Errorf("%d accounts, %d calls in flight and %d tracked calls are left", accounts, handler.InFlight(), len(handler.tracker.calls))
			}
		})
	}
}

// Guards against a node that accepts calls while it is starting or leaving or beyond
// the maximum depth, and against tokens lost with such refusals.
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
			prepare: func(handler *Handler, _ *lagoonbarrow.Call) { handler.RefuseNewCalls() },
			reason:  lagoonbarrow.ReasonLeaving,
		},
		{
			name:    "deep",
			prepare: func(_ *Handler, call *lagoonbarrow.Call) { call.Depth = lagoonbarrow.MaxDepth + 1 },
			reason:  lagoonbarrow.ReasonDepth,
		},
	}
	for _, current := range cases {
		fake := &fakeDependencies{}
		handler := fake.newHandler(budget.New(budget.Config{}))
		handler.SetReady(true)
		call := newCall("GET", false)
		call.Tokens = 2
		current.prepare(handler, call)
		answer := handler.HandleCall(context.Background(), call)
		if len(fake.steps) > 0 || answer.Outcome != notRun || answer.Reason != current.reason || answer.TokensLeft != 2 {
			t.Errorf("%s: %v, %s %s, %d tokens", current.name, fake.steps, answer.Outcome, answer.Reason, answer.TokensLeft)
		}
	}
}

// Guards against upstream retries of a call that met overload downstream. Its answer
// must have the reason "exhausted" and the threshold of the downstream refusal.
func TestDownstreamOverloadIsReported(t *testing.T) {
	for _, backend := range []reply{answerReply(notRun, lagoonbarrow.ReasonBackend), answerReply(unknown, lagoonbarrow.ReasonBackend)} {
		fake := &fakeDependencies{}
		handler := fake.newHandler(budget.New(budget.Config{}))
		handler.SetReady(true)
		call := newCall("GET", false)
		call.Remaining = time.Minute
		handler.config.Backend = backendFunc(func(call *lagoonbarrow.Call) *lagoonbarrow.Answer {
			refusal := lagoonbarrow.NewRefusal("below", lagoonbarrow.ReasonShed)
			refusal.Threshold = 99
			handler.tracker.recordAnswer(call.ID, refusal)
			answer := backend.answer
			return &answer
		})
		answer := handler.HandleCall(context.Background(), call)
		if answer.Reason != lagoonbarrow.ReasonExhausted || answer.Outcome != backend.answer.Outcome || answer.Threshold != 99 {
			t.Errorf("%s %s, threshold %d", answer.Outcome, answer.Reason, answer.Threshold)
		}
	}
}

type backendFunc func(call *lagoonbarrow.Call) *lagoonbarrow.Answer

func (f backendFunc) Run(_ context.Context, call *lagoonbarrow.Call, _ time.Time) *lagoonbarrow.Answer {
	return f(call)
}
