package lagoonbarrow

import (
	"context"
	"time"

	"lagoonbarrow/pkg/event"
)

// Row is a row of a table of the platform.
type Row struct {
	Table   string     `json:"table"`
	Key     string     `json:"key"`
	Version RowVersion `json:"version"`
	Value   []byte     `json:"value"`
}

// Write is a conditional write of one row.
type Write struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	// Expected is the version that the row must have. 0 means that it must not exist.
	Expected RowVersion `json:"expected"`
	Value    []byte     `json:"value,omitempty"`
	Delete   bool       `json:"delete,omitempty"`
}

// Table is the platform's transactional table service. ErrUnavailable from any
// method means that nothing was done.
type Table interface {
	// Get returns ErrNotFound for a missing row.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows with keys greater than after, in key order.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
	// Put performs one conditional write, batched with others into one request to
	// the platform. It returns the new version, ErrConflict or ErrOutcomeUnknown.
	Put(ctx context.Context, write Write) (RowVersion, error)
	// Transact performs all writes or none. It returns ErrConflict or ErrOutcomeUnknown.
	Transact(ctx context.Context, writes []Write) error
	// Available reports whether the last requests were answered.
	Available() bool
}

// Roster lists the instances of all services.
type Roster interface {
	Self() Instance
	// Instances returns the ready and suspect instances of a service.
	Instances(service ServiceName) []Instance
	// Live returns all instances that are neither dead nor left.
	Live() []Instance
	Lookup(id InstanceID) (Instance, bool)
}

// Contracts is the table of contracts in force on this node.
type Contracts interface {
	// ByKey returns the contract in force for an API key. It returns
	// ErrUnauthenticated if no contract lists the key.
	ByKey(apiKey string) (ContractRecord, error)
	// Lookup returns the record of a customer, which may be retired.
	Lookup(customer CustomerID) (ContractRecord, bool)
	// Match returns the class of a request, or ErrNotFound.
	Match(record ContractRecord, method, path string) (Class, error)
	Revision() Revision
	// Ready reports whether the table was read from the platform.
	Ready() bool
}

// ContractStore changes contracts in the platform's table.
type ContractStore interface {
	// Apply creates or changes a contract. expected is the current version, or 0 to
	// create one. It returns the accepted record, or ErrConflict and the current record.
	Apply(ctx context.Context, contract Contract, expected ContractVersion) (ContractRecord, error)
	// Retire ends a contract. It returns the same errors as Apply.
	Retire(ctx context.Context, customer CustomerID, expected ContractVersion) (ContractRecord, error)
	Get(ctx context.Context, customer CustomerID) (ContractRecord, error)
	List(ctx context.Context) ([]ContractRecord, error)
}

// Message is a control message between nodes. Body is msgpack.
type Message struct {
	Kind string `msgpack:"kind"`
	Body []byte `msgpack:"body"`
}

// MessageSender sends control messages to other nodes.
type MessageSender interface {
	// Send sends a control message and returns the reply.
	Send(ctx context.Context, to Address, message Message) (Message, error)
}

// Transport carries calls and control messages to other nodes.
type Transport interface {
	MessageSender
	// Call sends a call and waits for the complete answer. ErrNotSent means that it
	// was not run, ErrAnswerLost that it may have been. Cancelling ctx cancels the
	// call at the callee.
	Call(ctx context.Context, to Instance, call *Call) (*Answer, error)
	// Broadcast sends a control message to all peers with an open connection,
	// without waiting for replies.
	Broadcast(ctx context.Context, message Message)
}

// CallHandler serves calls that arrive from other nodes.
type CallHandler interface {
	HandleCall(ctx context.Context, call *Call) *Answer
}

// MessageHandler serves control messages of one kind.
type MessageHandler interface {
	HandleMessage(ctx context.Context, from InstanceID, message Message) (Message, error)
}

// MessagePart is a part of the process that serves control messages of some kinds.
type MessagePart interface {
	MessageHandler
	Kinds() []string
}

// Work describes a call that needs a slot of the backend server.
type Work struct {
	Request  RequestID
	Customer CustomerID
	Class    ClassName
	Priority Priority
	Long     bool
	Deadline time.Time
	// Operation groups calls with similar service times.
	Operation string
}

// Admission decides which calls the backend server beside this node runs.
type Admission interface {
	// Admit waits for a slot. ErrShed and ErrDeadline both mean that the call was
	// not run.
	Admit(ctx context.Context, work Work) (Permit, error)
	// LaneThreshold returns the lowest priority that is admitted, for long or for
	// short work.
	LaneThreshold(long bool) Threshold
	Load() Load
}

// Permit is the right to use one slot.
type Permit interface {
	// Context is cancelled with cause ErrPreempted when more important work
	// takes the slot.
	Context() context.Context
	// Release frees the slot. served reports whether the backend server answered.
	// Only then does the time in the slot count as a measured latency.
	Release(served bool)
}

// Backend sends calls to the backend server beside this node.
type Backend interface {
	// Run always returns an answer. Its outcome states whether the call was run.
	Run(ctx context.Context, call *Call, deadline time.Time) *Answer
}

// Ledger holds the retry budgets of the calls that the backend server beside
// this node is running.
type Ledger interface {
	// Open registers a running call until its account is closed.
	Open(call *Call, deadline time.Time) Account
	// Lookup returns ErrNotFound when no such call is running.
	Lookup(id CallID) (Account, error)
	// OpenKeyed registers a call that its caller may re-send under the same key.
	// Re-sends share one account and cost a token each. It returns ErrExhausted if
	// no token is left.
	OpenKeyed(call *Call, deadline time.Time) (Account, error)
}

