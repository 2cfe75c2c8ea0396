package lagoonbarrow

import (
	"crypto/rand"
	"encoding/hex"
)

// InstanceID names one node process and the backend server beside it. A
// restarted process keeps its id if its settings keep it, and is told apart
// by its Incarnation.
type InstanceID string

// ServiceName names a group of backend servers that serve the same calls.
type ServiceName string

// Zone names an availability zone.
type Zone string

// Region names a region, which holds several availability zones.
type Region string

// Address is an IP address and port, such as "127.0.0.1:7000".
type Address string

// CustomerID names a customer, the party a contract is made with.
type CustomerID string

// ClassName names a class of requests within a contract.
type ClassName string

// RequestID names one request of a customer; all calls made for it carry it.
type RequestID string

// CallID names one attempt at one call.
type CallID string

// AttemptID names one attempt at running a request at most once.
type AttemptID string

// ChangeID names one change of a contract.
type ChangeID string

// Incarnation orders the announcements of one instance; higher wins.
type Incarnation uint64

// Revision counts the accepted contract changes of all customers.
type Revision uint64

// ContractVersion counts the accepted changes of one customer's contract.
type ContractVersion uint64

// RowVersion is the version of a row in the platform's table; 0 means that
// the row does not exist.
type RowVersion uint64

// Tokens counts the additional attempts that a request may still make.
type Tokens int

// WorkUnits measures work that a customer asks for.
type WorkUnits float64

// Priority orders requests; higher is more important. It is composed by
// NewPriority.
type Priority uint8

// Threshold is the lowest Priority that is admitted; 0 admits everything and
// 256 nothing.
type Threshold uint16

// Importance is the level of a class of requests.
type Importance uint8

// The levels of importance, from the first to be shed to the last.
const (
	ImportanceNone Importance = iota
	ImportanceDeferrable
	ImportanceNormal
	ImportanceCritical
)

// prioritiesPerLevel is the number of priorities within one importance level.
const prioritiesPerLevel = 64

// NewPriority places a request within its importance level by a hash of its
// id, so that every node on its path sheds the same requests of a level.
func NewPriority(level Importance, requestHash uint64) Priority {
	return Priority(uint64(level)*prioritiesPerLevel + requestHash%prioritiesPerLevel)
}

// Importance returns the level that the priority belongs to.
func (p Priority) Importance() Importance {
	return Importance(p / prioritiesPerLevel)
}

// Admits reports whether a request of the given priority passes the threshold.
func (t Threshold) Admits(p Priority) bool {
	return Threshold(p) >= t
}

// CriticalThreshold is the highest threshold that admits all critical work.
const CriticalThreshold = Threshold(ImportanceCritical) * prioritiesPerLevel

// idBytes is the number of random bytes in a generated id.
const idBytes = 12

func newID() string {
	var raw [idBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// NewRequestID returns a random request id.
func NewRequestID() RequestID {
	return RequestID(newID())
}

// NewCallID returns a random call id.
func NewCallID() CallID {
	return CallID(newID())
}

// NewAttemptID returns a random attempt id.
func NewAttemptID() AttemptID {
	return AttemptID(newID())
}

// NewChangeID returns a random change id.
func NewChangeID() ChangeID {
	return ChangeID(newID())
}
