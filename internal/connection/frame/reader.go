package frame

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// readBufferBytes holds a call with a small body whole, so that most exchanges
// need one read.
const readBufferBytes = 4 << 10

// Reader reads frames. Its buffers are reused between frames; decoded values
// hold copies. A Reader is not safe for concurrent use.
type Reader struct {
	in      *bufio.Reader
	limit   int
	body    []byte
	source  bytes.Reader
	decoder *msgpack.Decoder
}

// NewReader returns a reader that accepts frame bodies of at most limit bytes;
// 0 means DefaultBytes.
func NewReader(in io.Reader, limit int) *Reader {
	r := &Reader{
		in:    bufio.NewReaderSize(in, readBufferBytes),
		limit: limitOf(limit),
	}
	r.decoder = msgpack.NewDecoder(&r.source)
	return r
}

// SetLimit changes the limit of frame bodies. Connections use a small limit
// until their peer is authenticated.
func (r *Reader) SetLimit(limit int) {
	r.limit = limitOf(limit)
}

// Buffered returns the number of bytes received and not yet read.
func (r *Reader) Buffered() int {
	return r.in.Buffered()
}

// Wait blocks until the next byte has arrived or reading fails. It lets a
// caller start a time limit only when a frame begins.
func (r *Reader) Wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Read reads the next frame into value. It returns io.EOF at the end of the
// stream, ErrTooLarge for a body over the limit, and ErrFrame for a damaged,
// cut or undecodable frame. Other errors are those of the stream.
func (r *Reader) Read(value any) error {
	body, err := r.next()
	if err != nil {
		return err
	}
	r.source.Reset(body)
	r.decoder.Reset(&r.source)
	// The decoder allocates slices and byte strings by their declared length.
	// Skipping over the body first shows that the declared lengths are backed by
	// bytes, so that a short frame can't demand gigabytes.
	if err := r.decoder.Skip(); err != nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: decode: "+err.Error())
	}
	r.source.Reset(body)
	r.decoder.Reset(&r.source)
	if err := r.decoder.Decode(value); err != nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: decode: "+err.Error())
	}
	if r.source.Len() != 0 {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: bytes after the body")
	}
	return nil
}

// next returns the next body, which is valid until the following call.
func (r *Reader) next() ([]byte, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, cut(err, "read header")
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(r.limit) {
		return nil, wrap(lagoonbarrow.ErrTooLarge, "read header")
	}
	body := r.space(int(size))
	if _, err := io.ReadFull(r.in, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, cut(err, "read body")
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[crcOffset:]) {
		return nil, wrap(lagoonbarrow.ErrFrame, "checksum")
	}
	return body, nil
}

// space returns a buffer of the given size.
func (r *Reader) space(size int) []byte {
	if size > cap(r.body) {
		r.body = make([]byte, size)
	}
	return r.body[:size]
}

// Release drops a large buffer. Connections call it when they become idle.
func (r *Reader) Release() {
	if cap(r.body) <= keepBytes {
		return
	}
	r.body = nil
	// The decoder keeps a buffer of the longest string that it skipped.
	r.decoder = msgpack.NewDecoder(&r.source)
}

// cut turns an end of the stream within a frame into ErrFrame.
func cut(err error, action string) error {
	if err == io.EOF {
		return err
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(lagoonbarrow.ErrFrame, "frame: "+action+": stream ended")
	}
	return wrap(err, action)
}
