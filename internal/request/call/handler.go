package call

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// retryAfterShed is the Retry-After of a refusal for overload. It is two admission
// windows shorter than the longest recovery that the design aims at.
const retryAfterShed = time.Second

// HandlerConfig configures a Handler.
type HandlerConfig struct {
	Admission lagoonbarrow.Admission
	Ledger    lagoonbarrow.Ledger
	Claims    lagoonbarrow.Claims
	Backend   lagoonbarrow.Backend
	Recorder  lagoonbarrow.Recorder
	Clock     lagoonbarrow.Clock
	Scope     tally.Scope
	// ClaimAnswerWait bounds the write that ends a claim and stores its answer.
	ClaimAnswerWait time.Duration
	// Plain runs at-most-once calls without a claim. It is the baseline for
	// measurements.
	Plain bool
}

// Handler serves calls from this and other nodes at the local backend server. It
// implements lagoonbarrow.CallHandler.
type Handler struct {
	config   HandlerConfig
	tracker  *tracker
	ready    atomic.Bool
	leaving  atomic.Bool
	inFlight atomic.Int64
	received tally.Counter
	run      tally.Counter
}

// NewHandler returns a handler that refuses calls until SetReady.
func NewHandler(config HandlerConfig) *Handler {
	return &Handler{
		config:   config,
		tracker:  newTracker(),
		received: config.Scope.Counter("calls-received"),
		run:      config.Scope.Counter("calls-run"),
	}
}

// SetReady sets whether the node has contracts and its backend server answers.
func (h *Handler) SetReady(ready bool) {
	h.ready.Store(ready)
}

// RefuseNewCalls makes the handler refuse all calls that arrive from now on.
func (h *Handler) RefuseNewCalls() {
	h.leaving.Store(true)
}

// InFlight returns the number of calls that are queued or running.
func (h *Handler) InFlight() int {
	return int(h.inFlight.Load())
}

// HandleCall serves one call. It always returns an answer.
func (h *Handler) HandleCall(ctx context.Context, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	h.config.Clock.Observe(call.Stamp)
	h.received.Inc(1)
	// Counts the call before the check of leaving. Otherwise a stop could see no calls
	// in flight although one has passed the check.
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	deadline := time.Now().Add(call.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer := h.serve(ctx, call, deadline)
	answer.Call = call.ID
	answer.Load = h.config.Admission.Load()
	answer.Threshold = max(answer.Threshold, h.config.Admission.LaneThreshold(call.Long))
	answer.Stamp = h.config.Clock.Now()
	return answer
}

func (h *Handler) serve(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	if reason := h.refusalReason(call); reason != lagoonbarrow.ReasonNone {
		return refuseUnused(call, reason)
	}
	permit, err := h.config.Admission.Admit(ctx, lagoonbarrow.Work{
		Request:   call.Request,
		Customer:  call.Customer,
		Class:     call.Class,
		Priority:  call.Priority,
		Long:      call.Long,
		Deadline:  deadline,
		Operation: operationName(call),
	})
	if err != nil {
		answer := refuseUnused(call, admissionReason(err))
		answer.RetryAfter = retryAfterShed
		return answer
	}
	account, err := h.openAccount(call, deadline)
	if err != nil {
		permit.Release(false)
		return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonExhausted)
	}
	h.tracker.open(call.ID, permit)
	answer, served := h.runAdmitted(permit, call, deadline)
	downstream := h.tracker.close(call.ID)
	answer.TokensLeft = account.Close()
	answer.Threshold = max(answer.Threshold, downstream.threshold)
	if downstream.overloaded && answer.Outcome != lagoonbarrow.OutcomeDone && retryable(answer.Reason) {
		// A retry would meet the same overload downstream.
		answer.Reason = lagoonbarrow.ReasonExhausted
	}
	permit.Release(served)
	return answer
}

