package lagoonbarrow

import (
	"context"
	"time"

	"lagoonbarrow/pkg/event"
)

// Row is a row of the platform's table.
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
	// Expected is the version the row must have; 0 means that it must not exist.
	Expected RowVersion `json:"expected"`
	Value    []byte     `json:"value,omitempty"`
	Delete   bool       `json:"delete,omitempty"`
}

// Table is the platform's transactional table service. All methods return
// ErrUnavailable when nothing was done.
type Table interface {
	// Get returns ErrNotFound for a missing row.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows with keys greater than after, in key order.
	Scan(ctx context.Context, table, after string, limit int) ([]Row, error)
	// Put makes one conditional write, grouped with others into one request to the
	// platform. It returns the new version, or ErrConflict or ErrOutcomeUnknown.
	Put(ctx context.Context, write Write) (RowVersion, error)
	// Transact makes all writes or none. It returns ErrConflict or ErrOutcomeUnknown.
	Transact(ctx context.Context, writes []Write) error
	// Available reports whether the last requests were answered.
	Available() bool
}

// Roster knows the instances of all services.
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
	// ByKey returns the contract in force for an API key.
	// It returns ErrUnauthenticated when no contract lists the key.
	ByKey(apiKey string) (ContractRecord, error)
	// Lookup returns the record of a customer, retired ones included.
	Lookup(customer CustomerID) (ContractRecord, bool)
	// Match returns the class of a request, or ErrNotFound.
	Match(record ContractRecord, method, path string) (Class, error)
	Revision() Revision
	// Ready reports whether the table was read from the platform.
	Ready() bool
}

// ContractStore changes contracts in the platform's table.
type ContractStore interface {
	// Apply creates or changes a contract. expected is the current version, 0 to create.
	// It returns the accepted record, or ErrConflict with the current record.
	Apply(ctx context.Context, contract Contract, expected ContractVersion) (ContractRecord, error)
	// Retire ends a contract, with the same errors as Apply.
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
	// Call sends a call and waits for the whole answer. ErrNotSent means that it
	// was not run, ErrAnswerLost that it may have been.
	// Cancelling ctx cancels the call at the callee.
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

// Work describes a call that asks for a slot of the backend server.
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
	// Admit waits for a slot. It returns ErrShed or ErrDeadline; in both cases
	// the call was not run.
	Admit(ctx context.Context, work Work) (Permit, error)
	// ThresholdOf returns the lowest priority that is admitted of long or of
	// short work.
	ThresholdOf(long bool) Threshold
	Load() Load
}

// Permit is the right to use one slot.
type Permit interface {
	// Context is cancelled with cause ErrPreempted when more important work
	// takes the slot.
	Context() context.Context
	// Release frees the slot. served tells whether the backend server gave an
	// answer, so that the time held counts as a measured latency.
	Release(served bool)
}

// Backend sends calls to the backend server beside this node.
type Backend interface {
	// Run always returns an answer; its outcome tells whether the call was run.
	Run(ctx context.Context, call *Call, deadline time.Time) *Answer
}

// Ledger holds the retry budgets of the calls that the backend server beside
// this node is running.
type Ledger interface {
	// Open registers a running call until its account is closed.
	Open(call *Call, deadline time.Time) Account
	// Lookup returns ErrNotFound when no such call is running.
	Lookup(id CallID) (Account, error)
	// OpenKeyed registers a call whose caller may re-send it under its key.
	// Re-sends share one account and cost a token each; ErrExhausted when none is left.
	OpenKeyed(call *Call, deadline time.Time) (Account, error)
}

// Account is the retry budget of one running call.
type Account interface {
	Call() *Call
	Deadline() time.Time
	// Begin notes a call by the application. A repeat of one that is running or
	// has failed costs a token. It returns ErrExhausted without one, and
	// ErrOutcomeUnknown when repeating could run a write twice.
	Begin(call *Call) (Meant, error)
	// Share takes half of the tokens, rounded up, for a call that is sent.
	Share() Tokens
	// Return gives back unused tokens.
	Return(tokens Tokens)
	// Spend takes one token for another attempt and reports whether there was one.
	Spend() bool
	// Close ends the account and returns the tokens left.
	Close() Tokens
}

// Meant is one call that the application meant to make.
type Meant interface {
	// End notes what became of the call.
	End(outcome Outcome, failed bool)
}

// Observation is what a call to an instance showed.
type Observation struct {
	Latency time.Duration
	// Failed is set when no whole answer came.
	Failed bool
	// Load is the callee's report, if HasLoad is set.
	Load    Load
	HasLoad bool
}

// Router chooses instances for calls.
type Router interface {
	// Pick chooses an instance of the service that is not in avoid. A key
	// makes its rendezvous owner the first choice. It returns ErrNoInstance.
	Pick(service ServiceName, key string, avoid []InstanceID) (Instance, error)
	// Started notes a call in flight; the function it returns notes its end.
	Started(id InstanceID) func(Observation)
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
	// Answer is kept for repeats of a completed request.
	Answer *Answer `json:"answer,omitempty"`
	// Version is the row's version.
	Version RowVersion `json:"version"`
}

// Claims makes requests run at most once.
type Claims interface {
	// Take claims the call's key at its expected row version for its attempt.
	// ErrClaimed, ErrVoided and ErrMismatch come with the present row; with ErrVoided
	// a new attempt may be made at the row's version. ErrUnavailable means
	// that the attempt must not run.
	Take(ctx context.Context, call *Call, deadline time.Time) (Claim, error)
	// Complete keeps the answer for repeats.
	Complete(ctx context.Context, claim Claim, answer *Answer) error
	// Void declares that the held claim's attempt did not run.
	Void(ctx context.Context, claim Claim) error
	// VoidAttempt declares an attempt not run that was sent and whose answer was lost.
	// nil means that it did not and will not run. ErrClaimed comes with the row that
	// won, which may be completed. Other errors: the outcome is unknown.
	VoidAttempt(ctx context.Context, call *Call) (Claim, error)
	// Lookup returns the row of a key, or ErrNotFound.
	Lookup(ctx context.Context, customer CustomerID, key string) (Claim, error)
	// Settle ends a claim whose holder died, by an operator's decision.
	Settle(ctx context.Context, customer CustomerID, key string, expected RowVersion, ran bool) (Claim, error)
}

// Quota holds the customers' rate limits on this node.
type Quota interface {
	// AllowLevel takes work units and reports whether they were available. If
	// not, the duration tells when to try again. A customer over its rate is
	// refused deferrable requests first and critical ones last.
	AllowLevel(record ContractRecord, units WorkUnits, level Importance) (bool, time.Duration)
}

// Clock is a hybrid logical clock, which orders events over all processes.
type Clock interface {
	Now() event.Stamp
	// Observe moves the clock past a stamp received from another process.
	Observe(stamp event.Stamp)
}

// Recorder takes events for the time line.
type Recorder interface {
	Record(kind event.Kind, fields event.Fields)
}
