// Package call sends calls to other instances, with retries bounded by the
// request's tokens, and serves the calls that other nodes send.
package call

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// maxFreeRedirects bounds the retries of one call that cost no token. They follow
// attempts at instances that were leaving, not ready or unreachable and so did no work.
const maxFreeRedirects = 3

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
	// OnUnreachable is called with the id of an instance that did not answer.
	OnUnreachable func(id lagoonbarrow.InstanceID)
	// Plain forwards with a fixed number of retries at each hop and without
	// tokens. It is the baseline for measurements.
	Plain        bool
	PlainRetries int
}

// Caller implements lagoonbarrow.Caller.
type Caller struct {
	config      CallerConfig
	tracker     *tracker
	silence     *silenceMonitor
	claimPoller *claimPoller
	sent        tally.Counter
	retried     tally.Counter
}

// NewCaller returns a caller. The handler must be the one that serves calls on this
// node, because both share the record of overload met by downstream calls.
func NewCaller(config CallerConfig, handler *Handler) *Caller {
	config.Local = handler
	return &Caller{
		config:      config,
		tracker:     handler.tracker,
		silence:     newSilenceMonitor(config.Roster, config.OnUnreachable),
		claimPoller: newClaimPoller(config.Claims),
		sent:        config.Scope.Counter("calls-sent"),
		retried:     config.Scope.Counter("calls-retried"),
	}
}

// Start starts the detection of instances that stop answering.
func (c *Caller) Start() {
	c.silence.start()
}

// Stop ends the detection of instances that stop answering.
func (c *Caller) Stop() {
	c.silence.close()
}

// Do sends a call on behalf of an account, with retries, and returns the final answer.
func (c *Caller) Do(ctx context.Context, account lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	if c.config.Plain {
		return c.doPlain(ctx, account, call)
	}
	pending, err := account.Begin(call)
	if err != nil {
		c.record(event.RepeatRefused, call, "", err.Error())
		return refuseRepeat(call, err)
	}
	endWait := c.tracker.startWait(account.Call().ID)
	answer := c.runAttempts(ctx, account, call)
	endWait()
	pending.End(answer.Outcome, answer.Outcome != lagoonbarrow.OutcomeDone || answer.Status >= 500)
	c.tracker.recordAnswer(account.Call().ID, answer)
	return answer
}

func refuseRepeat(call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonExhausted)
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		// The earlier call with the same content may have been run.
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Reason = lagoonbarrow.ReasonClaimed
	}
	return answer
}

// retryLoop holds the state of the attempts at one call.
type retryLoop struct {
	caller  *Caller
	account lagoonbarrow.Account
	call    *lagoonbarrow.Call
	// next is the instance for the next attempt.
	next lagoonbarrow.Instance
	// avoid lists the instances that the next pick excludes.
	avoid     []lagoonbarrow.InstanceID
	redirects int
	// expected is the claim row's version for the next attempt.
	expected lagoonbarrow.RowVersion
	// mayHaveRun is set after an attempt with an unknown outcome.
	mayHaveRun bool
}

func (c *Caller) runAttempts(ctx context.Context, account lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	loop := retryLoop{
		caller:   c,
		account:  account,
		call:     call,
		expected: call.ExpectedVersion,
	}
	if !loop.pickInstance() {
		return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonUnreachable)
	}
	for {
		answer := loop.attempt(ctx)
		if !loop.prepareRetry(ctx, answer) {
			return loop.finalAnswer(answer)
		}
	}
}

// pickInstance chooses the instance for the next attempt and reports whether there is one.
func (l *retryLoop) pickInstance() bool {
	instance, err := l.caller.config.Router.Pick(l.call.Service, l.call.Key, l.avoid)
	l.next = instance
	return err == nil
}

// finalAnswer turns the last attempt's answer into the call's answer. The outcome is
// "not run" only if no attempt may have run.
func (l *retryLoop) finalAnswer(answer *lagoonbarrow.Answer) *lagoonbarrow.Answer {
	answer.Call = l.call.ID
	if l.mayHaveRun && answer.Outcome == lagoonbarrow.OutcomeNotRun {
		answer.Outcome = lagoonbarrow.OutcomeUnknown
	}
	return answer
}

// attempt sends the call once and returns the answer of this attempt.
func (l *retryLoop) attempt(ctx context.Context) *lagoonbarrow.Answer {
	remaining := time.Until(l.account.Deadline())
	if remaining <= 0 || ctx.Err() != nil {
		return lagoonbarrow.NewRefusal(l.call.ID, lagoonbarrow.ReasonDeadline)
	}
	sent := *l.call
	sent.ID = lagoonbarrow.NewCallID()
	sent.Remaining = remaining
	sent.Tokens = l.shareTokens()
	sent.ExpectedVersion = l.expected
	sent.Stamp = l.caller.config.Clock.Now()
	if sent.Attempt != "" {
		// An instance that refused an attempt may still void it later, so each send
		// has its own attempt id.
		sent.Attempt = lagoonbarrow.NewAttemptID()
	}
	answer, err := l.caller.send(ctx, l.next, &sent)
	l.avoid = append(l.avoid, l.next.ID)
	answer = l.resolveAnswer(ctx, &sent, answer, err)
	if sent.Attempt != "" && err == nil && answer.Reason == lagoonbarrow.ReasonClaimed {
		return l.caller.awaitClaim(ctx, &sent, lagoonbarrow.Claim{
			State: lagoonbarrow.ClaimHeld,
		})
	}
	return answer
}

