package frame

import (
	"bytes"
	"sync"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// source is a decoder with the reader that it decodes from.
type source struct {
	in      bytes.Reader
	decoder *msgpack.Decoder
}

// sources holds idle decoders. It is not the library's own pool, since a decoder
// that failed must not be used again: its buffer grows by up to 1 MiB with each
// declared length that no bytes back, and stays that large.
var sources = sync.Pool{
	New: func() any {
		return &source{
			decoder: msgpack.NewDecoder(nil),
		}
	},
}

// Unmarshal decodes one msgpack value that came from another process. It returns
// ErrFrame unless raw is exactly one value that fits. Unlike msgpack.Unmarshal, it
// does not allocate by declared lengths that no bytes back.
func Unmarshal(raw []byte, value any) error {
	from := sources.Get().(*source)
	if err := from.decode(raw, value); err != nil {
		return err
	}
	from.in.Reset(nil)
	sources.Put(from)
	return nil
}

func (s *source) decode(raw []byte, value any) error {
	// The decoder allocates slices and byte strings by their declared length.
	// Skipping over the value first shows that bytes back the declared lengths, so
	// that a short frame can't demand gigabytes.
	s.reset(raw)
	if err := s.decoder.Skip(); err != nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: decode: "+err.Error())
	}
	if s.in.Len() != 0 {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: bytes after the value")
	}
	s.reset(raw)
	if err := s.decoder.Decode(value); err != nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: decode: "+err.Error())
	}
	return nil
}

func (s *source) reset(raw []byte) {
	s.in.Reset(raw)
	s.decoder.Reset(&s.in)
}
