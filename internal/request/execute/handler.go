// Package execute serves calls at the node beside a backend server. Only this node
// can reach the server, so it decides whether a call may run there. The server must
// be registered and ready, and have a free slot.
package execute

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/announcement"
	"lagoonbarrow/internal/process/circuit"
	"lagoonbarrow/internal/process/fairness"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/shutdown"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/pkg/event"
)

// Relay sends calls to the backend server beside this node.
type Relay interface {
	Relay(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer
}

// Config configures a Handler.
type Config struct {
	// CurrentServer returns the backend server and whether it accepts new calls.
	CurrentServer func() (registration.Server, bool)
	// OnReplaced is called when another server answers at the server's address.
	OnReplaced func(id lagoonbarrow.ServerID)
	// OnUnreachable is called when no connection to the server can be opened, or when
	// it stops answering.
	OnUnreachable func(id lagoonbarrow.ServerID)
	// Version returns the version of the active configuration.
	Version func() lagoonbarrow.ConfigurationVersion
	// ObserveVersion is called with the configuration version that the sender of a
	// call has.
	ObserveVersion func(version lagoonbarrow.ConfigurationVersion)
	Gate           *slots.Gate
	// Board holds the thresholds of services that this node knows; a new one by default.
	Board *fairness.Board
	// Budget bounds the repeated calls that are sent to the server.
	Budget *retry.Budget
	// OnLeaving is called when a server announces in an answer that it leaves.
	OnLeaving func(id lagoonbarrow.ServerID, started time.Time)
	// Circuit refuses writes that would run in vain; a new one by default.
	Circuit  *circuit.Breaker
	Relay    Relay
	Recorder lagoonbarrow.Recorder
}

// Handler implements lagoonbarrow.CallHandler.
type Handler struct {
	config  Config
	running *activeCalls
	breaker breaker
	// announcements holds what the server says about itself in its answers.
	announcements *announcement.Tracker
	// stopDeadline bounds the deadlines of calls while the node stops.
	stopDeadline shutdown.Deadline
	closed       atomic.Bool
}

var _ lagoonbarrow.CallHandler = (*Handler)(nil)

// NewHandler returns a handler.
func NewHandler(config Config) *Handler {
	if config.Circuit == nil {
		config.Circuit = circuit.New(circuit.Config{})
	}
	if config.Board == nil {
		config.Board = fairness.NewBoard()
	}
	if config.OnLeaving == nil {
		config.OnLeaving = func(lagoonbarrow.ServerID, time.Time) {}
	}
	return &Handler{
		config:        config,
		running:       newActiveCalls(),
		announcements: newAnnouncements(config),
	}
}

func newAnnouncements(config Config) *announcement.Tracker {
	return announcement.New(announcement.Config{
		OnLimit:   config.Gate.SetRateLimit,
		OnLeaving: config.OnLeaving,
		Recorder:  config.Recorder,
	})
}

// HandleCall runs a call or refuses it. A refused call has not been run.
func (h *Handler) HandleCall(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	h.config.ObserveVersion(call.Configuration)
	answer, run := h.handle(ctx, call)
	answer.Load = h.config.Gate.Load()
	answer.Announcement = h.announcementFor(answer)
	if call.Nested {
		// The sender of a client's request gets no threshold of this instance, since
		// another instance may have a free slot.
		answer.Threshold = max(answer.Threshold, h.config.Gate.Threshold())
	}
	if call.Customer != "" {
		answer.Services = h.serviceThresholds(call, run)
	}
	answer.Configuration = h.config.Version()
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		h.config.Recorder.Record(event.CallNotServed, event.Fields{
			Request: string(call.Request),
			Detail:  notServedDetail(call, answer, h.announcements.Current()),
		})
	}
	return answer
}

// serviceThresholds returns the thresholds for the answer to a call, whose run is nil if it
// was refused.
func (h *Handler) serviceThresholds(call *lagoonbarrow.Call, run *Run) []lagoonbarrow.ServiceThreshold {
	own := lagoonbarrow.ServiceThreshold{
		Service:   call.Service,
		Threshold: h.config.Gate.Threshold(),
		Called:    true,
	}
	var called []lagoonbarrow.ServiceName
	if run != nil {
		called = run.called.list()
	}
	return h.config.Board.Report(own, called, time.Now())
}