// shareTokens takes the tokens to send with an attempt. A request that may be re-sent
// under a key sends all of them, because only the instance that owns the key counts the
// retries of all re-sends. Each re-send would add the tokens kept at this node again.
func (l *retryLoop) shareTokens() lagoonbarrow.Tokens {
	tokens := l.account.Share()
	if l.call.Key == "" || l.call.Attempt != "" {
		return tokens
	}
	for more := l.account.Share(); more > 0; more = l.account.Share() {
		tokens += more
	}
	return tokens
}

// resolveAnswer returns the answer of an attempt, also if it failed or its answer was
// lost, and returns unused tokens to the account.
func (l *retryLoop) resolveAnswer(ctx context.Context, sent *lagoonbarrow.Call, answer *lagoonbarrow.Answer, err error) *lagoonbarrow.Answer {
	if err == nil {
		// A callee can't return more tokens than it was sent, also while other calls
		// hold shares.
		l.account.Return(min(answer.TokensLeft, sent.Tokens))
		return answer
	}
	if errors.Is(err, lagoonbarrow.ErrNotSent) {
		l.account.Return(sent.Tokens)
		return lagoonbarrow.NewRefusal(sent.ID, notSentReason(ctx, err))
	}
	if sent.Attempt != "" {
		return l.voidAttempt(ctx, sent)
	}
	answer = lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonUnreachable)
	if ctx.Err() != nil {
		answer.Reason = lagoonbarrow.ReasonDeadline
	}
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	return answer
}

// notSentReason returns why a call was not sent: a full queue of this node, the end of
// ctx, or an unreachable instance.
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

// prepareRetry reports whether to make another attempt. If so, it picks the instance
// and spends a token unless the retry is free.
func (l *retryLoop) prepareRetry(ctx context.Context, answer *lagoonbarrow.Answer) bool {
	if answer.Outcome == lagoonbarrow.OutcomeUnknown {
		l.mayHaveRun = true
	}
	if answer.Outcome == lagoonbarrow.OutcomeDone || ctx.Err() != nil {
		return false
	}
	if answer.Outcome == lagoonbarrow.OutcomeUnknown && (!l.call.Safe() || l.call.Attempt != "") {
		return false
	}
	if !retryable(answer.Reason) {
		return false
	}
	if answer.Reason == lagoonbarrow.ReasonVoided {
		l.expected = answer.RowVersion
		l.avoid = nil
	}
	// Without another instance the answer is final and no token is spent.
	if !l.pickInstance() {
		return false
	}
	if answer.Outcome == lagoonbarrow.OutcomeNotRun && redirectable(answer.Reason) && l.redirects < maxFreeRedirects {
		l.redirects++
		return true
	}
	if !l.account.Spend() {
		answer.Reason = lagoonbarrow.ReasonExhausted
		l.caller.record(event.RetryExhausted, l.call, "", "")
		return false
	}
	l.caller.retried.Inc(1)
	l.caller.record(event.CallRetried, l.call, "", string(answer.Reason))
	return true
}

// redirectable reports whether the callee did no work and another instance may run
// the call.
func redirectable(reason lagoonbarrow.Reason) bool {
	switch reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady, lagoonbarrow.ReasonUnreachable:
		return true
	default:
		return false
	}
}

// retryable reports whether another instance may succeed. Refusals for overload are
// not retried, because all instances shed by the same priorities.
func retryable(reason lagoonbarrow.Reason) bool {
	switch reason {
	case lagoonbarrow.ReasonLeaving, lagoonbarrow.ReasonNotReady, lagoonbarrow.ReasonUnreachable,
		lagoonbarrow.ReasonBackend, lagoonbarrow.ReasonVoided:
		return true
	default:
		return false
	}
}

// send makes one attempt at an instance and reports its result to the router.
func (c *Caller) send(ctx context.Context, instance lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	c.sent.Inc(1)
	c.record(event.CallSent, call, instance.ID, "")
	ended := c.config.Router.StartCall(instance.ID)
	started := time.Now()
	answer, err := c.transmit(ctx, instance, call)
	observation := lagoonbarrow.Observation{
		Failed: instanceFailed(ctx, answer, err),
	}
	if err == nil && answer.Outcome == lagoonbarrow.OutcomeDone {
		// A refusal is fast, so its latency would favour an overloaded instance.
		observation.Latency = time.Since(started)
	}
	if err == nil {
		observation.Load = answer.Load
		observation.HasLoad = true
		c.config.Clock.Observe(answer.Stamp)
	}
	ended(observation)
	if observation.Failed && err != nil {
		c.config.OnUnreachable(instance.ID)
	}
	return answer, err
}

func (c *Caller) transmit(ctx context.Context, instance lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if instance.ID == c.config.Self {
		return c.config.Local.HandleCall(ctx, call), nil
	}
	if !call.Safe() {
		// An unsafe call is not repeated, and its answer may still arrive.
		return c.config.Transport.Call(ctx, instance, call)
	}
	ctx, end := c.silence.watch(ctx, instance.ID)
	answer, err := c.config.Transport.Call(ctx, instance, call)
	end(err == nil)
	return answer, err
}

// instanceFailed reports whether an attempt counts as a failure of the instance. A
// cancelled attempt, a refusal for overload and a call or answer over the size limit
// do not.
func instanceFailed(ctx context.Context, answer *lagoonbarrow.Answer, err error) bool {
	if err != nil {
		return ctx.Err() == nil && !errors.Is(err, lagoonbarrow.ErrShed) && !errors.Is(err, lagoonbarrow.ErrTooLarge)
	}
	if answer.Outcome == lagoonbarrow.OutcomeDone {
		return false
	}
	return redirectable(answer.Reason) || answer.Reason == lagoonbarrow.ReasonBackend
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
