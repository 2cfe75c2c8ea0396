package frame

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
	"sync"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// readBufferBytes holds a call with a small body whole, so that most exchanges
// need one read.
const readBufferBytes = 4 << 10

// smallBytes is the size of the buffer that each reader keeps.
const smallBytes = 1 << 10

// bodies holds the large buffers of idle readers.
var bodies = sync.Pool{
	New: func() any {
		return &[]byte{}
	},
}

// Reader reads frames. Its buffers are reused between frames; decoded values
// hold copies. A Reader is not safe for concurrent use.
type Reader struct {
	in    *bufio.Reader
	limit int
	// body is a large buffer from bodies, or nil.
	body  *[]byte
	small []byte
}

// NewReader returns a reader that accepts frame bodies of at most limit bytes;
// 0 means DefaultBytes.
func NewReader(in io.Reader, limit int) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(in, readBufferBytes),
		limit: limitOf(limit),
	}
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
	return Unmarshal(body, value)
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

// space returns a buffer of the given size, which is valid until the next call.
func (r *Reader) space(size int) []byte {
	if size <= smallBytes {
		if r.small == nil {
			r.small = make([]byte, smallBytes)
		}
		return r.small[:size]
	}
	if r.body == nil {
		r.body = bodies.Get().(*[]byte)
	}
	if size > cap(*r.body) {
		*r.body = make([]byte, size)
	}
	return (*r.body)[:size]
}

// Release gives large buffers back. Connections call it when they become idle.
func (r *Reader) Release() {
	if r.body == nil {
		return
	}
	bodies.Put(r.body)
	r.body = nil
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