// handle returns the answer to a call, and its run unless it was refused.
func (h *Handler) handle(ctx context.Context, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, *Run) {
	deadline := h.stopDeadline.Bound(time.Now().Add(call.Remaining))
	h.adoptAnnouncement(call)
	if _, refusal := h.checkServer(call); refusal != nil {
		return refusal, nil
	}
	release, err := h.config.Gate.Acquire(ctx, slots.Demand{
		Priority: call.Priority,
		Customer: call.Customer,
		Nested:   call.Nested,
		Deadline: deadline,
		MaxWait:  min(call.MaxWait, time.Until(deadline)),
	})
	if err != nil {
		return shedRefusal(call, err), nil
	}
	defer release()
	server, refusal := h.checkRun(call)
	if refusal != nil {
		h.config.Gate.Unused()
		return refusal, nil
	}
	run := h.running.add(call, deadline)
	defer h.running.remove(call.Request)
	answer := h.config.Relay.Relay(ctx, call, deadline)
	h.observeAnnouncement(server, answer)
	h.updateServerState(call, answer)
	answer.Threshold = run.Threshold()
	h.updateCircuit(call, run, answer)
	if answer.Outcome == lagoonbarrow.OutcomeDone && answer.Failed() && run.HasFailedCalls() {
		// A retry would fail at the same downstream call, and would repeat all of its
		// calls to the services below.
		answer.Reason = lagoonbarrow.ReasonExhausted
	}
	return answer, run
}

// checkRun returns the server, or a refusal for a call that has a slot and must not run.
func (h *Handler) checkRun(call *lagoonbarrow.Call) (registration.Server, *lagoonbarrow.Answer) {
	// The server may have started to leave while the call waited.
	server, refusal := h.checkServer(call)
	if refusal != nil {
		return server, refusal
	}
	if !h.breaker.allow(call.Server, time.Now()) {
		return server, lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonNotReady)
	}
	if !h.withinRetryBudget(call) {
		return server, lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonExhausted)
	}
	if !h.circuitAllows(call) {
		return server, lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonDownstream)
	}
	return server, nil
}

// withinRetryBudget reports whether the retry budget allows the call.
func (h *Handler) withinRetryBudget(call *lagoonbarrow.Call) bool {
	if call.Repeat {
		return h.config.Budget.Spend(call.Priority.Importance())
	}
	if !call.Nested {
		h.config.Budget.RecordRequest()
	}
	return true
}

// updateServerState reports what an answer shows about the state of the server.
func (h *Handler) updateServerState(call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) {
	switch {
	case answer.Outcome != lagoonbarrow.OutcomeNotRun:
	case answer.Status == statusMisdirected:
		h.config.OnReplaced(call.Server)
	case !answer.SentToServer && answer.Reason == lagoonbarrow.ReasonUnreachable:
		h.config.OnUnreachable(call.Server)
	}
	opened, closed := h.breaker.record(call.Server, answer, time.Now())
	if opened {
		// The next heartbeat of the server makes it available again.
		h.config.OnUnreachable(call.Server)
		h.recordServer(event.BackendDown, call, answer)
	}
	if closed {
		h.recordServer(event.BackendUp, call, answer)
	}
}

// needsCircuit reports whether a call is refused while its downstream calls fail. Only
// the writes of clients are. Clients repeat their reads after a failure too, and a
// nested call is part of a request that already runs.
func needsCircuit(call *lagoonbarrow.Call) bool {
	return call.AtMostOnce && !call.Nested
}

// circuitAllows reports whether the call may run although its downstream calls may fail.
func (h *Handler) circuitAllows(call *lagoonbarrow.Call) bool {
	if !needsCircuit(call) {
		return true
	}
	allowed, closed := h.config.Circuit.Allow(call.Class)
	if closed {
		h.recordCircuit(event.CircuitClosed, call, "the failures last")
	}
	return allowed
}

