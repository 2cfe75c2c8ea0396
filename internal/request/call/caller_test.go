package call

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/claim"
)

const (
	done    = lagoonbarrow.OutcomeDone
	notRun  = lagoonbarrow.OutcomeNotRun
	unclear = lagoonbarrow.OutcomeUnknown
)

func answered(outcome lagoonbarrow.Outcome, reason lagoonbarrow.Reason) reply {
	return reply{
		answer: lagoonbarrow.Answer{
			Outcome:    outcome,
			Reason:     reason,
			RowVersion: 4,
		},
		ran: outcome != notRun,
	}
}

func failedWith(err error) reply {
	return reply{
		err: errors.Wrap(err, "test"),
		ran: errors.Is(err, lagoonbarrow.ErrAnswerLost),
	}
}

func callOf(method string, filing bool) *lagoonbarrow.Call {
	made := &lagoonbarrow.Call{
		ID:     "call",
		Method: method,
		Path:   "/orders/1",
	}
	if filing {
		made.Key = "k"
		made.Attempt = "first"
	}
	return made
}

func completed(of *lagoonbarrow.Call) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimCompleted,
		Digest:  claim.Digest(of),
		Version: 2,
		Answer: &lagoonbarrow.Answer{
			Outcome: done,
			Status:  201,
		},
	}
}

