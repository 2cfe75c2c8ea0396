package lagoonbarrow

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"
	"strconv"
)

// InstanceID identifies one node process and the backend server beside it. A
// restarted process keeps the id if its settings keep it. Its Incarnation
// distinguishes it from the earlier process.
type InstanceID string

// ServiceName identifies a group of backend servers that serve the same calls.
type ServiceName string

// Zone identifies an availability zone.
type Zone string

// Region identifies a region, which holds several availability zones.
type Region string

// Address is an IP address and port, such as "127.0.0.1:7000".
type Address string

// Valid reports whether the address has an IP address and a port.
func (a Address) Valid() bool {
	parsed, err := netip.ParseAddrPort(string(a))
	return err == nil && parsed.Port() > 0
}

// CustomerID identifies a customer, the organisation that a contract is made with.
type CustomerID string

// ClassName identifies a class of requests within a contract.
type ClassName string

// RequestID identifies one request of a customer. All calls made for the request carry it.
type RequestID string

// CallID identifies one attempt at one call.
type CallID string

// AttemptID identifies one attempt to run an at-most-once request.
type AttemptID string

// ChangeID identifies one change of a contract.
type ChangeID string

// Incarnation orders the announcements of one instance. The highest one applies.
type Incarnation uint64

// Revision counts the accepted contract changes of all customers.
type Revision uint64

// ContractVersion counts the accepted changes of one customer's contract.
type ContractVersion uint64

// Era counts how often the platform's store was restored from an older copy. A store that
// doesn't count it is always in era 0.
type Era uint16

// RowVersion is the version of a row in the platform's table; 0 means that
// the row does not exist. It holds the store's era and the number that the store has given
// out in it. A restored store gives out numbers again, so that only a later era makes its
// versions the higher ones.
type RowVersion uint64

// rowNumberBits is the number of low bits of a RowVersion that hold the store's number.
const rowNumberBits = 48

// MaxRowNumber is the highest number of a RowVersion.
const MaxRowNumber = 1<<rowNumberBits - 1

// NewRowVersion returns the version with a number, of at most MaxRowNumber, of an era.
func NewRowVersion(era Era, number uint64) RowVersion {
	return RowVersion(uint64(era)<<rowNumberBits | number&MaxRowNumber)
}

// Era returns the era in which the store had this version.
func (v RowVersion) Era() Era {
	return Era(v >> rowNumberBits)
}

// Number returns the number that the store has given out.
func (v RowVersion) Number() uint64 {
	return uint64(v) & MaxRowNumber
}

// String returns the number, after the era if there is one, such as "2/870".
func (v RowVersion) String() string {
	number := strconv.FormatUint(v.Number(), 10)
	if v.Era() == 0 {
		return number
	}
	return strconv.Itoa(int(v.Era())) + "/" + number
}

// Tokens counts the additional attempts that a request may still make.
type Tokens int

// WorkUnits measures the work that a customer requests.
type WorkUnits float64

// Priority orders requests. Higher values are more important. NewPriority
// returns the priority of a request.
type Priority uint8

// Threshold is the lowest Priority that is admitted; 0 admits everything and
// 256 nothing.
type Threshold uint16

// Importance is the level of importance of a class of requests.
type Importance uint8

// The levels of importance, in the order in which requests are shed.
const (
	ImportanceNone Importance = iota
	ImportanceDeferrable
	ImportanceNormal
	ImportanceCritical
)

// prioritiesPerLevel is the number of priorities within one importance level.
const prioritiesPerLevel = 64

// NewPriority orders the requests of an importance level by a hash of their
// ids. All nodes on the path of a request therefore shed the same requests.
func NewPriority(level Importance, requestHash uint64) Priority {
	return Priority(uint64(level)*prioritiesPerLevel + requestHash%prioritiesPerLevel)
}

// prioritiesPerRouteLevel is the number of priorities of each route importance within the
// importance of a customer.
const prioritiesPerRouteLevel = 16

// NewCustomerPriority orders the requests of customers by the importance of the customer,
// then by that of the route, then by a hash of their ids.
func NewCustomerPriority(customer, route Importance, requestHash uint64) Priority {
	position := uint64(route)*prioritiesPerRouteLevel + requestHash%prioritiesPerRouteLevel
	return Priority(uint64(customer)*prioritiesPerLevel + position)
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
