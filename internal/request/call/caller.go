// Package call makes calls to other instances, with retries within the
// request's tokens, and serves the calls that other nodes make.
package call

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// freeRedirects bounds the tries of one call that cost no token because the
// instance was leaving, not ready or not reachable and so did no work.
const freeRedirects = 3

// CallerConfig configures a Caller.
type CallerConfig struct {
	Self      lagoonbarrow.InstanceID
	Transport lagoonbarrow.Transport
	Roster    lagoonbarrow.Roster
	Router    lagoonbarrow.Router
	Claims    lagoonbarrow.Claims
	Local     lagoonbarrow.CallHandler
	Recorder  lagoonbarrow.Recorder
	Clock     lagoonbarrow.Clock
	Scope     tally.Scope
	// Unreachable is told of instances that did not answer.
	Unreachable func(id lagoonbarrow.InstanceID)
	// Plain forwards with a fixed number of retries at each hop and without
	// tokens, as the baseline of measurements.
	Plain        bool
	PlainRetries int
}

// Caller implements lagoonbarrow.Caller.
type Caller struct {
	config  CallerConfig
	tracker *tracker
	silent  *silentWatch
	waits   *claimWaits
	sent    tally.Counter
	retried tally.Counter
}

// NewCaller returns a caller. The handler must be the one that serves calls on
// this node, so that the answers of calls below reach the answer above.
func NewCaller(config CallerConfig, handler *Handler) *Caller {
	config.Local = handler
	return &Caller{
		config:  config,
		tracker: handler.tracker,
		silent:  newSilentWatch(config.Roster, config.Unreachable),
		waits:   newClaimWaits(config.Claims),
		sent:    config.Scope.Counter("calls-sent"),
		retried: config.Scope.Counter("calls-retried"),
	}
}

// Start begins to watch for instances that fall silent.
func (c *Caller) Start() {
	c.silent.start()
}

// Stop ends what Start began.
func (c *Caller) Stop() {
	c.silent.close()
}

// Do makes a call for an account and returns the final answer.
func (c *Caller) Do(ctx context.Context, account lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	if c.config.Plain {
		return c.doPlain(ctx, account, call)
	}
	meant, err := account.Begin(call)
	if err != nil {
		c.record(event.RepeatRefused, call, "", err.Error())
		return refuseRepeat(call, err)
	}
	waited := c.tracker.wait(account.Call().ID)
	answer := c.attempts(ctx, account, call)
	waited()
	meant.End(answer.Outcome, answer.Outcome != lagoonbarrow.OutcomeDone || answer.Status >= 500)
	c.tracker.note(account.Call().ID, answer)
	return answer
}

func refuseRepeat(call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	answer := lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonExhausted)
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		// The earlier call of the same content may have been run.
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Reason = lagoonbarrow.ReasonClaimed
	}
	return answer
}

// attempts is the retry loop of one call.
type attempts struct {
	caller  *Caller
	account lagoonbarrow.Account
	call    *lagoonbarrow.Call
	// next is the instance for the next attempt.
	next      lagoonbarrow.Instance
	avoid     []lagoonbarrow.InstanceID
	redirects int
	// expected is the claim row's version for the next attempt.
	expected lagoonbarrow.RowVersion
	// ranMaybe is set once an attempt had an unknown outcome.
	ranMaybe bool
}

func (c *Caller) attempts(ctx context.Context, account lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	loop := attempts{
		caller:   c,
		account:  account,
		call:     call,
		expected: call.ExpectedRow,
	}
	if !loop.pick() {
		return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonUnreachable)
	}
	for {
		answer := loop.attempt(ctx)
		if !loop.again(ctx, answer) {
			return loop.final(answer)
		}
	}
}

// pick chooses the instance for the next attempt and reports whether there is one.
func (a *attempts) pick() bool {
	instance, err := a.caller.config.Router.Pick(a.call.Service, a.call.Key, a.avoid)
	a.next = instance
	return err == nil
}

