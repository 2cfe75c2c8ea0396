package frame

import (
	"bytes"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// pooledDecoder is a decoder with its input.
type pooledDecoder struct {
	input   bytes.Reader
	decoder *msgpack.Decoder
}

// decoders holds idle decoders. The library's own pool is not used, since a decoder
// must not be reused after an error. Each declared length without enough bytes after
// it can grow the decoder's buffer by up to 1 MiB, and the buffer never shrinks.
var decoders = sync.Pool{
	New: func() any {
		return &pooledDecoder{
			decoder: msgpack.NewDecoder(nil),
		}
	},
}

// Unmarshal decodes one msgpack value that was received from another process. It
// returns ErrInvalidFrame unless raw is exactly one value that fits into value. Unlike
// msgpack.Unmarshal, it does not allocate memory for a declared length if the input is
// shorter.
func Unmarshal(raw []byte, value any) error {
	d := decoders.Get().(*pooledDecoder)
	if err := d.decode(raw, value); err != nil {
		return err
	}
	d.input.Reset(nil)
	decoders.Put(d)
	return nil
}

func (d *pooledDecoder) decode(raw []byte, value any) error {
	// The decoder allocates slices and byte strings of their declared length. The check
	// fails if the input is shorter than that, so a short frame can't make the decoder
	// allocate gigabytes.
	d.reset(raw)
	if err := checkValue(d.decoder); err != nil {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "frame: decode: "+err.Error())
	}
	if d.input.Len() != 0 {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "frame: bytes after the value")
	}
	d.reset(raw)
	if err := d.decoder.Decode(value); err != nil {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "frame: decode: "+err.Error())
	}
	return nil
}

func (d *pooledDecoder) reset(raw []byte) {
	d.input.Reset(raw)
	d.decoder.Reset(&d.input)
}