// Guards against attempts beyond the tokens, tokens that vanish or appear,
// repeats of writes that may have run, and wrong final outcomes. Each call has
// three tokens.
func TestRetries(t *testing.T) {
	filed := completed(callOf("POST", true))
	other := filed
	other.Digest = "other"
	voided := lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimVoided,
		Version: 1,
	}
	stale := voided
	stale.Version = 0
	ok := answered(done, "")
	leaving := answered(notRun, lagoonbarrow.ReasonLeaving)
	refused := answered(notRun, lagoonbarrow.ReasonBackend)
	shed := answered(notRun, lagoonbarrow.ReasonShed)
	failed := answered(unclear, lagoonbarrow.ReasonBackend)
	claimed := answered(unclear, lagoonbarrow.ReasonClaimed)
	unsent := failedWith(lagoonbarrow.ErrNotSent)
	lost := failedWith(lagoonbarrow.ErrAnswerLost)
	cases := []struct {
		name      string
		method    string
		filing    bool
		instances int
		script    []reply
		// row is what the claims return; voidErr is the error of VoidAttempt.
		row     lagoonbarrow.Claim
		voidErr error
		sends   int
		left    lagoonbarrow.Tokens
		outcome lagoonbarrow.Outcome
		reason  lagoonbarrow.Reason
	}{
		{"done", "POST", false, 9, []reply{ok}, voided, nil, 1, 3, done, ""},
		{"not sent, then done", "POST", false, 9, []reply{unsent, ok}, voided, nil, 2, 3, done, ""},
		{"never sent", "POST", false, 9, []reply{unsent}, voided, nil, 7, 0, notRun, lagoonbarrow.ReasonExhausted},
		{"one instance, not sent", "GET", false, 1, []reply{unsent}, voided, nil, 1, 3, notRun, lagoonbarrow.ReasonUnreachable},
		{"no instance", "GET", false, 0, nil, voided, nil, 0, 3, notRun, lagoonbarrow.ReasonUnreachable},
		{"own queue full", "GET", false, 9, []reply{failedWith(errNotSentShed{})}, voided, nil, 1, 3, notRun, lagoonbarrow.ReasonShed},
		{"leaving, then done", "POST", false, 9, []reply{leaving, ok}, voided, nil, 2, 3, done, ""},
		{"always not ready", "GET", false, 9, []reply{answered(notRun, lagoonbarrow.ReasonNotReady)}, voided, nil, 7, 0, notRun, lagoonbarrow.ReasonExhausted},
		{"shed", "GET", false, 9, []reply{shed}, voided, nil, 1, 3, notRun, lagoonbarrow.ReasonShed},
		{"exhausted below", "GET", false, 9, []reply{answered(unclear, lagoonbarrow.ReasonExhausted)}, voided, nil, 1, 3, unclear, lagoonbarrow.ReasonExhausted},
		{"always refused by the backend server", "POST", false, 9, []reply{refused}, voided, nil, 4, 0, notRun, lagoonbarrow.ReasonExhausted},
		{"two instances refuse", "POST", false, 2, []reply{refused}, voided, nil, 2, 2, notRun, lagoonbarrow.ReasonBackend},
		{"read lost, then done", "GET", false, 9, []reply{lost, ok}, voided, nil, 2, 0, done, ""},
		{"read always lost", "GET", false, 9, []reply{lost}, voided, nil, 2, 0, unclear, lagoonbarrow.ReasonExhausted},
		{"write lost", "POST", false, 9, []reply{lost}, voided, nil, 1, 1, unclear, lagoonbarrow.ReasonUnreachable},
		{"read always failed", "GET", false, 9, []reply{failed}, voided, nil, 4, 0, unclear, lagoonbarrow.ReasonExhausted},
		{"write failed", "POST", false, 9, []reply{failed}, voided, nil, 1, 3, unclear, lagoonbarrow.ReasonBackend},
		{"read failed, then shed", "GET", false, 9, []reply{failed, shed}, voided, nil, 2, 2, unclear, lagoonbarrow.ReasonShed},
		{"filing voided, then done", "POST", true, 1, []reply{answered(notRun, lagoonbarrow.ReasonVoided), ok}, voided, nil, 2, 2, done, ""},
		{"filing lost and voided, then done", "POST", true, 1, []reply{lost, ok}, voided, nil, 2, 0, done, ""},
		{"filing lost and completed", "POST", true, 9, []reply{lost}, filed, lagoonbarrow.ErrClaimed, 1, 1, done, ""},
		{"filing lost, other content completed", "POST", true, 9, []reply{lost}, other, lagoonbarrow.ErrMismatch, 1, 1, notRun, lagoonbarrow.ReasonMismatch},
		{"filing lost, table lost", "POST", true, 9, []reply{lost}, voided, lagoonbarrow.ErrOutcomeUnknown, 1, 1, unclear, lagoonbarrow.ReasonPlatform},
		{"filing claimed, then completed", "POST", true, 9, []reply{claimed}, filed, nil, 1, 3, done, ""},
		{"filing claimed, then other content completed", "POST", true, 9, []reply{claimed}, other, nil, 1, 3, notRun, lagoonbarrow.ReasonMismatch},
		{"filing claimed, then voided", "POST", true, 1, []reply{claimed, ok}, voided, nil, 2, 2, done, ""},
		{"filing claimed, old row", "POST", true, 1, []reply{claimed, ok}, stale, nil, 1, 3, unclear, lagoonbarrow.ReasonClaimed},
		{"at-most-once read lost", "GET", true, 9, []reply{lost}, voided, lagoonbarrow.ErrOutcomeUnknown, 1, 1, unclear, lagoonbarrow.ReasonPlatform},
	}
	for _, current := range cases {
		t.Run(current.name, func(t *testing.T) {
			parts := &fakeParts{
				instances: current.instances,
				script:    current.script,
				row:       func() (lagoonbarrow.Claim, error) { return current.row, nil },
				voidAttempt: func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
					return current.row, current.voidErr
				},
			}
			account := openAccount(3, 300*time.Millisecond)
			ctx, cancel := context.WithDeadline(context.Background(), account.Deadline())
			defer cancel()
			caller := parts.caller()
			caller.tracker.open(account.Call().ID, parts)
			answer := caller.Do(ctx, account, callOf(current.method, current.filing))
			left := account.Close()
			if parts.unnoticed || parts.waiting > 0 {
				t.Error("the time of a downstream call counts as the backend server's")
			}
			if len(parts.sent) != current.sends || left != current.left || answer.Outcome != current.outcome || answer.Reason != current.reason {
				t.Errorf("%d sends, %d tokens left, %s %s; want %d, %d, %s %s", len(parts.sent), left, answer.Outcome, answer.Reason,
					current.sends, current.left, current.outcome, current.reason)
			}
			if answer.Call != "call" {
				t.Errorf("the answer is for call %q", answer.Call)
			}
			for i, sent := range parts.sent {
				if i > 0 && current.filing && (sent.Attempt == parts.sent[i-1].Attempt || sent.ExpectedRow == 0) {
					t.Errorf("send %d has attempt %s and expects version %d", i, sent.Attempt, sent.ExpectedRow)
				}
			}
		})
	}
}

// errNotSentShed is how the transport reports a full queue of this node.
type errNotSentShed struct{}

func (errNotSentShed) Error() string { return "not sent: shed" }

func (errNotSentShed) Is(target error) bool {
	return target == lagoonbarrow.ErrNotSent || target == lagoonbarrow.ErrShed
}