// final makes the last attempt's answer that of the call: a call is only "not
// run" if no attempt may have run.
func (a *attempts) final(answer *lagoonbarrow.Answer) *lagoonbarrow.Answer {
	answer.Call = a.call.ID
	if a.ranMaybe && answer.Outcome == lagoonbarrow.OutcomeNotRun {
		answer.Outcome = lagoonbarrow.OutcomeUnknown
	}
	return answer
}

// attempt sends the call once.
func (a *attempts) attempt(ctx context.Context) *lagoonbarrow.Answer {
	remaining := time.Until(a.account.Deadline())
	if remaining <= 0 || ctx.Err() != nil {
		return lagoonbarrow.Refuse(a.call.ID, lagoonbarrow.ReasonDeadline)
	}
	sent := *a.call
	sent.ID = lagoonbarrow.NewCallID()
	sent.Remaining = remaining
	sent.Tokens = a.share()
	sent.ExpectedRow = a.expected
	sent.Stamp = a.caller.config.Clock.Now()
	if sent.Attempt != "" {
		// An instance that declined may still void its attempt later, so no two
		// sends share an attempt id.
		sent.Attempt = lagoonbarrow.NewAttemptID()
	}
	answer, err := a.caller.send(ctx, a.next, &sent)
	a.avoid = append(a.avoid, a.next.ID)
	answer = a.settle(ctx, &sent, answer, err)
	if sent.Attempt != "" && err == nil && answer.Reason == lagoonbarrow.ReasonClaimed {
		return a.caller.awaitClaim(ctx, &sent, lagoonbarrow.Claim{
			State: lagoonbarrow.ClaimHeld,
		})
	}
	return answer
}

// share takes the tokens that travel with an attempt. A request that its caller
// may re-send under a key leaves none behind, so that its owner alone counts
// the retries of all re-sends; kept back tokens would come anew with each.
func (a *attempts) share() lagoonbarrow.Tokens {
	tokens := a.account.Share()
	if a.call.Key == "" || a.call.Attempt != "" {
		return tokens
	}
	for more := a.account.Share(); more > 0; more = a.account.Share() {
		tokens += more
	}
	return tokens
}

// settle turns a lost answer into an outcome and gives back unused tokens.
func (a *attempts) settle(ctx context.Context, sent *lagoonbarrow.Call, answer *lagoonbarrow.Answer, err error) *lagoonbarrow.Answer {
	if err == nil {
		// A callee gives back no more than it got, also while others hold shares.
		a.account.Return(min(answer.TokensLeft, sent.Tokens))
		return answer
	}
	if errors.Is(err, lagoonbarrow.ErrNotSent) {
		a.account.Return(sent.Tokens)
		return lagoonbarrow.Refuse(sent.ID, notSentReason(ctx, err))
	}
	if sent.Attempt != "" {
		return a.voidAttempt(ctx, sent)
	}
	answer = lagoonbarrow.Refuse(sent.ID, lagoonbarrow.ReasonUnreachable)
	if ctx.Err() != nil {
		answer.Reason = lagoonbarrow.ReasonDeadline
	}
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	return answer
}

// notSentReason tells a full queue of this node from an instance that can't be
// reached.
func notSentReason(ctx context.Context, err error) lagoonbarrow.Reason {
	switch {
	case errors.Is(err, lagoonbarrow.ErrShed):
		return lagoonbarrow.ReasonShed
	case ctx.Err() != nil:
		return lagoonbarrow.ReasonDeadline
	default:
		return lagoonbarrow.ReasonUnreachable
	}
}