func (h *Handler) refusalReason(call *lagoonbarrow.Call) lagoonbarrow.Reason {
	switch {
	case h.leaving.Load():
		return lagoonbarrow.ReasonLeaving
	case !h.ready.Load():
		return lagoonbarrow.ReasonNotReady
	case call.Depth > lagoonbarrow.MaxDepth:
		return lagoonbarrow.ReasonDepth
	default:
		return lagoonbarrow.ReasonNone
	}
}

// openAccount registers the call in the ledger. Re-sends of an idempotent request under
// a key share one budget. At-most-once requests are bounded by their claim instead, so
// a repeat can always fetch the stored answer.
func (h *Handler) openAccount(call *lagoonbarrow.Call, deadline time.Time) (lagoonbarrow.Account, error) {
	if call.Key != "" && call.Attempt == "" && !h.config.Plain {
		return h.config.Ledger.OpenKeyed(call, deadline)
	}
	return h.config.Ledger.Open(call, deadline), nil
}

// runAdmitted runs the call or answers it from its claim. It reports whether the
// answer came from the backend server.
func (h *Handler) runAdmitted(permit lagoonbarrow.Permit, call *lagoonbarrow.Call, deadline time.Time) (answer *lagoonbarrow.Answer, served bool) {
	if call.Attempt == "" || h.config.Plain {
		answer = h.runBackend(permit.Context(), call, deadline)
		return answer, answer.Outcome == lagoonbarrow.OutcomeDone
	}
	return h.runOnce(permit, call, deadline)
}

func (h *Handler) runBackend(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	h.run.Inc(1)
	h.record(event.CallRun, call, "")
	answer := h.config.Backend.Run(ctx, call, deadline)
	if errors.Is(context.Cause(ctx), lagoonbarrow.ErrPreempted) && answer.Outcome != lagoonbarrow.OutcomeDone {
		answer.Reason = lagoonbarrow.ReasonShed
		answer.RetryAfter = retryAfterShed
	}
	h.record(event.CallEnded, call, string(answer.Outcome)+" "+string(answer.Reason))
	return answer
}

// runOnce claims the call's key, runs the call and stores its answer. A slow platform
// must not count as a slow backend server, so the slot is released before the claim
// ends and the measured latency excludes the claim write.
func (h *Handler) runOnce(permit lagoonbarrow.Permit, call *lagoonbarrow.Call, deadline time.Time) (answer *lagoonbarrow.Answer, served bool) {
	ctx := permit.Context()
	endWait := startDownstreamWait(permit)
	claim, err := h.config.Claims.Acquire(ctx, call, deadline)
	endWait()
	if err != nil {
		return h.answerUnclaimed(ctx, call, claim, err), false
	}
	if ctx.Err() != nil {
		// Nothing has run yet, so the key is freed for the caller's next attempt.
		answer = lagoonbarrow.NewRefusal(call.ID, notRunReason(ctx))
		permit.Release(false)
		h.void(call, claim, answer)
		return answer, false
	}
	// A claimed request is finished even if its caller disconnects, because its
	// outcome is stored for the caller's next attempt.
	running, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	answer = h.runBackend(running, call, deadline)
	cancel()
	served = answer.Outcome == lagoonbarrow.OutcomeDone
	permit.Release(served)
	switch answer.Outcome {
	case lagoonbarrow.OutcomeDone:
		h.complete(call, claim, answer)
	case lagoonbarrow.OutcomeNotRun:
		h.void(call, claim, answer)
	default:
		h.record(event.ClaimUnknown, call, string(answer.Reason))
	}
	return answer, served
}

func (h *Handler) complete(call *lagoonbarrow.Call, claim lagoonbarrow.Claim, answer *lagoonbarrow.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), h.config.ClaimAnswerWait)
	defer cancel()
	if err := h.config.Claims.Complete(ctx, claim, answer); err != nil {
		h.record(event.ClaimUnknown, call, err.Error())
		return
	}
	h.record(event.ClaimCompleted, call, "")
}

