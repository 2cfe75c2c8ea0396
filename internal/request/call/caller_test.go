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
	unknown = lagoonbarrow.OutcomeUnknown
)

func answerReply(outcome lagoonbarrow.Outcome, reason lagoonbarrow.Reason) reply {
	return reply{
		answer: lagoonbarrow.Answer{
			Outcome:    outcome,
			Reason:     reason,
			RowVersion: 4,
		},
		ran: outcome != notRun,
	}
}

func errorReply(err error) reply {
	return reply{
		err: errors.Wrap(err, "test"),
		ran: errors.Is(err, lagoonbarrow.ErrAnswerLost),
	}
}

func newCall(method string, atMostOnce bool) *lagoonbarrow.Call {
	call := &lagoonbarrow.Call{
		ID:     "call",
		Method: method,
		Path:   "/orders/1",
	}
	if atMostOnce {
		call.Key = "k"
		call.Attempt = "first"
	}
	return call
}

func completedClaim(call *lagoonbarrow.Call) lagoonbarrow.Claim {
	return lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimCompleted,
		Digest:  claim.Digest(call),
		Version: 2,
		Answer: &lagoonbarrow.Answer{
			Outcome: done,
			Status:  201,
		},
	}
}

// Guards against more attempts than tokens allow, lost or created tokens, repeats of
// writes that may have run, and wrong final outcomes. Each call has three tokens.
func TestRetries(t *testing.T) {
	completed := completedClaim(newCall("POST", true))
	otherContent := completed
	otherContent.Digest = "other"
	voided := lagoonbarrow.Claim{
		State:   lagoonbarrow.ClaimVoided,
		Version: 1,
	}
	stale := voided
	stale.Version = 0
	ok := answerReply(done, "")
	leaving := answerReply(notRun, lagoonbarrow.ReasonLeaving)
	refused := answerReply(notRun, lagoonbarrow.ReasonBackend)
	shed := answerReply(notRun, lagoonbarrow.ReasonShed)
	failed := answerReply(unknown, lagoonbarrow.ReasonBackend)
	claimed := answerReply(unknown, lagoonbarrow.ReasonClaimed)
	notSent := errorReply(lagoonbarrow.ErrNotSent)
	lost := errorReply(lagoonbarrow.ErrAnswerLost)
	cases := []struct {
		name       string
		method     string
		atMostOnce bool
		instances  int
		script     []reply
		// claim is the row that Lookup and VoidAttempt return; voidErr is the error of
		// VoidAttempt.
		claim      lagoonbarrow.Claim
		voidErr    error
		sends      int
		tokensLeft lagoonbarrow.Tokens
		outcome    lagoonbarrow.Outcome
		reason     lagoonbarrow.Reason
	}{
		{
			name:       "done",
			method:     "POST",
			instances:  9,
			script:     []reply{ok},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    done,
		},
		{
			name:       "not sent, then done",
			method:     "POST",
			instances:  9,
			script:     []reply{notSent, ok},
			claim:      voided,
			sends:      2,
			tokensLeft: 3,
			outcome:    done,
		},
		{
			name:      "never sent",
			method:    "POST",
			instances: 9,
			script:    []reply{notSent},
			claim:     voided,
			sends:     7,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:       "one instance, not sent",
			method:     "GET",
			instances:  1,
			script:     []reply{notSent},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonUnreachable,
		},
		{
			name:       "no instance",
			method:     "GET",
			claim:      voided,
			tokensLeft: 3,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonUnreachable,
		},
		{
			name:       "own queue full",
			method:     "GET",
			instances:  9,
			script:     []reply{errorReply(errNotSentShed{})},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonShed,
		},
		{
			name:       "leaving, then done",
			method:     "POST",
			instances:  9,
			script:     []reply{leaving, ok},
			claim:      voided,
			sends:      2,
			tokensLeft: 3,
			outcome:    done,
		},
		{
			name:      "always not ready",
			method:    "GET",
			instances: 9,
			script:    []reply{answerReply(notRun, lagoonbarrow.ReasonNotReady)},
			claim:     voided,
			sends:     7,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:       "shed",
			method:     "GET",
			instances:  9,
			script:     []reply{shed},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonShed,
		},
		{
			name:       "exhausted downstream",
			method:     "GET",
			instances:  9,
			script:     []reply{answerReply(unknown, lagoonbarrow.ReasonExhausted)},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonExhausted,
		},
		{
			name:      "always refused by the backend server",
			method:    "POST",
			instances: 9,
			script:    []reply{refused},
			claim:     voided,
			sends:     4,
			outcome:   notRun,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:       "two instances refuse",
			method:     "POST",
			instances:  2,
			script:     []reply{refused},
			claim:      voided,
			sends:      2,
			tokensLeft: 2,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonBackend,
		},
		{
			name:      "read lost, then done",
			method:    "GET",
			instances: 9,
			script:    []reply{lost, ok},
			claim:     voided,
			sends:     2,
			outcome:   done,
		},
		{
			name:      "read always lost",
			method:    "GET",
			instances: 9,
			script:    []reply{lost},
			claim:     voided,
			sends:     2,
			outcome:   unknown,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:       "write lost",
			method:     "POST",
			instances:  9,
			script:     []reply{lost},
			claim:      voided,
			sends:      1,
			tokensLeft: 1,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonUnreachable,
		},
		{
			name:      "read always failed",
			method:    "GET",
			instances: 9,
			script:    []reply{failed},
			claim:     voided,
			sends:     4,
			outcome:   unknown,
			reason:    lagoonbarrow.ReasonExhausted,
		},
		{
			name:       "write failed",
			method:     "POST",
			instances:  9,
			script:     []reply{failed},
			claim:      voided,
			sends:      1,
			tokensLeft: 3,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonBackend,
		},
		{
			name:       "read failed, then shed",
			method:     "GET",
			instances:  9,
			script:     []reply{failed, shed},
			claim:      voided,
			sends:      2,
			tokensLeft: 2,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonShed,
		},
		{
			name:       "at-most-once voided, then done",
			method:     "POST",
			atMostOnce: true,
			instances:  1,
			script:     []reply{answerReply(notRun, lagoonbarrow.ReasonVoided), ok},
			claim:      voided,
			sends:      2,
			tokensLeft: 2,
			outcome:    done,
		},
		{
			name:       "at-most-once lost and voided, then done",
			method:     "POST",
			atMostOnce: true,
			instances:  1,
			script:     []reply{lost, ok},
			claim:      voided,
			sends:      2,
			outcome:    done,
		},
		{
			name:       "at-most-once lost and completed",
			method:     "POST",
			atMostOnce: true,
			instances:  9,
			script:     []reply{lost},
			claim:      completed,
			voidErr:    lagoonbarrow.ErrClaimed,
			sends:      1,
			tokensLeft: 1,
			outcome:    done,
		},
		{
			name:       "at-most-once lost, other content completed",
			method:     "POST",
			atMostOnce: true,
			instances:  9,
			script:     []reply{lost},
			claim:      otherContent,
			voidErr:    lagoonbarrow.ErrKeyMismatch,
			sends:      1,
			tokensLeft: 1,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonKeyMismatch,
		},
		{
			name:       "at-most-once lost, table lost",
			method:     "POST",
			atMostOnce: true,
			instances:  9,
			script:     []reply{lost},
			claim:      voided,
			voidErr:    lagoonbarrow.ErrOutcomeUnknown,
			sends:      1,
			tokensLeft: 1,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonPlatform,
		},
		{
			name:       "at-most-once claimed, then completed",
			method:     "POST",
			atMostOnce: true,
			instances:  9,
			script:     []reply{claimed},
			claim:      completed,
			sends:      1,
			tokensLeft: 3,
			outcome:    done,
		},
		{
			name:       "at-most-once claimed, then other content completed",
			method:     "POST",
			atMostOnce: true,
			instances:  9,
			script:     []reply{claimed},
			claim:      otherContent,
			sends:      1,
			tokensLeft: 3,
			outcome:    notRun,
			reason:     lagoonbarrow.ReasonKeyMismatch,
		},
		{
			name:       "at-most-once claimed, then voided",
			method:     "POST",
			atMostOnce: true,
			instances:  1,
			script:     []reply{claimed, ok},
			claim:      voided,
			sends:      2,
			tokensLeft: 2,
			outcome:    done,
		},
		{
			name:       "at-most-once claimed, old row",
			method:     "POST",
			atMostOnce: true,
			instances:  1,
			script:     []reply{claimed, ok},
			claim:      stale,
			sends:      1,
			tokensLeft: 3,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonClaimed,
		},
		{
			name:       "at-most-once read lost",
			method:     "GET",
			atMostOnce: true,
			instances:  9,
			script:     []reply{lost},
			claim:      voided,
			voidErr:    lagoonbarrow.ErrOutcomeUnknown,
			sends:      1,
			tokensLeft: 1,
			outcome:    unknown,
			reason:     lagoonbarrow.ReasonPlatform,
		},
	}
	for _, current := range cases {
		t.Run(current.name, func(t *testing.T) {
			fake := &fakeDependencies{
				instances:   current.instances,
				script:      current.script,
				lookupClaim: func() (lagoonbarrow.Claim, error) { return current.claim, nil },
				voidAttempt: func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
					return current.claim, current.voidErr
				},
			}
			account := openAccount(3, 300*time.Millisecond)
			ctx, cancel := context.WithDeadline(context.Background(), account.Deadline())
			defer cancel()
			caller := fake.newCaller()
			caller.tracker.open(account.Call().ID, fake)
			answer := caller.Do(ctx, account, newCall(current.method, current.atMostOnce))
			left := account.Close()
			if fake.unreportedWait || fake.downstreamWaits > 0 {
				t.Error("the time of a downstream call counts as latency of the backend server")
			}
			if len(fake.sent) != current.sends || left != current.tokensLeft || answer.Outcome != current.outcome || answer.Reason != current.reason {
				t.Errorf("%d sends, %d tokens left, %s %s; want %d, %d, %s %s", len(fake.sent), left, answer.Outcome, answer.Reason,
					current.sends, current.tokensLeft, current.outcome, current.reason)
			}
			if answer.Call != "call" {
				t.Errorf("the answer is for call %q", answer.Call)
			}
			for i, sent := range fake.sent {
				if i > 0 && current.atMostOnce && (sent.Attempt == fake.sent[i-1].Attempt || sent.ExpectedVersion == 0) {
					t.Errorf("send %d has attempt %s and expects version %d", i, sent.Attempt, sent.ExpectedVersion)
				}
			}
		})
	}
}