// Guards against a broken bound on sends, a "not run" of a call that ran, and
// a write that runs twice, over random scripts of failures.
func TestPropertyRandomFailures(t *testing.T) {
	kinds := []reply{
		answered(done, ""),
		answered(notRun, lagoonbarrow.ReasonLeaving),
		answered(notRun, lagoonbarrow.ReasonNotReady),
		answered(notRun, lagoonbarrow.ReasonBackend),
		answered(notRun, lagoonbarrow.ReasonVoided),
		answered(notRun, lagoonbarrow.ReasonShed),
		answered(unclear, lagoonbarrow.ReasonBackend),
		answered(unclear, lagoonbarrow.ReasonExhausted),
		failedWith(lagoonbarrow.ErrNotSent),
		failedWith(lagoonbarrow.ErrAnswerLost),
		{err: lagoonbarrow.ErrAnswerLost},
	}
	check := func(picks []int, tokens, instances, kind int) (bool, error) {
		parts := &fakeParts{
			instances: instances,
		}
		for _, pick := range picks {
			parts.script = append(parts.script, kinds[pick])
		}
		made := callOf([]string{"GET", "POST", "POST"}[kind], kind == 2)
		replyTo := func(send int) reply {
			return parts.script[min(send, len(parts.script)-1)]
		}
		// A claim can be voided only if its attempt did not run.
		parts.voidAttempt = func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
			if replyTo(len(parts.sent) - 1).ran {
				return lagoonbarrow.Claim{}, lagoonbarrow.ErrOutcomeUnknown
			}
			return lagoonbarrow.Claim{}, nil
		}
		account := openAccount(lagoonbarrow.Tokens(tokens), time.Minute)
		answer := parts.caller().Do(context.Background(), account, made)
		runs := 0
		for send := range parts.sent {
			if replyTo(send).ran {
				runs++
			}
		}
		switch {
		case len(parts.sent) > 1+tokens+freeRedirects:
			return false, errors.Errorf("%d sends with %d tokens", len(parts.sent), tokens)
		case answer.Outcome == notRun && runs > 0:
			return false, errors.New("not run, but it ran")
		case !made.Safe() && runs > 1:
			return false, errors.Errorf("a write ran %d times", runs)
		case int(account.Close()) > tokens:
			return false, errors.New("tokens were created")
		}
		return true, nil
	}
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(1))
	properties.Property("sends, outcomes and runs", prop.ForAll(check,
		gen.SliceOfN(6, gen.IntRange(0, len(kinds)-1)), gen.IntRange(0, 5), gen.IntRange(0, 12), gen.IntRange(0, 2)))
	properties.TestingRun(t)
}

// Guards against many reads of the platform for many callers that wait for one
// key, and against goroutines that outlive the wait.
func TestWaitersShareLookups(t *testing.T) {
	defer goleak.VerifyNone(t)
	const waiters = 50
	filed := completed(callOf("POST", true))
	parts := &fakeParts{
		instances: 1,
		script:    []reply{answered(unclear, lagoonbarrow.ReasonClaimed)},
	}
	// The fourth read finds the claim completed.
	parts.row = func() (lagoonbarrow.Claim, error) {
		switch {
		case parts.lookups < 3:
			return lagoonbarrow.Claim{
				State: lagoonbarrow.ClaimHeld,
			}, nil
		case parts.lookups == 3:
			return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
		default:
			return filed, nil
		}
	}
	caller := parts.caller()
	var group sync.WaitGroup
	for i := range waiters {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if i%10 == 0 {
				// A waiter that leaves early must not end the wait of the others.
				cancel()
			}
			sent := callOf("POST", true)
			sent.ID = lagoonbarrow.CallID(fmt.Sprint(i))
			answer := caller.awaitClaim(ctx, sent, lagoonbarrow.Claim{
				State: lagoonbarrow.ClaimHeld,
			})
			if answer.Call != sent.ID || (answer.Outcome == done) != (i%10 != 0) {
				t.Errorf("waiter %d got %s for call %s", i, answer.Outcome, answer.Call)
			}
		})
	}
	group.Wait()
	t.Logf("%d lookups for %d waiters", parts.lookups, waiters)
	if parts.lookups > waiters/2 || len(caller.waits.keys) > 0 {
		t.Errorf("%d lookups, %d waits left", parts.lookups, len(caller.waits.keys))
	}
}
