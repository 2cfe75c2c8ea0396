// Package forward sends the requests of clients, and those of the backend server
// beside this node, to instances of the requested service.
package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/placement"
	"lagoonbarrow/internal/version/routing"
	"lagoonbarrow/pkg/event"
)

const (
	// maxInstances bounds the instances that are tried for one request. Instances that
	// refuse it answer within a round trip.
	maxInstances = 4
	// minRemaining is the minimum remaining time for which a request is sent.
	minRemaining = 5 * time.Millisecond
)

// Directory returns the ready instances of services.
type Directory interface {
	Instances(service lagoonbarrow.ServiceName) []lagoonbarrow.Instance
}

// Transport sends calls to other nodes. Its errors are those of lagoonbarrow.Transport.
type Transport interface {
	Call(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error)
}

// Config configures a Forwarder.
type Config struct {
	Self      lagoonbarrow.InstanceID
	Directory Directory
	Chooser   *placement.Chooser
	Transport Transport
	// Local serves calls for the backend server beside this node.
	Local   lagoonbarrow.CallHandler
	Version func() lagoonbarrow.ConfigurationVersion
	// ObserveVersion is called with the configuration version in an answer.
	ObserveVersion func(version lagoonbarrow.ConfigurationVersion)
	Recorder       lagoonbarrow.Recorder
}

// Forwarder sends requests.
type Forwarder struct {
	config Config
	// lastCall is the number of the last call. A number is enough to distinguish the
	// answers on a connection, and is shorter than the request's id.
	lastCall atomic.Uint64
	// exhausted holds the services that currently allow no repeats.
	exhausted *exhaustion
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{
		config:    config,
		exhausted: newExhaustion(),
	}
}

// Request is a completely received request.
type Request struct {
	ID      lagoonbarrow.RequestID
	Route   *routing.Route
	Service lagoonbarrow.ServiceName
	// Customer is the customer that the request belongs to; empty without customers.
	Customer lagoonbarrow.CustomerID
	Priority lagoonbarrow.Priority
	// Nested is set for a request that the backend server makes while it runs another.
	Nested bool
	// Repeat is set for a nested request whose parent is a repeated call.
	Repeat bool
	Host   string
	Method string
	// Path includes the query.
	Path   string
	Header []lagoonbarrow.HeaderField
	Body   []byte
	// Received is when the request was received.
	Received time.Time
	// Deadline is when the client stops waiting or the route's timeout ends, whichever
	// is earlier.
	Deadline time.Time
}

// progress holds the results of the calls made for a request so far.
type progress struct {
	tried []lagoonbarrow.InstanceID
	// sends counts the backend servers that the request was sent to.
	sends int
	// retryAfter is the shortest time until an instance expects a free slot.
	retryAfter time.Duration
	// last is the last answer. lastErr is the transport error if the instance gave none.
	last    *lagoonbarrow.Answer
	lastErr error
	// best is the most informative answer: that of a backend server ranks before an
	// unknown outcome, and that before a refusal.
	best *lagoonbarrow.Answer
}

// Do sends the request and returns the final answer. The outcome not-run means that
// no backend server has run the request or will run it.
func (f *Forwarder) Do(ctx context.Context, request *Request) *lagoonbarrow.Answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	state := &progress{}
	for len(state.tried) < maxInstances {
		if time.Until(request.Deadline) < minRemaining || ctx.Err() != nil {
			break
		}
		choice, err := f.config.Chooser.Pick(f.config.Directory.Instances(request.Service), placement.Demand{
			Tried:      state.tried,
			Importance: request.Priority.Importance(),
		})
		if err != nil {
			break
		}
		state.tried = append(state.tried, choice.Instance.ID)
		answer := f.send(ctx, request, choice, state)
		state.add(answer)
		if answer.Outcome == lagoonbarrow.OutcomeDone && !retryable(answer) {
			return answer
		}
		f.recordFailure(request, choice, state)
		if !f.mayRepeat(request, state) {
			return f.finalAnswer(ctx, request, state)
		}
	}
	return f.finalAnswer(ctx, request, state)
}