// errNotSentShed is the transport's error for a full queue at this node.
type errNotSentShed struct{}

func (errNotSentShed) Error() string { return "not sent: shed" }

func (errNotSentShed) Is(target error) bool {
	return target == lagoonbarrow.ErrNotSent || target == lagoonbarrow.ErrShed
}

// Guards against sends beyond the bound, the outcome "not run" for a call that ran,
// writes that run twice and created tokens, with random failures.
func TestPropertyRandomFailures(t *testing.T) {
	kinds := []reply{
		answerReply(done, ""),
		answerReply(notRun, lagoonbarrow.ReasonLeaving),
		answerReply(notRun, lagoonbarrow.ReasonNotReady),
		answerReply(notRun, lagoonbarrow.ReasonBackend),
		answerReply(notRun, lagoonbarrow.ReasonVoided),
		answerReply(notRun, lagoonbarrow.ReasonShed),
		answerReply(unknown, lagoonbarrow.ReasonBackend),
		answerReply(unknown, lagoonbarrow.ReasonExhausted),
		errorReply(lagoonbarrow.ErrNotSent),
		errorReply(lagoonbarrow.ErrAnswerLost),
		{
			err: lagoonbarrow.ErrAnswerLost,
		},
	}
	check := func(picks []int, tokens, instances, kind int) (bool, error) {
		fake := &fakeDependencies{
			instances: instances,
		}
		for _, pick := range picks {
			fake.script = append(fake.script, kinds[pick])
		}
		call := newCall([]string{"GET", "POST", "POST"}[kind], kind == 2)
		replyTo := func(send int) reply {
			return fake.script[min(send, len(fake.script)-1)]
		}
		// A claim can be voided only if its attempt did not run.
		fake.voidAttempt = func(*lagoonbarrow.Call) (lagoonbarrow.Claim, error) {
			if replyTo(len(fake.sent) - 1).ran {
				return lagoonbarrow.Claim{}, lagoonbarrow.ErrOutcomeUnknown
			}
			return lagoonbarrow.Claim{}, nil
		}
		account := openAccount(lagoonbarrow.Tokens(tokens), time.Minute)
		answer := fake.newCaller().Do(context.Background(), account, call)
		runs := 0
		for send := range fake.sent {
			if replyTo(send).ran {
				runs++
			}
		}
		switch {
		case len(fake.sent) > 1+tokens+maxFreeRedirects:
			return false, errors.Errorf("%d sends with %d tokens", len(fake.sent), tokens)
		case answer.Outcome == notRun && runs > 0:
			return false, errors.New("the outcome is not run, but the call ran")
		case !call.Safe() && runs > 1:
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

// Guards against a platform load that grows with the callers that wait for one key, and
// against goroutines that outlive the wait.
func TestWaitersShareLookups(t *testing.T) {
	defer goleak.VerifyNone(t)
	const waiters = 50
	completed := completedClaim(newCall("POST", true))
	fake := &fakeDependencies{
		instances: 1,
		script:    []reply{answerReply(unknown, lagoonbarrow.ReasonClaimed)},
	}
	// The fourth read finds the claim completed.
	fake.lookupClaim = func() (lagoonbarrow.Claim, error) {
		switch {
		case fake.lookups < 3:
			return lagoonbarrow.Claim{
				State: lagoonbarrow.ClaimHeld,
			}, nil
		case fake.lookups == 3:
			return lagoonbarrow.Claim{}, lagoonbarrow.ErrUnavailable
		default:
			return completed, nil
		}
	}
	caller := fake.newCaller()
	var group sync.WaitGroup
	for i := range waiters {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			if i%10 == 0 {
				// A waiter that is cancelled early must not end the wait of the others.
				cancel()
			}
			sent := newCall("POST", true)
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
	t.Logf("%d lookups for %d waiters", fake.lookups, waiters)
	if fake.lookups > waiters/2 || len(caller.claimPoller.polls) > 0 {
		t.Errorf("%d lookups, %d polls left", fake.lookups, len(caller.claimPoller.polls))
	}
}
