// Package execute serves calls at the node beside a backend server. This node alone
// can reach the server, so it decides whether a call may run there: the server must
// be known, ready and have a free slot.
package execute

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/pkg/event"
)

// Relay sends calls to the backend server beside this node.
type Relay interface {
	Relay(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer
}

// Config configures a Handler.
type Config struct {
	// Current returns the backend server, and whether it may receive new work.
	Current func() (registration.Server, bool)
	// Replaced is told that another server answers at the server's address.
	Replaced func(id lagoonbarrow.ServerID)
	// Unreachable is told that no connection to the server could be opened, or that
	// it gives no answers.
	Unreachable func(id lagoonbarrow.ServerID)
	// Version returns the version of the configuration in force.
	Version func() lagoonbarrow.ConfigurationVersion
	// Heard is told the versions that other nodes know.
	Heard func(version lagoonbarrow.ConfigurationVersion)
	Gate  *slots.Gate
	// Budget bounds the repeated calls that the server gets.
	Budget   *retry.Budget
	Relay    Relay
	Recorder lagoonbarrow.Recorder
}

// Handler implements lagoonbarrow.CallHandler.
type Handler struct {
	config  Config
	running *running
	breaker breaker
	closed  atomic.Bool
}

var _ lagoonbarrow.CallHandler = (*Handler)(nil)

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	return &Handler{
		config:  config,
		running: newRunning(),
	}
}

// HandleCall runs a call or refuses it. It refuses only calls that were not run.
func (h *Handler) HandleCall(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	h.config.Heard(call.Configuration)
	answer := h.handle(ctx, call)
	answer.Load = h.config.Gate.Load()
	if call.Nested {
		// A client's request that finds no slot here may find one at another instance;
		// its sender has no use for this instance's threshold.
		answer.Threshold = max(answer.Threshold, h.config.Gate.Threshold())
	}
	answer.Configuration = h.config.Version()
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		h.config.Recorder.Record(event.CallNotServed, event.Fields{
			Request: string(call.Request),
			Detail:  describe(call, answer),
		})
	}
	return answer
}

func (h *Handler) handle(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	deadline := time.Now().Add(call.Remaining)
	if refusal := h.check(call); refusal != nil {
		return refusal
	}
	release, err := h.config.Gate.Acquire(ctx, slots.Demand{
		Priority: call.Priority,
		Nested:   call.Nested,
		MaxWait:  min(call.MaxWait, call.Remaining),
	})
	if err != nil {
		return refuse(call, err)
	}
	defer release()
	// The server may have begun to leave while the call waited.
	if refusal := h.check(call); refusal != nil {
		return refusal
	}
	if !h.breaker.allows(call.Server, time.Now()) {
		return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonNotReady)
	}
	if !h.affordable(call) {
		return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonExhausted)
	}
	run := h.running.add(call, deadline)
	defer h.running.remove(call.Request)
	answer := h.config.Relay.Relay(ctx, call, deadline)
	h.observe(call, answer)
	answer.Threshold = run.Threshold()
	if answer.Outcome == lagoonbarrow.OutcomeDone && answer.Failed() && run.HasFailedCalls() {
		// Running it again would fail at the same place, and cost the services below
		// all of its calls once more.
		answer.Reason = lagoonbarrow.ReasonExhausted
	}
	return answer
}

// affordable reports whether the budget of repeats allows the call.
func (h *Handler) affordable(call *lagoonbarrow.Call) bool {
	if call.Repeat {
		return h.config.Budget.Take(call.Priority.Importance())
	}
	if !call.Nested {
		h.config.Budget.Arrived()
	}
	return true
}

// observe notes what an answer tells of the server.
func (h *Handler) observe(call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) {
	switch {
	case answer.Outcome != lagoonbarrow.OutcomeNotRun:
	case answer.Status == statusMisdirected:
		h.config.Replaced(call.Server)
	case !answer.Offered && answer.Reason == lagoonbarrow.ReasonUnreachable:
		h.config.Unreachable(call.Server)
	}
	opened, closed := h.breaker.note(call.Server, answer, time.Now())
	if opened {
		// A server that is down says when it is back by its next heartbeat.
		h.config.Unreachable(call.Server)
		h.recordServer(event.BackendDown, call, answer)
	}
	if closed {
		h.recordServer(event.BackendUp, call, answer)
	}
}

func (h *Handler) recordServer(kind event.Kind, call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) {
	h.config.Recorder.Record(kind, event.Fields{
		Request: string(call.Request),
		Detail:  "server=" + string(call.Server) + " outcome=" + string(answer.Outcome) + " reason=" + string(answer.Reason),
	})
}

// statusMisdirected is the status of a server that is not the expected one.
const statusMisdirected = 421

// check returns a refusal unless the server may run the call now, and names the
// server that may.
func (h *Handler) check(call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	server, ready := h.config.Current()
	if !ready || h.closed.Load() {
		return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonLeaving)
	}
	if server.Service != call.Service {
		return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonNotReady)
	}
	call.Server = server.ID
	return nil
}

func refuse(call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	refusal := lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonShed)
	var cause *slots.Refusal
	if errors.As(err, &cause) {
		refusal.RetryAfter = cause.RetryAfter
	}
	return refusal
}

// Close refuses calls from now on. Running ones go on.
func (h *Handler) Close() {
	h.closed.Store(true)
}

// InFlight returns the number of calls that the server is running.
func (h *Handler) InFlight() int {
	return h.running.count()
}

// Parent returns the call of the server that a request with this id belongs to.
// Servers usually derive the ids of their own requests from the id of the request
// that they are running. The relation is a hint: it may be missing.
func (h *Handler) Parent(request lagoonbarrow.RequestID) (*Run, bool) {
	return h.running.parent(request)
}