// updateCircuit records whether a run succeeded or failed at a downstream call.
func (h *Handler) updateCircuit(call *lagoonbarrow.Call, run *Run, answer *lagoonbarrow.Answer) {
	succeeded := answer.Outcome == lagoonbarrow.OutcomeDone && !answer.Failed()
	if !needsCircuit(call) || !succeeded && !run.HasFailedCalls() {
		return
	}
	opened, closed := h.config.Circuit.Record(call.Class, succeeded)
	if opened {
		h.recordCircuit(event.CircuitOpened, call, "a run failed")
	}
	if closed {
		h.recordCircuit(event.CircuitClosed, call, "a run succeeded")
	}
}

func (h *Handler) recordCircuit(kind event.Kind, call *lagoonbarrow.Call, cause string) {
	h.config.Recorder.Record(kind, event.Fields{
		Request: string(call.Request),
		Class:   string(call.Class),
		Detail:  "service=" + string(call.Service) + " cause=" + strconv.Quote(cause),
	})
}

func (h *Handler) recordServer(kind event.Kind, call *lagoonbarrow.Call, answer *lagoonbarrow.Answer) {
	h.config.Recorder.Record(kind, event.Fields{
		Request: string(call.Request),
		Detail:  "server=" + string(call.Server) + " outcome=" + string(answer.Outcome) + " reason=" + string(answer.Reason),
	})
}

// statusMisdirected is the status (421) of a server that is not the expected one.
const statusMisdirected = 421

// checkServer returns the server, or a refusal unless it may run the call now. It sets the
// call's server.
func (h *Handler) checkServer(call *lagoonbarrow.Call) (registration.Server, *lagoonbarrow.Answer) {
	server, ready := h.config.CurrentServer()
	if !ready || h.closed.Load() {
		return server, lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonLeaving)
	}
	if server.Service != call.Service {
		return server, lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonNotReady)
	}
	call.Server = server.ID
	h.announcements.SetServer(server.ID, server.Started)
	return server, nil
}

// adoptAnnouncement processes what the sender of a call knows about the server.
func (h *Handler) adoptAnnouncement(call *lagoonbarrow.Call) {
	if call.Announcement == nil {
		return
	}
	if server, _ := h.config.CurrentServer(); server.ID != "" {
		h.announcements.SetServer(server.ID, server.Started)
	}
	h.announcements.Adopt(*call.Announcement)
}

// announcementFor returns what the sender of a call is told about the server, or nil: its
// limit in force, and whether this answer says that it leaves.
func (h *Handler) announcementFor(answer *lagoonbarrow.Answer) *lagoonbarrow.Announcement {
	current := h.announcements.Current()
	if answer.Announcement != nil && answer.Announcement.Leaving {
		current = *answer.Announcement
	}
	if !current.Limited && !current.Leaving {
		return nil
	}
	current.Usage = h.config.Gate.RateUsage()
	return &current
}

// observeAnnouncement processes what an answer says about the server.
func (h *Handler) observeAnnouncement(server registration.Server, answer *lagoonbarrow.Answer) {
	if answer.Announcement == nil {
		return
	}
	announced := *answer.Announcement
	announced.Server = server.ID
	announced.Started = server.Started
	answer.Announcement = &announced
	h.announcements.Observe(announced)
}

// shedRefusal returns the refusal for a call that got no slot.
func shedRefusal(call *lagoonbarrow.Call, err error) *lagoonbarrow.Answer {
	refusal := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonShed)
	var cause *slots.Refusal
	if errors.As(err, &cause) {
		refusal.RetryAfter = cause.RetryAfter
	}
	return refusal
}

// Drain bounds the deadlines of the calls that arrive from now on.
func (h *Handler) Drain(deadline time.Time) {
	h.stopDeadline.Set(deadline)
}

// Close makes the handler refuse new calls. Running calls continue.
func (h *Handler) Close() {
	h.closed.Store(true)
}

// InFlight returns the number of calls that the server is running.
func (h *Handler) InFlight() int {
	return h.running.count()
}

// Parent returns the running call that a request of the server belongs to. Servers
// usually derive the ids of their own requests from the id of the request that they
// are running, but not always, so a parent may not be found.
func (h *Handler) Parent(request lagoonbarrow.RequestID) (*Run, bool) {
	return h.running.parent(request)
}
