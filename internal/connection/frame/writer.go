package frame

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// keepBytes is the largest buffer that Release keeps. Larger ones are dropped, so
// that one large answer doesn't pin memory on an idle connection.
const keepBytes = 4 << 10

// Writer writes frames. It collects appended frames and sends them with one
// write. A Writer is not safe for concurrent use.
type Writer struct {
	out     io.Writer
	limit   int
	buffer  bytes.Buffer
	encoder *msgpack.Encoder
}

// NewWriter returns a writer whose frame bodies have at most limit bytes; 0
// means DefaultBytes.
func NewWriter(out io.Writer, limit int) *Writer {
	w := &Writer{
		out:   out,
		limit: limitOf(limit),
	}
	w.encoder = msgpack.NewEncoder(&w.buffer)
	w.encoder.UseCompactInts(true)
	return w
}

// Append encodes value as a frame without sending it. It returns ErrTooLarge
// when the body exceeds the limit; frames appended before stay in place.
func (w *Writer) Append(value any) error {
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

// Buffered returns the number of bytes that were appended and not yet sent.
func (w *Writer) Buffered() int {
	return w.buffer.Len()
}

// Flush sends the appended frames with one write. It returns the number of
// bytes written; with an error the receiver did not get the last frame whole.
func (w *Writer) Flush() (int, error) {
	if w.buffer.Len() == 0 {
		return 0, nil
	}
	n, err := w.out.Write(w.buffer.Bytes())
	w.buffer.Reset()
	if err != nil {
		return n, wrap(err, "write")
	}
	return n, nil
}

// Discard drops the appended frames.
func (w *Writer) Discard() {
	w.buffer.Reset()
}

// Release drops a large buffer. Connections call it when they become idle.
func (w *Writer) Release() {
	if w.buffer.Cap() > keepBytes && w.buffer.Len() == 0 {
		w.buffer = bytes.Buffer{}
	}
}

// Write sends value as one frame.
func (w *Writer) Write(value any) error {
	if err := w.Append(value); err != nil {
		return err
	}
	_, err := w.Flush()
	return err
}
