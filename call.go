package lagoonbarrow

import (
	"time"

	"lagoonbarrow/pkg/event"
)

// Outcome tells whether a call was run by a backend server.
type Outcome string

// The outcomes of a call.
const (
	// OutcomeDone means that the backend server gave a whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no backend server ran the call and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have been run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason tells why a call has no answer of a backend server.
type Reason string

// The reasons for a call without an answer.
const (
	ReasonNone Reason = ""
	// ReasonShed: refused by a threshold or a full queue.
	ReasonShed Reason = "shed"
	// ReasonLeaving: the instance is stopping; another one serves the call.
	ReasonLeaving Reason = "leaving"
	// ReasonNotReady: the instance has no contracts or no backend server yet.
	ReasonNotReady Reason = "not-ready"
	// ReasonExhausted: no repeat is allowed here, or a call below has failed in spite
	// of its repeats; not retried above.
	ReasonExhausted Reason = "exhausted"
	// ReasonDeadline: the deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonCancelled: the caller went away or more important work took the slot.
	ReasonCancelled Reason = "cancelled"
	// ReasonBackend: the backend server refused or failed the call.
	ReasonBackend Reason = "backend"
	// ReasonUnreachable: no instance could be reached.
	ReasonUnreachable Reason = "unreachable"
	// ReasonDepth: the chain is deeper than MaxDepth.
	ReasonDepth Reason = "depth"
	// ReasonClaimed: another attempt holds the key.
	ReasonClaimed Reason = "claimed"
	// ReasonVoided: the expected row version was voided; try again at RowVersion.
	ReasonVoided Reason = "voided"
	// ReasonMismatch: the key was used for a different request.
	ReasonMismatch Reason = "mismatch"
	// ReasonPlatform: the platform's table can't be reached.
	ReasonPlatform Reason = "platform"
	// ReasonQuota: the customer is over its contract.
	ReasonQuota Reason = "quota"
	// ReasonUnknownCall: a local call named no running call.
	ReasonUnknownCall Reason = "unknown-call"
)

// MaxDepth is the longest chain of calls that is served. Call graphs are
// planned for up to 24; the rest is room for growth.
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

// HeaderField is one HTTP header line. Between nodes it is an array of two texts.
type HeaderField struct {
	_msgpack struct{} `msgpack:",as_array"`

	Name  string `msgpack:"name"`
	Value string `msgpack:"value"`
}

// Call is one attempt at a call, as it travels between nodes.
type Call struct {
	ID       CallID     `msgpack:"call-id"`
	Request  RequestID  `msgpack:"request"`
	Customer CustomerID `msgpack:"customer"`
	Class    ClassName  `msgpack:"class"`
	Priority Priority   `msgpack:"priority"`
	Long     bool       `msgpack:"long"`
	// Remaining is the time left until the deadline when the call was sent.
	Remaining time.Duration `msgpack:"remaining"`
	// Tokens are the additional attempts that the callee may make below.
	Tokens Tokens `msgpack:"tokens"`
	Depth  int    `msgpack:"depth"`
	// Stamp carries the sender's hybrid logical clock.
	Stamp event.Stamp `msgpack:"stamp"`
	// Key is the caller's idempotency key or request key; empty without one.
	Key string `msgpack:"key,omitempty"`
	// AtMostOnce is set on all calls of a request that is not idempotent.
	AtMostOnce bool `msgpack:"at-most-once,omitempty"`
	// Attempt is set on the one call that must claim Key before it is run.
	Attempt AttemptID `msgpack:"attempt,omitempty"`
	// ExpectedRow is the version at which the claim row may be taken.
	ExpectedRow RowVersion    `msgpack:"expected-row,omitempty"`
	Service     ServiceName   `msgpack:"service"`
	Host        string        `msgpack:"host,omitempty"`
	Method      string        `msgpack:"method"`
	Path        string        `msgpack:"path"`
	Header      []HeaderField `msgpack:"header,omitempty"`
	Body        []byte        `msgpack:"body,omitempty"`
	// Server makes every other backend server refuse the call. The node beside
	// the server sets it.
	Server ServerID `msgpack:"-"`
	// Nested is set on calls that a backend server makes for a request it is running.
	Nested bool `msgpack:"nested,omitempty"`
	// MaxWait is the longest time that the call may wait for a slot.
	MaxWait time.Duration `msgpack:"max-wait,omitempty"`
	// Configuration is the highest version that the sender knows.
	Configuration ConfigurationVersion `msgpack:"configuration,omitempty"`
	// Repeat is set if a server was sent this call before, and on the calls of a
	// request that is run for such a call.
	Repeat bool `msgpack:"repeat,omitempty"`
}

// Safe reports whether the call's method is safe in the sense of RFC 9110, so
// that it may be repeated after an unknown outcome.
func (c *Call) Safe() bool {
	return c.Method == "GET" || c.Method == "HEAD" || c.Method == "OPTIONS"
}

// Answer is what a call came to.
type Answer struct {
	Call    CallID        `msgpack:"call-id"`
	Outcome Outcome       `msgpack:"outcome"`
	Reason  Reason        `msgpack:"reason,omitempty"`
	Status  int           `msgpack:"status"`
	Header  []HeaderField `msgpack:"header,omitempty"`
	Body    []byte        `msgpack:"body,omitempty"`
	// TokensLeft are the tokens that were not used below.
	TokensLeft Tokens `msgpack:"tokens-left"`
	// Threshold is the highest threshold met at the callee or below it.
	Threshold Threshold `msgpack:"threshold"`
	// Load is the callee's own load.
	Load Load `msgpack:"load"`
	// RowVersion is the claim row's version, with ReasonVoided.
	RowVersion RowVersion `msgpack:"row-version,omitempty"`
	// RetryAfter is when another try may succeed; 0 when unknown.
	RetryAfter time.Duration `msgpack:"retry-after,omitempty"`
	// Stamp carries the sender's hybrid logical clock.
	Stamp event.Stamp `msgpack:"stamp"`
	// Offered tells that the call was sent to a backend server, whatever came of it.
	Offered bool `msgpack:"offered,omitempty"`
	// Configuration is the highest version that the callee knows.
	Configuration ConfigurationVersion `msgpack:"configuration,omitempty"`
}

// failedStatus is the lowest HTTP status of an answer that says that a run failed.
const failedStatus = 500

// Failed reports whether a backend server answered that the run failed.
func (a *Answer) Failed() bool {
	return a.Status >= failedStatus
}

// Refuse returns an answer for a call that was not run.
func Refuse(id CallID, reason Reason) *Answer {
	return &Answer{
		Call:    id,
		Outcome: OutcomeNotRun,
		Reason:  reason,
	}
}
