// Package forward sends the requests of clients and of the backend server beside
// this node to instances of the service that runs them.
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
	// maxInstances bounds the instances that are asked for one request. Those that
	// refuse it answer within a round trip.
	maxInstances = 4
	// leastTime is the least time left for which a request is sent.
	leastTime = 5 * time.Millisecond
)

// Directory knows the ready instances of services.
type Directory interface {
	Instances(service lagoonbarrow.ServiceName) []lagoonbarrow.Instance
}

// Transport carries calls to other nodes, with the errors of
// lagoonbarrow.Transport.
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
	Local    lagoonbarrow.CallHandler
	Version  func() lagoonbarrow.ConfigurationVersion
	Heard    func(version lagoonbarrow.ConfigurationVersion)
	Recorder lagoonbarrow.Recorder
}

// Forwarder sends requests.
type Forwarder struct {
	config Config
	// calls numbers the calls. A number is enough to tell the answers on a connection
	// apart, and shorter than the request's id.
	calls atomic.Uint64
	// exhausted remembers which services allow no repeats.
	exhausted *exhaustion
}

// New returns a forwarder.
func New(config Config) *Forwarder {
	return &Forwarder{
		config:    config,
		exhausted: newExhaustion(),
	}
}

// Request is a request that was received whole.
type Request struct {
	ID       lagoonbarrow.RequestID
	Route    *routing.Route
	Service  lagoonbarrow.ServiceName
	Priority lagoonbarrow.Priority
	// Nested is set for a request that the backend server makes for one it is running.
	Nested bool
	// Repeat is set for a nested request whose parent is a repeated call.
	Repeat bool
	Host   string
	Method string
	// Path holds the query too.
	Path   string
	Header []lagoonbarrow.HeaderField
	Body   []byte
	// Received is when the request was received.
	Received time.Time
	// Deadline is when the client stops waiting, or the route's timeout if that is
	// earlier.
	Deadline time.Time
}

// progress is what has become of a request so far.
type progress struct {
	tried []lagoonbarrow.InstanceID
	// offered counts the backend servers that the request was sent to.
	offered int
	// retryAfter is the shortest time until an instance expects to have room.
	retryAfter time.Duration
	// last is the last answer, and lastErr why there was none of the instance.
	last    *lagoonbarrow.Answer
	lastErr error
	// best is the answer that tells most: a server's own one before one that leaves
	// open whether the request was run, and that before a refusal.
	best *lagoonbarrow.Answer
}

// Do sends the request and returns the final answer. An answer with the outcome
// not-run means that no backend server runs the request nor will.
func (f *Forwarder) Do(ctx context.Context, request *Request) *lagoonbarrow.Answer {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	state := &progress{}
	for len(state.tried) < maxInstances {
		if time.Until(request.Deadline) < leastTime || ctx.Err() != nil {
			break
		}
		choice, err := f.config.Chooser.Pick(f.config.Directory.Instances(request.Service), state.tried)
		if err != nil {
			break
		}
		state.tried = append(state.tried, choice.Instance.ID)
		answer := f.send(ctx, request, choice, state)
		state.note(answer)
		if answer.Outcome == lagoonbarrow.OutcomeDone && !retryable(answer) {
			return answer
		}
		f.record(request, choice, state)
		if !f.mayRepeat(request, state) {
			return f.final(ctx, request, state)
		}
	}
	return f.final(ctx, request, state)
}

func (p *progress) note(answer *lagoonbarrow.Answer) {
	p.last = answer
	if p.best == nil || certainty(answer) >= certainty(p.best) {
		p.best = answer
	}
	if answer.Offered {
		p.offered++
	}
	if answer.RetryAfter > 0 && (p.retryAfter == 0 || answer.RetryAfter < p.retryAfter) {
		p.retryAfter = answer.RetryAfter
	}
}

// certainty orders answers by what they tell.
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

// retryable reports whether a whole answer tells of a failure that another server
// may not have. One whose calls below have failed has it too.
func retryable(answer *lagoonbarrow.Answer) bool {
	return answer.Failed() && answer.Reason != lagoonbarrow.ReasonExhausted
}

// callIDBase is the base of the numbers in call ids.
const callIDBase = 36