func (p *progress) add(answer *lagoonbarrow.Answer) {
	p.last = answer
	if p.best == nil || certainty(answer) >= certainty(p.best) {
		p.best = answer
	}
	if answer.SentToServer {
		p.sends++
	}
	if answer.RetryAfter > 0 && (p.retryAfter == 0 || answer.RetryAfter < p.retryAfter) {
		p.retryAfter = answer.RetryAfter
	}
}

// certainty ranks answers by how much they show about the outcome.
func certainty(answer *lagoonbarrow.Answer) int {
	switch answer.Outcome {
	case lagoonbarrow.OutcomeDone:
		return 2
	case lagoonbarrow.OutcomeUnknown:
		return 1
	default:
		return 0
	}
}

// retryable reports whether a complete answer is a failure that another server may not
// have. ReasonExhausted marks a run that failed because a downstream call failed, which
// would fail at another server too.
func retryable(answer *lagoonbarrow.Answer) bool {
	return answer.Failed() && answer.Reason != lagoonbarrow.ReasonExhausted
}

// callIDBase is the numeral base of call ids.
const callIDBase = 36

// mayRepeat reports whether the request may be sent to another instance. A request that
// was not sent to a backend server always may. Other repeats count against the retry
// budget of the service and are made for nested requests only. Clients repeat their
// own requests, which doesn't count against the budget.
func (f *Forwarder) mayRepeat(request *Request, state *progress) bool {
	importance := request.Priority.Importance()
	if state.last.Reason == lagoonbarrow.ReasonExhausted {
		f.exhausted.add(request.Service, importance, time.Now())
		return false
	}
	if state.last.Reason == lagoonbarrow.ReasonDownstream {
		// The calls of another instance fail too.
		return false
	}
	if !state.last.SentToServer && state.last.Outcome == lagoonbarrow.OutcomeNotRun {
		return true
	}
	mayRunAgain := request.Route.Idempotent || state.last.Outcome == lagoonbarrow.OutcomeNotRun
	if !mayRunAgain || !request.Nested || state.sends >= request.Route.MaxServers {
		return false
	}
	return !f.exhausted.refuses(request.Service, importance, time.Now())
}

// send sends the request to one instance.
func (f *Forwarder) send(ctx context.Context, request *Request, choice placement.Choice, state *progress) *lagoonbarrow.Answer {
	call := f.newCall(request, choice, state)
	flight := f.config.Chooser.StartRequest(choice.Instance.ID, request.Route.Name)
	started := time.Now()
	answer, err := f.exchange(ctx, choice.Instance, call)
	state.lastErr = err
	if err != nil {
		flight.End(observeLost(ctx, time.Since(started)))
		return f.transportAnswer(ctx, choice.Instance, call, err)
	}
	f.config.ObserveVersion(answer.Configuration)
	observed := lagoonbarrow.Observation{
		Load:         answer.Load,
		HasLoad:      true,
		Answered:     answer.Outcome == lagoonbarrow.OutcomeDone,
		Announcement: answer.Announcement,
	}
	// A failure due to a failed downstream call says nothing about the instance.
	if answer.SentToServer && answer.Reason != lagoonbarrow.ReasonExhausted {
		observed.Latency = time.Since(started)
		observed.Failed = failedAtServer(answer)
	}
	flight.End(observed)
	return answer
}

// observeLost returns the observation for an exchange without an answer. A client that
// disconnects says nothing about the instance, but an expired deadline does.
func observeLost(ctx context.Context, elapsed time.Duration) lagoonbarrow.Observation {
	observed := lagoonbarrow.Observation{
		Failed: !errors.Is(ctx.Err(), context.Canceled),
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		observed.Latency = elapsed
	}
	return observed
}

