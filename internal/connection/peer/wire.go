package peer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// protocolVersion is the version of the frames in this file. Since version 2 heads
// are arrays, and a body within the head frame needs no end frame.
const protocolVersion = 2

const (
	// inlineBytes is the largest body that travels in the head frame.
	inlineBytes = 4 << 10
	// chunkBytes is the size of body frames. It is well below the frame limit and
	// large enough that a frame's fixed cost doesn't matter.
	chunkBytes = 64 << 10
	// chunkOverhead is room for a body frame's other fields.
	chunkOverhead = 256
)

// purpose tells what a connection is used for.
type purpose string

const (
	purposeCalls   purpose = "calls"
	purposeControl purpose = "control"
)

// refusalReason tells why a handshake was refused.
type refusalReason string

const (
	refusedVersion         refusalReason = "version"
	refusedUnauthenticated refusalReason = "unauthenticated"
	refusedLimit           refusalReason = "limit"
)

// packet is the body of every frame. Exactly one field is set.
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
}

type hello struct {
	Version   int                     `msgpack:"version"`
	Instance  lagoonbarrow.InstanceID `msgpack:"instance"`
	Address   lagoonbarrow.Address    `msgpack:"address,omitempty"`
	Purpose   purpose                 `msgpack:"purpose"`
	Challenge []byte                  `msgpack:"challenge"`
}

type challenge struct {
	Version   int                     `msgpack:"version"`
	Instance  lagoonbarrow.InstanceID `msgpack:"instance"`
	Challenge []byte                  `msgpack:"challenge"`
	Proof     []byte                  `msgpack:"proof"`
}

type proof struct {
	Proof []byte `msgpack:"proof"`
}

type refusal struct {
	Version int           `msgpack:"version"`
	Reason  refusalReason `msgpack:"reason"`
}

// callHead is a call whose body is inline or follows in body frames. It is encoded
// as an array: names of fields would be more bytes than their values. New fields
// are added at the end.
type callHead struct {
	_msgpack          struct{} `msgpack:",as_array"`
	lagoonbarrow.Call `msgpack:",inline"`
	BodyBytes         int `msgpack:"body-bytes"`
}

// answer is an answer whose body is inline or follows in body frames. It is encoded
// like callHead.
type answer struct {
	_msgpack            struct{} `msgpack:",as_array"`
	lagoonbarrow.Answer `msgpack:",inline"`
	BodyBytes           int `msgpack:"body-bytes"`
}

type message struct {
	ID        string `msgpack:"id"`
	Kind      string `msgpack:"kind"`
	Body      []byte `msgpack:"body,omitempty"`
	BodyBytes int    `msgpack:"body-bytes"`
}

type reply struct {
	ID        string `msgpack:"id"`
	Kind      string `msgpack:"kind"`
	Error     string `msgpack:"error,omitempty"`
	Body      []byte `msgpack:"body,omitempty"`
	BodyBytes int    `msgpack:"body-bytes"`
}

// chunk is a part of a body.
type chunk struct {
	ID   string `msgpack:"id"`
	Data []byte `msgpack:"data"`
}

// end closes a call or answer, and a message or reply with body frames.
type end struct {
	ID    string `msgpack:"id"`
	Total int    `msgpack:"total"`
	// Checksum is the xxHash64 of the body.
	Checksum uint64 `msgpack:"checksum"`
}

// goingAway asks the client to close the connection when no call is running.
type goingAway struct{}

// inline returns the body if it travels in the head frame.
func inline(body []byte) []byte {
	if !singleFrame(body) {
		return nil
	}
	return body
}

// endOf returns the end frame for a body.
func endOf(id string, body []byte) *end {
	return &end{
		ID:       id,
		Total:    len(body),
		Checksum: xxhash.Sum64(body),
	}
}

// matches checks that a body is the one that was sent. It returns ErrFrame.
func (e *end) matches(id string, body []byte) error {
	if e.ID != id || e.Total != len(body) || e.Checksum != xxhash.Sum64(body) {
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: end frame does not match the body")
	}
	return nil
}
