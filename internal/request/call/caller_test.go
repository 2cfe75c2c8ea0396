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
		{
			name:      "done",
			method:    "POST",
			instances: 9,
			script:    []reply{ok},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   done,
		},
		{
			name:      "not sent, then done",
			method:    "POST",
			instances: 9,
			script:    []reply{unsent, ok},
			row:       voided,
			sends:     2,
			left:      3,
			outcome:   done,
		},
		{
			name:      "never sent",
			method:    "POST",
			instances: 9,
			script:    []reply{unsent},
			row:       voided,
			sends:     7,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "one instance, not sent",
			method:    "GET",
			instances: 1,
			script:    []reply{unsent},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonUnreachable,
		},
		{
			name:    "no instance",
			method:  "GET",
			row:     voided,
			left:    3,
			outcome: notRun,
			reason:  lagoonbarrow.ReasonUnreachable,
		},
		{
			name:      "own queue full",
			method:    "GET",
			instances: 9,
			script:    []reply{failedWith(errNotSentShed{})},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonShed,
		},
		{
			name:      "leaving, then done",
			method:    "POST",
			instances: 9,
			script:    []reply{leaving, ok},
			row:       voided,
			sends:     2,
			left:      3,
			outcome:   done,
		},
		{
			name:      "always not ready",
			method:    "GET",
			instances: 9,
			script:    []reply{answered(notRun, lagoonbarrow.ReasonNotReady)},
			row:       voided,
			sends:     7,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "shed",
			method:    "GET",
			instances: 9,
			script:    []reply{shed},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonShed,
		},
		{
			name:      "exhausted below",
			method:    "GET",
			instances: 9,
			script:    []reply{answered(unclear, lagoonbarrow.ReasonExhausted)},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "always refused by the backend server",
			method:    "POST",
			instances: 9,
			script:    []reply{refused},
			row:       voided,
			sends:     4,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "two instances refuse",
			method:    "POST",
			instances: 2,
			script:    []reply{refused},
			row:       voided,
			sends:     2,
			left:      2,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonBackend,
		},
		{
			name:      "read lost, then done",
			method:    "GET",
			instances: 9,
			script:    []reply{lost, ok},
			row:       voided,
			sends:     2,
			outcome:   done,
		},
		{
			name:      "read always lost",
			method:    "GET",
			instances: 9,
			script:    []reply{lost},
			row:       voided,
			sends:     2,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "write lost",
			method:    "POST",
			instances: 9,
			script:    []reply{lost},
			row:       voided,
			sends:     1,
			left:      1,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonUnreachable,
		},
		{
			name:      "read always failed",
			method:    "GET",
			instances: 9,
			script:    []reply{failed},
			row:       voided,
			sends:     4,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "write failed",
			method:    "POST",
			instances: 9,
			script:    []reply{failed},
			row:       voided,
			sends:     1,
			left:      3,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonBackend,
		},
		{
			name:      "read failed, then shed",
			method:    "GET",
			instances: 9,
			script:    []reply{failed, shed},
			row:       voided,
			sends:     2,
			left:      2,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonShed,
		},
		{
			name:      "filing voided, then done",
			method:    "POST",
			filing:    true,
			instances: 1,
			script:    []reply{answered(notRun, lagoonbarrow.ReasonVoided), ok},
			row:       voided,
			sends:     2,
			left:      2,
			outcome:   done,
		},
		{
			name:      "filing lost and voided, then done",
			method:    "POST",
			filing:    true,
			instances: 1,
			script:    []reply{lost, ok},
			row:       voided,
			sends:     2,
			outcome:   done,
		},
		{
			name:      "filing lost and completed",
			method:    "POST",
			filing:    true,
			instances: 9,
			script:    []reply{lost},
			row:       filed,
			voidErr:   lagoonbarrow.ErrClaimed,
			sends:     1,
			left:      1,
			outcome:   done,
		},
		{
			name:      "filing lost, other content completed",
			method:    "POST",
			filing:    true,
			instances: 9,
			script:    []reply{lost},
			row:       other,
			voidErr:   lagoonbarrow.ErrMismatch,
			sends:     1,
			left:      1,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonMismatch,
		},
		{
			name:      "filing lost, table lost",
			method:    "POST",
			filing:    true,
			instances: 9,
			script:    []reply{lost},
			row:       voided,
			voidErr:   lagoonbarrow.ErrOutcomeUnknown,
			sends:     1,
			left:      1,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonPlatform,
		},
		{
			name:      "filing claimed, then completed",
			method:    "POST",
			filing:    true,
			instances: 9,
			script:    []reply{claimed},
			row:       filed,
			sends:     1,
			left:      3,
			outcome:   done,
		},
		{
			name:      "filing claimed, then other content completed",
			method:    "POST",
			filing:    true,
			instances: 9,
			script:    []reply{claimed},
			row:       other,
			sends:     1,
			left:      3,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonMismatch,
		},
		{
			name:      "filing claimed, then voided",
			method:    "POST",
			filing:    true,
			instances: 1,
			script:    []reply{claimed, ok},
			row:       voided,
			sends:     2,
			left:      2,
			outcome:   done,
		},
		{
			name:      "filing claimed, old row",
			method:    "POST",
			filing:    true,
			instances: 1,
			script:    []reply{claimed, ok},
			row:       stale,
			sends:     1,
			left:      3,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonClaimed,
		},
		{
			name:      "at-most-once read lost",
			method:    "GET",
			filing:    true,
			instances: 9,
			script:    []reply{lost},
			row:       voided,
			voidErr:   lagoonbarrow.ErrOutcomeUnknown,
			sends:     1,
			left:      1,
			outcome:   unclear,
			reason:    lagoonbarrow.ReasonPlatform,
		},
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
		{
			err: lagoonbarrow.ErrAnswerLost,
		},
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
