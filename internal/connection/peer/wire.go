package peer

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// protocolVersion is the version of the packets in this file. Since version 2 the
// heads of calls and answers are arrays, and an inline body has no end frame.
const protocolVersion = 2

const (
	// inlineBytes is the size of the largest body that is sent within the head frame.
	inlineBytes = 4 << 10
	// chunkBytes is the size of the data in a body frame. It is well below the default
	// frame limit, and large enough to make the fixed cost of a frame negligible.
	chunkBytes = 64 << 10
	// chunkOverhead is the space reserved for the other fields of a body frame.
	chunkOverhead = 256
)

// purpose is what a connection is used for.
type purpose string

const (
	purposeCalls   purpose = "calls"
	purposeControl purpose = "control"
)

// refusalReason is the reason for which a handshake was refused.
type refusalReason string

const (
	refusedVersion         refusalReason = "version"
	refusedUnauthenticated refusalReason = "unauthenticated"
	refusedLimit           refusalReason = "limit"
)

// packet is the content of a frame. Exactly one field is set, besides Announcement,
// SlotTime and Services.
type packet struct {
	Hello     *hello     `msgpack:"hello,omitempty"`
	Challenge *challenge `msgpack:"challenge,omitempty"`
	Proof     *proof     `msgpack:"proof,omitempty"`
	Refusal   *refusal   `msgpack:"refusal,omitempty"`
	Call      *callHead  `msgpack:"call,omitempty"`
	Answer    *answer    `msgpack:"answer-head,omitempty"`
	Message   *message   `msgpack:"message,omitempty"`
	Reply     *reply     `msgpack:"reply,omitempty"`
	Body      *chunk     `msgpack:"body,omitempty"`
	End       *end       `msgpack:"end,omitempty"`
	GoingAway *goingAway `msgpack:"going-away,omitempty"`
	// Announcement accompanies a call or an answer. It is no field of their arrays, since
	// nodes without it would refuse these.
	Announcement *lagoonbarrow.Announcement `msgpack:"announcement,omitempty"`
	// SlotTime is Load.SlotTime of an answer, beside the array for the same reason.
	SlotTime time.Duration `msgpack:"slot-time,omitempty"`
	// Services accompanies an answer, for the same reason.
	Services []lagoonbarrow.ServiceThreshold `msgpack:"services,omitempty"`
}

// hello is the first packet of the handshake, sent by the client.
type hello struct {
	Version   int                     `msgpack:"version"`
	Instance  lagoonbarrow.InstanceID `msgpack:"instance"`
	Address   lagoonbarrow.Address    `msgpack:"address,omitempty"`
	Purpose   purpose                 `msgpack:"purpose"`
	Challenge []byte                  `msgpack:"challenge"`
}

// challenge is the server's response to a hello, with the server's proof.
type challenge struct {
	Version   int                     `msgpack:"version"`
	Instance  lagoonbarrow.InstanceID `msgpack:"instance"`
	Challenge []byte                  `msgpack:"challenge"`
	Proof     []byte                  `msgpack:"proof"`
}

// proof completes the handshake. The client sends it with its first call.
type proof struct {
	Proof []byte `msgpack:"proof"`
}

// refusal reports a failed handshake to the client.
type refusal struct {
	Version int           `msgpack:"version"`
	Reason  refusalReason `msgpack:"reason"`
}

// callHead is a call whose body is inline or follows in body frames. It is encoded
// as an array, because field names would take more bytes than the values. New fields
// must be added at the end.
type callHead struct {
	_msgpack          struct{} `msgpack:",as_array"`
	lagoonbarrow.Call `msgpack:",inline"`
	BodyBytes         int `msgpack:"body-bytes"`
}

// answer is the answer to a call. Its body is inline or follows in body frames. It is
// encoded like callHead.
type answer struct {
	_msgpack            struct{} `msgpack:",as_array"`
	lagoonbarrow.Answer `msgpack:",inline"`
	BodyBytes           int `msgpack:"body-bytes"`
}

// message is a control message whose body is inline or follows in body frames.
type message struct {
	ID        string `msgpack:"id"`
	Kind      string `msgpack:"kind"`
	Body      []byte `msgpack:"body,omitempty"`
	BodyBytes int    `msgpack:"body-bytes"`
}

// reply is the response to a control message.
type reply struct {
	ID        string `msgpack:"id"`
	Kind      string `msgpack:"kind"`
	Error     string `msgpack:"error,omitempty"`
	Body      []byte `msgpack:"body,omitempty"`
	BodyBytes int    `msgpack:"body-bytes"`
}

// chunk is a part of a body that is too large for the head frame.
type chunk struct {
	ID   string `msgpack:"id"`
	Data []byte `msgpack:"data"`
}

// end follows the last body frame of a call, answer, message or reply.
type end struct {
	ID    string `msgpack:"id"`
	Total int    `msgpack:"total"`
	// Checksum is the xxHash64 of the body.
	Checksum uint64 `msgpack:"checksum"`
}

// goingAway requests that the client close the connection once no call is running.
type goingAway struct{}

// inlineBody returns the body if it is sent within the head frame, and nil otherwise.
func inlineBody(body []byte) []byte {
	if !fitsInHead(body) {
		return nil
	}
	return body
}

// newEnd returns the end frame for a body.
func newEnd(id string, body []byte) *end {
	return &end{
		ID:       id,
		Total:    len(body),
		Checksum: xxhash.Sum64(body),
	}
}

// matches returns ErrInvalidFrame if the id, length or checksum differs from the body's.
func (e *end) matches(id string, body []byte) error {
	if e.ID != id || e.Total != len(body) || e.Checksum != xxhash.Sum64(body) {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: end frame does not match the body")
	}
	return nil
}