// Account is the retry budget of one running call.
type Account interface {
	Call() *Call
	Deadline() time.Time
	// Begin registers a downstream call by the application. Repeating a call that is
	// running or has failed costs a token. It returns ErrExhausted if no token is
	// left, and ErrOutcomeUnknown if the repeat could run a write twice.
	Begin(call *Call) (DownstreamCall, error)
	// Share takes half of the tokens, rounded up, to send them with a call.
	Share() Tokens
	// Return gives back unused tokens.
	Return(tokens Tokens)
	// Spend takes one token for another attempt and reports whether one was left.
	Spend() bool
	// Close ends the account and returns the tokens left.
	Close() Tokens
}

// DownstreamCall is a call registered by Account.Begin.
type DownstreamCall interface {
	// End records the result of the call.
	End(outcome Outcome, failed bool)
}

// Observation is the measured result of a call to an instance.
type Observation struct {
	Latency time.Duration
	// Failed is set if no complete answer arrived.
	Failed bool
	// Load is the callee's report, if HasLoad is set.
	Load    Load
	HasLoad bool
	// Answered is set if the callee's backend server has answered.
	Answered bool
	// Announcement is what that server says about itself; nil if it says nothing.
	Announcement *Announcement
}

// Router chooses instances for calls.
type Router interface {
	// Pick chooses an instance of the service that is not in avoid. With a key, it
	// prefers the key's owner by rendezvous hashing. It returns ErrNoInstance if
	// there is none.
	Pick(service ServiceName, key string, avoid []InstanceID) (Instance, error)
	// StartCall records the start of a call. The returned function records its end.
	StartCall(id InstanceID) func(Observation)
}

// Caller makes a call on behalf of an account: it picks instances, retries
// within the tokens and returns the final answer.
type Caller interface {
	Do(ctx context.Context, account Account, call *Call) *Answer
}

// ClaimState is the state of an idempotency key.
type ClaimState string

// The states of a claim row.
const (
	ClaimHeld      ClaimState = "claimed"
	ClaimCompleted ClaimState = "completed"
	ClaimVoided    ClaimState = "voided"
)

// Claim is an idempotency key's row.
type Claim struct {
	Customer CustomerID `json:"customer"`
	Key      string     `json:"key"`
	State    ClaimState `json:"state"`
	Attempt  AttemptID  `json:"attempt"`
	Instance InstanceID `json:"instance"`
	// Digest identifies the content of the request.
	Digest string `json:"digest"`
	// Deadline is the time after which the attempt is not started.
	Deadline time.Time `json:"deadline"`
	// Answer is stored for repeats of a completed request.
	Answer *Answer `json:"answer,omitempty"`
	// Version is the row's version.
	Version RowVersion `json:"version"`
}

// Claims ensures that requests run at most once.
type Claims interface {
	// Acquire claims the call's key at its expected row version for its attempt.
	// ErrClaimed, ErrVoided and ErrKeyMismatch are returned with the current row. After
	// ErrVoided, a new attempt may be made at the row's version. ErrUnavailable means
	// that the attempt must not run.
	Acquire(ctx context.Context, call *Call, deadline time.Time) (Claim, error)
	// Complete stores the answer for repeats.
	Complete(ctx context.Context, claim Claim, answer *Answer) error
	// Void records that the attempt of a held claim did not run.
	Void(ctx context.Context, claim Claim) error
	// VoidAttempt voids an attempt that was sent and whose answer was lost. A nil
	// error means that it did not and will not run. ErrClaimed is returned with the
	// row that won, which may be completed. After other errors the outcome is unknown.
	VoidAttempt(ctx context.Context, call *Call) (Claim, error)
	// Lookup returns the row of a key, or ErrNotFound.
	Lookup(ctx context.Context, customer CustomerID, key string) (Claim, error)
	// Settle ends the claim of an instance that died. An operator decides whether its
	// attempt ran.
	Settle(ctx context.Context, customer CustomerID, key string, expected RowVersion, ran bool) (Claim, error)
}

// Quota holds the customers' rate limits on this node.
type Quota interface {
	// Allow takes work units and reports whether they were available. If not,
	// the duration is the wait before a retry. A customer that exceeds its rate is
	// refused deferrable requests first and critical ones last.
	Allow(record ContractRecord, units WorkUnits, level Importance) (bool, time.Duration)
}

// CustomerLimits bounds the requests of customers over all nodes.
type CustomerLimits interface {
	// Take takes one request of a customer with a limit. It returns the fraction of the rate
	// that all nodes use. It returns a *LimitError if the request must not be sent on.
	Take(ctx context.Context, customer *Customer) (usage float64, err error)
	// Return gives back the request of a customer that was not run.
	Return(id CustomerID)
}

// LimitError is the error for a request that is not admitted by a limit. It was not run.
type LimitError struct {
	// RetryAfter is the expected time until a request can be admitted.
	RetryAfter time.Duration
	// Cause is ErrRateExceeded, or ErrUnavailable if the use of the rate is not known.
	Cause error
}

// Error implements error.
func (e *LimitError) Error() string {
	return "customer limit: " + e.Cause.Error()
}

// Unwrap returns the sentinel error.
func (e *LimitError) Unwrap() error {
	return e.Cause
}

// Clock is a hybrid logical clock, which orders events over all processes.
type Clock interface {
	Now() event.Stamp
	// Observe moves the clock past a stamp received from another process.
	Observe(stamp event.Stamp)
}

// Recorder adds events to the timeline.
type Recorder interface {
	Record(kind event.Kind, fields event.Fields)
}
