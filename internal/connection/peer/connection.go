package peer

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// handshakeFrameBytes bounds the frames of a peer that is not yet authenticated.
const handshakeFrameBytes = 1 << 10

// connection is a connection that is authenticated or in its handshake.
type connection struct {
	netConn       net.Conn
	counting      *countingConn
	reader        *frame.Reader
	writer        *frame.Writer
	maxFrameBytes int
	peer          lagoonbarrow.InstanceID
	address       lagoonbarrow.Address
	purpose       purpose
	// idleSince is when a client's connection was last released.
	idleSince time.Time
	// closeAfterUse is set on a client's connection that must not be reused, for
	// example because the server is going away.
	closeAfterUse bool
	// chunkBuffer is the buffer that body frames are decoded into.
	chunkBuffer []byte
	closeOnce   sync.Once
}

// newConnection wraps a TCP connection. maxFrameBytes is the limit of frame bodies
// after the handshake.
func newConnection(netConn net.Conn, maxFrameBytes int) *connection {
	counting := &countingConn{
		Conn: netConn,
	}
	return &connection{
		netConn:       netConn,
		counting:      counting,
		reader:        frame.NewReader(counting, handshakeFrameBytes),
		writer:        frame.NewWriter(counting, maxFrameBytes),
		maxFrameBytes: maxFrameBytes,
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.netConn.Close()
	})
}

// releaseBuffers drops large buffers that are not needed while nothing is received.
func (c *connection) releaseBuffers() {
	c.reader.Release()
	c.chunkBuffer = nil
}

// read returns the next packet. It returns ErrInvalidFrame unless exactly one field is set.
func (c *connection) read() (*packet, error) {
	p := &packet{}
	if err := c.reader.Read(p); err != nil {
		return nil, err
	}
	if p.countFields() != 1 {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: frame of unknown kind")
	}
	return p, nil
}

// countFields returns the number of fields that are set.
func (p *packet) countFields() int {
	set := [...]bool{
		p.Hello != nil,
		p.Challenge != nil,
		p.Proof != nil,
		p.Refusal != nil,
		p.Call != nil,
		p.Answer != nil,
		p.Message != nil,
		p.Reply != nil,
		p.Body != nil,
		p.End != nil,
		p.GoingAway != nil,
	}
	count := 0
	for _, isSet := range set {
		if isSet {
			count++
		}
	}
	return count
}

// fitsInHead reports whether the body is sent within the head frame. The checksum of
// that frame covers the body, so no end frame follows.
func fitsInHead(body []byte) bool {
	return len(body) <= inlineBytes
}

// send writes the head frame and, if needed, the body frames and the end frame. The
// error is nil if and only if the kernel accepted the last byte.
func (c *connection) send(head *packet, id string, body []byte) error {
	if err := c.writer.Append(head); err != nil {
		return err
	}
	if fitsInHead(body) {
		return c.writer.Flush()
	}
	rest := body
	size := min(chunkBytes, c.maxFrameBytes-chunkOverhead)
	for len(rest) > 0 {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		if err := c.sendChunk(id, part); err != nil {
			return err
		}
	}
	if err := c.writer.Append(&packet{
		End: newEnd(id, body),
	}); err != nil {
		return err
	}
	return c.writer.Flush()
}

// sendChunk appends a body frame and flushes when enough bytes are buffered.
func (c *connection) sendChunk(id string, part []byte) error {
	data := &chunk{
		ID:   id,
		Data: part,
	}
	if err := c.writer.Append(&packet{
		Body: data,
	}); err != nil {
		return err
	}
	if c.writer.Buffered() < chunkBytes {
		return nil
	}
	return c.writer.Flush()
}

// keeping is what is done with a body that is read.
type keeping int

const (
	// drop reads the body and drops it.
	drop keeping = iota
	// keepGrowing keeps the body in memory that grows with the bytes received.
	keepGrowing
	// keepReserved keeps the body, whose whole memory has been reserved.
	keepReserved
)

// receiveBody returns the inlined body if it is complete, and otherwise reads a body
// of total bytes up to its end frame. It returns ErrInvalidFrame for any unexpected frame.
func (c *connection) receiveBody(id string, inlined []byte, total int, keep keeping) ([]byte, error) {
	if len(inlined) == total && fitsInHead(inlined) {
		return inlined, nil
	}
	if len(inlined) != 0 {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: incomplete inline body")
	}
	var body []byte
	if keep == keepReserved {
		body = make([]byte, 0, total)
	}
	received := 0
	for received < total {
		part, err := c.readChunk(id)
		if err != nil {
			return nil, err
		}
		received += len(part)
		if received > total {
			return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: body is too long")
		}
		if keep != drop {
			body = append(ensureCapacity(body, len(part), total), part...)
		}
	}
	return body, c.receiveEnd(id, body, keep != drop)
}

// ensureCapacity returns the body with capacity for extra bytes more. The capacity
// grows with the received bytes, since a large declared total alone must not
// allocate memory.
func ensureCapacity(body []byte, extra, total int) []byte {
	if cap(body)-len(body) >= extra {
		return body
	}
	size := max(len(body)+extra, min(total, 4*len(body)))
	return append(make([]byte, 0, size), body...)
}

// readChunk returns the data of a body frame, which is valid until the next call.
// It returns ErrInvalidFrame for any other frame.
func (c *connection) readChunk(id string) ([]byte, error) {
	p := &packet{
		Body: &chunk{
			Data: c.chunkBuffer[:0],
		},
	}
	if err := c.reader.Read(p); err != nil {
		return nil, err
	}
	// For a frame of another kind, ID and Data stay empty.
	if p.countFields() != 1 || p.Body == nil || p.Body.ID != id || len(p.Body.Data) == 0 {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: unexpected frame within a body")
	}
	c.chunkBuffer = p.Body.Data
	return p.Body.Data, nil
}

// receiveEnd reads the end frame. If check is true, it compares it with the body.
func (c *connection) receiveEnd(id string, body []byte, check bool) error {
	p, err := c.read()
	if err != nil {
		return err
	}
	if p.End == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalidFrame, "peer: end frame is missing")
	}
	if !check {
		return nil
	}
	return p.End.matches(id, body)
}