// mayRepeat reports whether the request may be sent to another instance. One that
// was not sent to a server always may. Others count against the budget of the
// service, and are repeated only for requests whose sender doesn't repeat them: a
// client's repeat costs nothing of it.
func (f *Forwarder) mayRepeat(request *Request, state *progress) bool {
	importance := request.Priority.Importance()
	if state.last.Reason == lagoonbarrow.ReasonExhausted {
		f.exhausted.note(request.Service, importance, time.Now())
		return false
	}
	if !state.last.Offered && state.last.Outcome == lagoonbarrow.OutcomeNotRun {
		return true
	}
	mayRunAgain := request.Route.Idempotent || state.last.Outcome == lagoonbarrow.OutcomeNotRun
	if !mayRunAgain || !request.Nested || state.offered >= request.Route.MaxServers {
		return false
	}
	return !f.exhausted.holds(request.Service, importance, time.Now())
}

// send sends the request to one instance.
func (f *Forwarder) send(ctx context.Context, request *Request, choice placement.Choice, state *progress) *lagoonbarrow.Answer {
	call := f.call(request, choice, state)
	flight := f.config.Chooser.Started(choice.Instance.ID, request.Route.Name)
	started := time.Now()
	answer, err := f.exchange(ctx, choice.Instance, call)
	state.lastErr = err
	if err != nil {
		flight.Ended(lost(ctx, time.Since(started)))
		return f.transportAnswer(ctx, choice.Instance, call, err)
	}
	f.config.Heard(answer.Configuration)
	observed := lagoonbarrow.Observation{
		Load:    answer.Load,
		HasLoad: true,
	}
	// An answer that failed for want of an answer below tells nothing of the instance.
	if answer.Offered && answer.Reason != lagoonbarrow.ReasonExhausted {
		observed.Latency = time.Since(started)
		observed.Failed = failedAtServer(answer)
	}
	flight.Ended(observed)
	return answer
}

// lost is what an exchange without an answer shows. A client that leaves says
// nothing of the instance, but one whose time has passed does.
func lost(ctx context.Context, took time.Duration) lagoonbarrow.Observation {
	observed := lagoonbarrow.Observation{
		Failed: !errors.Is(ctx.Err(), context.Canceled),
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		observed.Latency = took
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

func (f *Forwarder) call(request *Request, choice placement.Choice, state *progress) *lagoonbarrow.Call {
	last := len(state.tried) == maxInstances
	return &lagoonbarrow.Call{
		ID:            lagoonbarrow.CallID(strconv.FormatUint(f.calls.Add(1), callIDBase)),
		Request:       request.ID,
		Priority:      request.Priority,
		Nested:        request.Nested,
		AtMostOnce:    !request.Route.Idempotent,
		Repeat:        request.Repeat || state.offered > 0,
		Remaining:     time.Until(request.Deadline),
		MaxWait:       maxWait(request, last || choice.Last || choice.Full),
		Configuration: f.config.Version(),
		Service:       request.Service,
		Host:          request.Host,
		Method:        request.Method,
		Path:          request.Path,
		Header:        request.Header,
		Body:          request.Body,
	}
}

// transportAnswer tells what a failed exchange between nodes means.
func (f *Forwarder) transportAnswer(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	answer := lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonUnreachable)
	if !errors.Is(err, lagoonbarrow.ErrNotSent) {
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Offered = true
	}
	// A full node says so itself; these errors are of the connection.
	if ctx.Err() == nil && !errors.Is(err, lagoonbarrow.ErrShed) {
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

// final returns the answer that the sender gets.
func (f *Forwarder) final(ctx context.Context, request *Request, state *progress) *lagoonbarrow.Answer {
	answer := state.best
	if answer == nil {
		answer = lagoonbarrow.Refuse(lagoonbarrow.CallID(request.ID), lagoonbarrow.ReasonUnreachable)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		answer.Reason = lagoonbarrow.ReasonCancelled
	}
	if answer.Outcome == lagoonbarrow.OutcomeNotRun {
		answer.RetryAfter = returnTime(state.retryAfter, rand.Float64())
	}
	return answer
}

func (f *Forwarder) record(request *Request, choice placement.Choice, state *progress) {
	answer := state.last
	detail := fmt.Sprintf("route=%s version=%d service=%s outcome=%s reason=%s status=%d offered=%t nested=%t priority=%d waited=%s",
		request.Route.Name, request.Route.Version, request.Service, answer.Outcome, answer.Reason, answer.Status, answer.Offered,
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
