package lagoonbarrow

import (
	"time"

	"lagoonbarrow/pkg/event"
)

const (
	// StatusFirstFinal is the lowest status of a final HTTP response.
	StatusFirstFinal = 200
	// StatusEnd is the first status that no HTTP response has.
	StatusEnd = 600
)

// IsFinalStatus reports whether a final HTTP response may have a status.
func IsFinalStatus(status int) bool {
	return status >= StatusFirstFinal && status < StatusEnd
}

// Outcome states whether a backend server ran a call.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone means that the backend server returned a complete answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no backend server ran the call and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason states why a call has no answer from a backend server.
type Reason string

// The reasons for a call without an answer.
const (
	ReasonNone Reason = ""
	// ReasonShed: the call was refused by the admission threshold or a full queue.
	ReasonShed Reason = "shed"
	// ReasonLeaving: the instance is stopping. The call can be sent to another one.
	ReasonLeaving Reason = "leaving"
	// ReasonNotReady: the instance has no contracts or no backend server yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonExhausted: no retry is allowed, or a downstream call failed despite its
	// retries. The callers upstream do not retry.
	ReasonExhausted Reason = "exhausted"
	// ReasonDeadline: the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the caller cancelled the call, or more important work took the slot.
	ReasonCancelled Reason = "cancelled"
	// ReasonBackend: the backend server refused or failed the call.
	ReasonBackend Reason = "backend"
	// ReasonUnreachable: no instance could be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonDepth: the chain is deeper than MaxDepth.
	ReasonDepth Reason = "depth"
	// ReasonClaimed: another attempt holds the key.
	ReasonClaimed Reason = "claimed"
	// ReasonVoided: the claim was voided. A retry must expect Answer.RowVersion.
	ReasonVoided Reason = "voided"
	// ReasonKeyMismatch: the key was used for a different request.
	ReasonKeyMismatch Reason = "mismatch"
	// ReasonPlatform: the platform's table can't be reached.
	ReasonPlatform Reason = "platform"
	// ReasonQuota: the customer exceeds the rate in its contract.
	ReasonQuota Reason = "quota"
	// ReasonDownstream: the call would fail, because its downstream calls do.
	ReasonDownstream Reason = "downstream"
	// ReasonUnknownCall: a local call refers to no running call.
	ReasonUnknownCall Reason = "unknown-call"
)

// MaxDepth is the maximum length of a chain of calls. Call graphs are planned
// with a depth of up to 24. The rest is headroom.
const MaxDepth = 32