// again decides whether another attempt is made, and pays for it.
func (a *attempts) again(ctx context.Context, answer *lagoonbarrow.Answer) bool {
	if answer.Outcome == lagoonbarrow.OutcomeUnknown {
		a.ranMaybe = true
	}
	if answer.Outcome == lagoonbarrow.OutcomeDone || ctx.Err() != nil {
		return false
	}
	if answer.Outcome == lagoonbarrow.OutcomeUnknown && (!a.call.Safe() || a.call.Attempt != "") {
		return false
	}
	if !retryable(answer.Reason) {
		return false
	}
	if answer.Reason == lagoonbarrow.ReasonVoided {
		a.expected = answer.RowVersion
		a.avoid = nil
	}
	// Without another instance the answer stands and no token is spent.
	if !a.pick() {
		return false
	}
	if answer.Outcome == lagoonbarrow.OutcomeNotRun && redirected(answer.Reason) && a.redirects < freeRedirects {
		a.redirects++
		return true
	}
	if !a.account.Spend() {
		answer.Reason = lagoonbarrow.ReasonExhausted
		a.caller.record(event.RetryExhausted, a.call, "", "")
		return false
	}
	a.caller.retried.Inc(1)
	a.caller.record(event.CallRetried, a.call, "", string(answer.Reason))
	return true
}

// redirected reports whether the callee did no work and another instance may.
func redirected(reason lagoonbarrow.Reason) bool {
	switch reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady, lagoonbarrow.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// retryable reports whether another instance may succeed. Refusals for
// overload are not retried: all instances shed by the same priorities.
func retryable(reason lagoonbarrow.Reason) bool {
	switch reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady, lagoonbarrow.ReasonUnreachable,
		lagoonbarrow.ReasonBackend, lagoonbarrow.ReasonVoided:
		return true
	default:
		return false
	}
}

// send makes one attempt at an instance and observes it for routing.
func (c *Caller) send(ctx context.Context, instance lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	c.sent.Inc(1)
	c.record(event.CallSent, call, instance.ID, "")
	ended := c.config.Router.Started(instance.ID)
	started := time.Now()
	answer, err := c.transmit(ctx, instance, call)
	observation := lagoonbarrow.Observation{
		Failed: failedInstance(ctx, answer, err),
	}
	if err == nil && answer.Outcome == lagoonbarrow.OutcomeDone {
		// A refusal is quick and would make an overloaded instance look fast.
		observation.Latency = time.Since(started)
	}
	if err == nil {
		observation.Load = answer.Load
		observation.HasLoad = true
		c.config.Clock.Observe(answer.Stamp)
	}
	ended(observation)
	if observation.Failed && err != nil {
		c.config.Unreachable(instance.ID)
	}
	return answer, err
}

func (c *Caller) transmit(ctx context.Context, instance lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if instance.ID == c.config.Self {
		return c.config.Local.HandleCall(ctx, call), nil
	}
	if !call.Safe() {
		// An unsafe call is not repeated, and its answer may still come.
		return c.config.Transport.Call(ctx, instance, call)
	}
	ctx, end := c.silent.begin(ctx, instance.ID)
	answer, err := c.config.Transport.Call(ctx, instance, call)
	end(err == nil)
	return answer, err
}

// failedInstance reports whether an attempt speaks against the instance. A
// cancelled attempt, a refusal for overload and a call or answer over the size
// limit do not.
func failedInstance(ctx context.Context, answer *lagoonbarrow.Answer, err error) bool {
	if err != nil {
		return ctx.Err() == nil && !errors.Is(err, lagoonbarrow.ErrShed) && !errors.Is(err, lagoonbarrow.ErrTooLarge)
	}
	if answer.Outcome == lagoonbarrow.OutcomeDone {
		return false
	}
	return redirected(answer.Reason) || answer.Reason == lagoonbarrow.ReasonBackend
}

func (c *Caller) record(kind event.Kind, call *lagoonbarrow.Call, peer lagoonbarrow.InstanceID, detail string) {
	c.config.Recorder.Record(kind, event.Fields{
		Request:  string(call.Request),
		Customer: string(call.Customer),
		Class:    string(call.Class),
		Peer:     string(peer),
		Detail:   detail,
	})
}
