package quota

import (
	"math"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// KindCustomerTokens is the kind of the messages between nodes and the keepers of accounts.
const KindCustomerTokens = "customer-tokens"

const (
	// maxTokens bounds each number of requests in a message.
	maxTokens = 1 << 20
	// maxMembers bounds the number of members that a node may report.
	maxMembers = 1 << 17
	// maxPressure bounds the demand that a reply reports, as a multiple of the rate.
	maxPressure = 1e6
	// maxCustomerBytes bounds the id of a customer in a message.
	maxCustomerBytes = 4 << 10
)

// tokenRequest is the message of a node to the keeper of a group. It is encoded as an array,
// because most messages have only one entry or none.
type tokenRequest struct {
	_msgpack struct{} `msgpack:",as_array"`

	// Process is the sender's process.
	Process processID
	Group   int
	// Sequence increases with each message of a process.
	Sequence uint64
	// KeeperProcess and Echo repeat the process and the time of the keeper's last reply.
	KeeperProcess processID
	Echo          time.Duration
	// Vote is set if the keeper may count the sender's vote.
	Vote bool
	// Release takes the vote back.
	Release bool
	// Size is the number of members that the sender knows.
	Size    int
	Version lagoonbarrow.ConfigurationVersion
	Entries requestEntryList
}

// requestEntry is what a node needs for one customer.
type requestEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Customer lagoonbarrow.CustomerID
	// Waiting is the number of requests that wait for a token.
	Waiting int
	// Ahead is the number of requests expected next.
	Ahead int
	// Arrived is the number of requests since the last message, with those refused.
	Arrived int
	// Returned is the number of tokens that the node gives back.
	Returned int
	// Expired is the number of tokens that expired unused since the last message. They are not
	// granted again.
	Expired int
}

// tokenReply is the reply of a keeper.
type tokenReply struct {
	_msgpack struct{} `msgpack:",as_array"`

	Process processID
	// Time is the keeper's own time, which the node's next message repeats.
	Time time.Duration
	// Stopped is set if the keeper has released all votes and grants nothing any more.
	Stopped bool
	// Voted is set if the sender's vote counts.
	Voted bool
	// Share is the fraction of the rates that the keeper may grant.
	Share   float64
	Version lagoonbarrow.ConfigurationVersion
	Entries replyEntryList
}

// replyEntry is what a keeper grants for one customer.
type replyEntry struct {
	_msgpack struct{} `msgpack:",as_array"`

	Customer lagoonbarrow.CustomerID
	Granted  int
	// Wait is the time after which the node may ask again, if it has got too few tokens.
	Wait time.Duration
	// Usage is the fraction of the rate that all nodes have used recently.
	Usage float64
	// Pressure is the demand of all nodes as a fraction of what the keeper may grant.
	Pressure float64
	// Fresh is set if the bucket may lack tokens because the keeper has just begun.
	Fresh bool
	// Unknown is set if the keeper's configuration has no limit for the customer.
	Unknown bool
}

// requestEntryList and replyEntryList have custom decoders for the reason that
// reportEntries has one.
type requestEntryList []requestEntry

type replyEntryList []replyEntry

// DecodeMsgpack returns ErrTooLarge for more than maxEntries entries.
func (l *requestEntryList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decodeEntryCount(decoder)
	if err != nil || count <= 0 {
		return err
	}
	entries := make(requestEntryList, count)
	for i := range entries {
		if err := decoder.Decode(&entries[i]); err != nil {
			return err
		}
	}
	*l = entries
	return nil
}

// DecodeMsgpack returns ErrTooLarge for more than maxEntries entries.
func (l *replyEntryList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decodeEntryCount(decoder)
	if err != nil || count <= 0 {
		return err
	}
	entries := make(replyEntryList, count)
	for i := range entries {
		if err := decoder.Decode(&entries[i]); err != nil {
			return err
		}
	}
	*l = entries
	return nil
}

func decodeTokenRequest(message lagoonbarrow.Message) (*tokenRequest, error) {
	decoded := &tokenRequest{}
	if err := frame.DecodeMessage(message, decoded); err != nil {
		return nil, err
	}
	if decoded.Group < 0 || decoded.Group >= keeperGroups || decoded.Size < 0 || decoded.Size > maxMembers || decoded.Echo < 0 {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: group %d, size %d, echo %s", decoded.Group, decoded.Size, decoded.Echo)
	}
	for i := range decoded.Entries {
		if entry := &decoded.Entries[i]; !entry.valid(decoded.Group) {
			return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: entry %d of a request for tokens", i)
		}
	}
	return decoded, nil
}

func (e *requestEntry) valid(group int) bool {
	return validCustomer(e.Customer) && groupOf(e.Customer) == group &&
		validTokens(e.Waiting) && validTokens(e.Ahead) && validTokens(e.Arrived) && validTokens(e.Returned) && validTokens(e.Expired)
}

func decodeTokenReply(message lagoonbarrow.Message) (*tokenReply, error) {
	decoded := &tokenReply{}
	if err := frame.DecodeMessage(message, decoded); err != nil {
		return nil, err
	}
	if !validFraction(decoded.Share, 1) || decoded.Time < 0 {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: share %g, time %s", decoded.Share, decoded.Time)
	}
	for i := range decoded.Entries {
		if entry := &decoded.Entries[i]; !entry.valid() {
			return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: entry %d of granted tokens", i)
		}
	}
	return decoded, nil
}

func (e *replyEntry) valid() bool {
	return validCustomer(e.Customer) && validTokens(e.Granted) && e.Wait >= 0 && e.Wait <= maxHold &&
		validFraction(e.Usage, math.MaxFloat64) && validFraction(e.Pressure, maxPressure)
}

func validCustomer(id lagoonbarrow.CustomerID) bool {
	return id != "" && len(id) <= maxCustomerBytes
}

func validTokens(count int) bool {
	return count >= 0 && count <= maxTokens
}

// validFraction reports whether a value lies between 0 and a bound. NaN does not.
func validFraction(value, bound float64) bool {
	return value >= 0 && value <= bound
}