// failedAtServer reports whether the backend server gave no useful answer.
func failedAtServer(answer *lagoonbarrow.Answer) bool {
	if answer.Outcome == lagoonbarrow.OutcomeDone {
		return retryable(answer)
	}
	return answer.Reason != lagoonbarrow.ReasonCancelled
}

func (f *Forwarder) exchange(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if to.ID == f.config.Self {
		return f.config.Local.HandleCall(ctx, call), nil
	}
	return f.config.Transport.Call(ctx, to, call)
}

func (f *Forwarder) newCall(request *Request, choice placement.Choice, state *progress) *lagoonbarrow.Call {
	last := len(state.tried) == maxInstances
	call := &lagoonbarrow.Call{
		ID:            lagoonbarrow.CallID(strconv.FormatUint(f.lastCall.Add(1), callIDBase)),
		Request:       request.ID,
		Customer:      request.Customer,
		Priority:      request.Priority,
		Nested:        request.Nested,
		AtMostOnce:    !request.Route.Idempotent,
		Repeat:        request.Repeat || state.sends > 0,
		Remaining:     time.Until(request.Deadline),
		MaxWait:       maxWait(request, last || choice.Last || choice.Full),
		Configuration: f.config.Version(),
		Service:       request.Service,
		Host:          request.Host,
		Method:        request.Method,
		Path:          request.Path,
		Header:        request.Header,
		Body:          request.Body,
		Announcement:  choice.Announcement,
	}
	if call.AtMostOnce && !call.Nested {
		// Other calls save the bytes.
		call.Class = lagoonbarrow.ClassName(request.Route.Name)
	}
	return call
}

// transportAnswer returns the answer for a failed exchange between nodes.
func (f *Forwarder) transportAnswer(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonUnreachable)
	if !errors.Is(err, lagoonbarrow.ErrNotSent) {
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.SentToServer = true
	}
	// ErrShed means that this node reached a limit of its own, and ErrTooLarge that a
	// body exceeds one. Other errors count as connection errors.
	limited := errors.Is(err, lagoonbarrow.ErrShed) || errors.Is(err, lagoonbarrow.ErrTooLarge)
	if ctx.Err() == nil && !limited {
		f.config.Chooser.Unreachable(to.ID)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		answer.Reason = lagoonbarrow.ReasonDeadline
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		answer.Reason = lagoonbarrow.ReasonCancelled
	}
	return answer
}

// finalAnswer returns the answer for the sender of the request.
func (f *Forwarder) finalAnswer(ctx context.Context, request *Request, state *progress) *lagoonbarrow.Answer {
	answer := state.best
	if answer == nil {
		answer = lagoonbarrow.NewRefusal(lagoonbarrow.CallID(request.ID), lagoonbarrow.ReasonUnreachable)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		answer.Reason = lagoonbarrow.ReasonCancelled
	}
	if answer.Outcome == lagoonbarrow.OutcomeNotRun {
		answer.RetryAfter = spreadRetryAfter(state.retryAfter, rand.Float64())
	}
	if answer.Reason == lagoonbarrow.ReasonDownstream {
		answer.RetryAfter = failingRetryAfter(request.Route.TargetLatency)
	}
	return answer
}

func (f *Forwarder) recordFailure(request *Request, choice placement.Choice, state *progress) {
	answer := state.last
	detail := fmt.Sprintf("route=%s version=%d service=%s outcome=%s reason=%s status=%d offered=%t nested=%t priority=%d waited=%s",
		request.Route.Name, request.Route.Version, request.Service, answer.Outcome, answer.Reason, answer.Status, answer.SentToServer,
		request.Nested, request.Priority, time.Since(request.Received).Round(time.Millisecond))
	if state.lastErr != nil {
		detail += " cause=" + state.lastErr.Error()
	}
	f.config.Recorder.Record(event.CallFailed, event.Fields{
		Request: string(request.ID),
		Peer:    string(choice.Instance.ID),
		Detail:  detail,
	})
}
