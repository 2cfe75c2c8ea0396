package frame

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// encodeBuffers holds idle encoding buffers. Thus an idle connection has no buffer, and
// a busy one rarely allocates one.
var encodeBuffers = sync.Pool{
	New: func() any {
		return &bytes.Buffer{}
	},
}

// Writer writes frames. It buffers appended frames and sends them with one write. A
// Writer is not safe for concurrent use.
type Writer struct {
	out   io.Writer
	limit int
	// buffer and encoder are nil while no frame is appended.
	buffer  *bytes.Buffer
	encoder *msgpack.Encoder
}

// NewWriter returns a writer for frame bodies of at most limit bytes. A limit of 0 means
// DefaultBytes.
func NewWriter(out io.Writer, limit int) *Writer {
	return &Writer{
		out:   out,
		limit: limitOrDefault(limit),
	}
}

// ensureBuffer takes a buffer and an encoder from their pools if there are none.
func (w *Writer) ensureBuffer() {
	if w.buffer != nil {
		return
	}
	w.buffer = encodeBuffers.Get().(*bytes.Buffer)
	w.encoder = msgpack.GetEncoder()
	w.encoder.Reset(w.buffer)
	w.encoder.UseCompactInts(true)
}

// Append encodes value as a frame without sending it. It returns ErrTooLarge if the
// body exceeds the limit. After an error the frames appended before are kept.
func (w *Writer) Append(value any) error {
	w.ensureBuffer()
	start := w.buffer.Len()
	var header [HeaderBytes]byte
	w.buffer.Write(header[:])
	if err := w.encoder.Encode(value); err != nil {
		w.buffer.Truncate(start)
		return wrap(err, "encode")
	}
	body := w.buffer.Bytes()[start+HeaderBytes:]
	if len(body) > w.limit {
		w.buffer.Truncate(start)
		return wrap(lagoonbarrow.ErrTooLarge, "encode")
	}
	head := w.buffer.Bytes()[start:]
	binary.BigEndian.PutUint32(head, uint32(len(body)))
	binary.BigEndian.PutUint32(head[crcOffset:], crc32.Checksum(body, castagnoli))
	return nil
}

// Buffered returns the number of bytes that were appended but not yet sent.
func (w *Writer) Buffered() int {
	if w.buffer == nil {
		return 0
	}
	return w.buffer.Len()
}

// Flush sends the appended frames with one write. The error is nil if and only if the
// last byte was accepted. Otherwise the receiver can't receive the last frame whole.
func (w *Writer) Flush() error {
	size := w.Buffered()
	if size == 0 {
		return nil
	}
	n, err := w.out.Write(w.buffer.Bytes())
	w.Discard()
	if err != nil && n < size {
		return wrap(err, "write")
	}
	return nil
}

// Discard drops the appended frames and returns the buffer and encoder to their pools.
func (w *Writer) Discard() {
	if w.buffer == nil {
		return
	}
	w.buffer.Reset()
	encodeBuffers.Put(w.buffer)
	w.buffer = nil
	msgpack.PutEncoder(w.encoder)
	w.encoder = nil
}

// Write sends value as one frame, after the frames appended before.
func (w *Writer) Write(value any) error {
	if err := w.Append(value); err != nil {
		return err
	}
	return w.Flush()
}