// Names of the HTTP headers between nodes and backend servers. All headers
// with HeaderPrefix are removed from customers' requests.
const (
	HeaderPrefix         = "Lagoonbarrow-"
	HeaderCall           = "Lagoonbarrow-Call"
	HeaderCallKey        = "Lagoonbarrow-Call-Key"
	HeaderRequest        = "Lagoonbarrow-Request"
	HeaderRequestKey     = "Lagoonbarrow-Request-Key"
	HeaderDeadline       = "Lagoonbarrow-Deadline-Ms"
	HeaderPriority       = "Lagoonbarrow-Priority"
	HeaderOutcome        = "Lagoonbarrow-Outcome"
	HeaderReason         = "Lagoonbarrow-Reason"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HeaderField is one HTTP header line, encoded between nodes as an array of two strings.
type HeaderField struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Call is one attempt at a call, in the form that nodes send to each other.
type Call struct {
	ID       CallID     `msgpack:"call-id"`
	Request  RequestID  `msgpack:"request"`
	Customer CustomerID `msgpack:"customer"`
	Class    ClassName  `msgpack:"class"`
	Priority Priority   `msgpack:"priority"`
	Long     bool       `msgpack:"long"`
	// Remaining is the time left until the deadline when the call was sent.
	Remaining time.Duration `msgpack:"remaining"`
	// Tokens bounds the additional attempts of the callee's downstream calls.
	Tokens Tokens `msgpack:"tokens"`
	Depth  int    `msgpack:"depth"`
	// Stamp carries the sender's hybrid logical clock.
	Stamp event.Stamp `msgpack:"stamp"`
	// Key is the caller's idempotency key or request key; empty without one.
	Key string `msgpack:"key,omitempty"`
	// AtMostOnce is set on all calls of a non-idempotent request.
	AtMostOnce bool `msgpack:"at-most-once,omitempty"`
	// Attempt is set only on the call that must claim Key before it runs.
	Attempt AttemptID `msgpack:"attempt,omitempty"`
	// ExpectedVersion is the version that the claim row must have when it is claimed.
	ExpectedVersion RowVersion    `msgpack:"expected-row,omitempty"`
	Service         ServiceName   `msgpack:"service"`
	Host            string        `msgpack:"host,omitempty"`
	Method          string        `msgpack:"method"`
	Path            string        `msgpack:"path"`
	Header          []HeaderField `msgpack:"header,omitempty"`
	Body            []byte        `msgpack:"body,omitempty"`
	// Server is the only backend server that may run the call. The node beside the
	// server sets it.
	Server ServerID `msgpack:"-"`
	// Nested is set on calls that a backend server makes for a request it is running.
	Nested bool `msgpack:"nested,omitempty"`
	// MaxWait is the longest time that the call may wait for a slot.
	MaxWait time.Duration `msgpack:"max-wait,omitempty"`
	// Configuration is the highest configuration version that the sender has.
	Configuration ConfigurationVersion `msgpack:"configuration,omitempty"`
	// Repeat is set if the call was already sent to a server, and on the downstream
	// calls made while such a call runs.
	Repeat bool `msgpack:"repeat,omitempty"`
	// Announcement is what the sender has last heard from the backend server of the
	// instance that it sends the call to; nil if that was nothing.
	Announcement *Announcement `msgpack:"-"`
}

// Safe reports whether the call's method is safe in the sense of RFC 9110, so
// that it may be repeated after an unknown outcome.
func (c *Call) Safe() bool {
	return c.Method == "GET" || c.Method == "HEAD" || c.Method == "OPTIONS"
}

// Answer is the result of a call.
type Answer struct {
	Call    CallID        `msgpack:"call-id"`
	Outcome Outcome       `msgpack:"outcome"`
	Reason  Reason        `msgpack:"reason,omitempty"`
	Status  int           `msgpack:"status"`
	Header  []HeaderField `msgpack:"header,omitempty"`
	Body    []byte        `msgpack:"body,omitempty"`
	// TokensLeft is the number of tokens that the downstream calls did not use.
	TokensLeft Tokens `msgpack:"tokens-left"`
	// Threshold is the highest admission threshold of the callee and its downstream calls.
	Threshold Threshold `msgpack:"threshold"`
	// Load is the callee's own load.
	Load Load `msgpack:"load"`
	// RowVersion is the claim row's version, set with ReasonVoided.
	RowVersion RowVersion `msgpack:"row-version,omitempty"`
	// RetryAfter is the wait until a retry may succeed, 0 if unknown.
	RetryAfter time.Duration `msgpack:"retry-after,omitempty"`
	// Stamp carries the sender's hybrid logical clock.
	Stamp event.Stamp `msgpack:"stamp"`
	// SentToServer is set if the call was sent to a backend server, whatever the outcome.
	SentToServer bool `msgpack:"offered,omitempty"`
	// Configuration is the highest configuration version that the callee has.
	Configuration ConfigurationVersion `msgpack:"configuration,omitempty"`
	// Announcement is what the backend server says about itself; nil if it says nothing.
	Announcement *Announcement `msgpack:"-"`
	// Services holds the thresholds of services that the callee knows; empty without customers.
	Services []ServiceThreshold `msgpack:"-"`
}

// ServiceThreshold is what a node knows of the slots of a service for nested calls.
type ServiceThreshold struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service ServiceName `msgpack:"service"`
	// Threshold is the lowest priority for which the service has slots.
	Threshold Threshold `msgpack:"threshold"`
	// Age is the time since the threshold was reported by the service itself.
	Age time.Duration `msgpack:"age"`
	// Called is set if the call that this is the answer to has led to calls to the service.
	Called bool `msgpack:"called"`
}

// failedStatus is the lowest HTTP status that reports a failed run.
const failedStatus = 500

// Failed reports whether a backend server answered that the run failed.
func (a *Answer) Failed() bool {
	return a.Status >= failedStatus
}

// NewRefusal returns an answer for a call that was not run.
func NewRefusal(id CallID, reason Reason) *Answer {
	return &Answer{
		Call:    id,
		Outcome: OutcomeNotRun,
		Reason:  reason,
	}
}