// void records that the claim's attempt did not run. If the write fails, the row stays
// claimed and no later attempt may run. The answer "not run" is true in both cases.
func (h *Handler) void(call *lagoonbarrow.Call, claim lagoonbarrow.Claim, answer *lagoonbarrow.Answer) {
	ctx, cancel := context.WithTimeout(context.Background(), h.config.ClaimAnswerWait)
	defer cancel()
	if err := h.config.Claims.Void(ctx, claim); err != nil {
		h.record(event.ClaimUnknown, call, err.Error())
		return
	}
	answer.RowVersion = claim.Version + 1
	if answer.Reason == lagoonbarrow.ReasonBackend {
		answer.Reason = lagoonbarrow.ReasonVoided
	}
	h.record(event.ClaimVoided, call, "backend server did not run the call")
}

// answerUnclaimed answers a call whose key could not be claimed.
func (h *Handler) answerUnclaimed(ctx context.Context, call *lagoonbarrow.Call, claim lagoonbarrow.Claim, err error) *lagoonbarrow.Answer {
	switch {
	case errors.Is(err, lagoonbarrow.ErrKeyMismatch):
		return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonKeyMismatch)
	case errors.Is(err, lagoonbarrow.ErrVoided):
		answer := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonVoided)
		answer.RowVersion = claim.Version
		return answer
	case errors.Is(err, lagoonbarrow.ErrClaimed) && claim.State == lagoonbarrow.ClaimCompleted && claim.Answer != nil:
		answer := *claim.Answer
		return &answer
	case errors.Is(err, lagoonbarrow.ErrClaimed):
		return unknownAnswer(call.ID, lagoonbarrow.ReasonClaimed)
	case errors.Is(err, lagoonbarrow.ErrDeadline):
		return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonDeadline)
	default:
		return lagoonbarrow.NewRefusal(call.ID, notRunReason(ctx))
	}
}

// notRunReason returns why a call with a key did not run: the cause that ended its
// context, or else the platform.
func notRunReason(ctx context.Context) lagoonbarrow.Reason {
	switch {
	case errors.Is(context.Cause(ctx), lagoonbarrow.ErrPreempted):
		return lagoonbarrow.ReasonShed
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lagoonbarrow.ReasonDeadline
	case ctx.Err() != nil:
		return lagoonbarrow.ReasonCancelled
	default:
		return lagoonbarrow.ReasonPlatform
	}
}

func (h *Handler) record(kind event.Kind, call *lagoonbarrow.Call, detail string) {
	h.config.Recorder.Record(kind, event.Fields{
		Request:  string(call.Request),
		Customer: string(call.Customer),
		Class:    string(call.Class),
		Detail:   detail,
	})
}

// refuseUnused refuses a call and returns all of its tokens.
func refuseUnused(call *lagoonbarrow.Call, reason lagoonbarrow.Reason) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(call.ID, reason)
	answer.TokensLeft = call.Tokens
	return answer
}

func admissionReason(err error) lagoonbarrow.Reason {
	if errors.Is(err, lagoonbarrow.ErrShed) {
		return lagoonbarrow.ReasonShed
	}
	if errors.Is(err, lagoonbarrow.ErrDeadline) {
		return lagoonbarrow.ReasonDeadline
	}
	return lagoonbarrow.ReasonCancelled
}

// operationSegments is the number of path segments in an operation's name. Later
// segments are usually ids.
const operationSegments = 2

// operationName groups calls that are expected to take a similar time. It consists of
// the service, the method and the first two path segments.
func operationName(call *lagoonbarrow.Call) string {
	path, _, _ := strings.Cut(call.Path, "?")
	end := len(path)
	slashes := 0
	for position := range len(path) {
		if path[position] != '/' {
			continue
		}
		slashes++
		if slashes > operationSegments {
			end = position
			break
		}
	}
	return string(call.Service) + " " + call.Method + " " + path[:end]
}
