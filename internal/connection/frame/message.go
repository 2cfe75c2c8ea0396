package frame

import (
	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// EncodeMessage returns a control message of a kind with an encoded body.
func EncodeMessage(kind string, body any) (lagoonbarrow.Message, error) {
	encoded, err := msgpack.Marshal(body)
	if err != nil {
		return lagoonbarrow.Message{}, errors.Wrapf(err, "frame: encode %s", kind)
	}
	return lagoonbarrow.Message{
		Kind: kind,
		Body: encoded,
	}, nil
}

// DecodeMessage decodes the body of a control message. It returns ErrInvalid for a malformed
// one.
func DecodeMessage(message lagoonbarrow.Message, into any) error {
	if err := Unmarshal(message.Body, into); err != nil {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "frame: decode %s: %v", message.Kind, err)
	}
	return nil
}
