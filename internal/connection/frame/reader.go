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

// readBufferBytes is large enough for a call with a small body, so most exchanges
// need one read.
const readBufferBytes = 4 << 10

// smallBufferBytes is the size of the small buffer that each reader keeps.
const smallBufferBytes = 1 << 10

// bodyBuffers holds large buffers that no reader uses.
var bodyBuffers = sync.Pool{
	New: func() any {
		return &[]byte{}
	},
}

// Reader reads frames. It reuses its buffers between frames, and decoded values hold
// copies. A Reader is not safe for concurrent use.
type Reader struct {
	in    *bufio.Reader
	limit int
	// largeBuffer is a buffer from bodyBuffers, or nil.
	largeBuffer *[]byte
	smallBuffer []byte
}

// NewReader returns a reader that accepts frame bodies of at most limit bytes. A limit
// of 0 means DefaultBytes.
func NewReader(in io.Reader, limit int) *Reader {
	return &Reader{
		in:    bufio.NewReaderSize(in, readBufferBytes),
		limit: limitOrDefault(limit),
	}
}

// SetLimit changes the size limit of frame bodies. Connections use a small limit until
// their peer is authenticated.
func (r *Reader) SetLimit(limit int) {
	r.limit = limitOrDefault(limit)
}

// Buffered returns the number of bytes that were received but not yet read as frames.
func (r *Reader) Buffered() int {
	return r.in.Buffered()
}

// Wait blocks until the next byte has arrived or reading fails. With it a caller can
// start a timeout only when a frame begins.
func (r *Reader) Wait() error {
	_, err := r.in.Peek(1)
	return err
}

// Read decodes the next frame into value. It returns io.EOF at the end of the stream,
// ErrTooLarge for a body over the limit, and ErrInvalidFrame for a damaged, truncated or
// undecodable frame. Other errors come from the stream.
func (r *Reader) Read(value any) error {
	body, err := r.nextBody()
	if err != nil {
		return err
	}
	return Unmarshal(body, value)
}

// nextBody returns the body of the next frame, which is valid until the next call.
func (r *Reader) nextBody() ([]byte, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r.in, header[:]); err != nil {
		return nil, wrapReadError(err, "read header")
	}
	size := int64(binary.BigEndian.Uint32(header[:]))
	if size > int64(r.limit) {
		return nil, wrap(lagoonbarrow.ErrTooLarge, "read header")
	}
	body := r.buffer(int(size))
	if _, err := io.ReadFull(r.in, body); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, wrapReadError(err, "read body")
	}
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(header[crcOffset:]) {
		return nil, wrap(lagoonbarrow.ErrInvalidFrame, "checksum")
	}
	return body, nil
}

// buffer returns a buffer of the given size, which is valid until the next call.
func (r *Reader) buffer(size int) []byte {
	if size <= smallBufferBytes {
		if r.smallBuffer == nil {
			r.smallBuffer = make([]byte, smallBufferBytes)
		}
		return r.smallBuffer[:size]
	}
	if r.largeBuffer == nil {
		r.largeBuffer = bodyBuffers.Get().(*[]byte)
	}
	if size > cap(*r.largeBuffer) {
		*r.largeBuffer = make([]byte, size)
	}
	return (*r.largeBuffer)[:size]
}

// Release returns the large buffer to the pool. Connections call it when they become
// idle.
func (r *Reader) Release() {
	if r.largeBuffer == nil {
		return
	}
	bodyBuffers.Put(r.largeBuffer)
	r.largeBuffer = nil
}

// wrapReadError replaces an end of the stream within a frame by ErrInvalidFrame. It returns
// io.EOF unchanged.
func wrapReadError(err error, action string) error {
	if err == io.EOF {
		return err
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "frame: "+action+": stream ended")
	}
	return wrap(err, action)
}
