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

// connection is one authenticated connection, or one in its handshake.
type connection struct {
	raw     net.Conn
	stream  *countedStream
	in      *frame.Reader
	out     *frame.Writer
	frames  int
	peer    lagoonbarrow.InstanceID
	address lagoonbarrow.Address
	purpose purpose
	// idleSince is when a client's connection was last released.
	idleSince time.Time
	// leaving is set on a client's connection whose server is going away.
	leaving bool
	// scratch is the buffer that body frames are decoded into.
	scratch   []byte
	closeOnce sync.Once
}

// newConnection wraps a TCP connection. frames is the limit of frame bodies after
// the handshake.
func newConnection(raw net.Conn, frames int) *connection {
	stream := &countedStream{
		Conn: raw,
	}
	return &connection{
		raw:    raw,
		stream: stream,
		in:     frame.NewReader(stream, handshakeFrameBytes),
		out:    frame.NewWriter(stream, frames),
		frames: frames,
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
	})
}

// release drops large buffers before the connection becomes idle.
func (c *connection) release() {
	c.in.Release()
	c.scratch = nil
}

// read returns the next packet. It returns ErrFrame unless exactly one field is set.
func (c *connection) read() (*packet, error) {
	p := &packet{}
	if err := c.in.Read(p); err != nil {
		return nil, err
	}
	if p.fields() != 1 {
		return nil, errors.Wrap(lagoonbarrow.ErrFrame, "peer: frame of unknown kind")
	}
	return p, nil
}

func (p *packet) fields() int {
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

// singleFrame reports whether the head frame holds the whole body. Its checksum
// covers the body, so there is no end frame.
func singleFrame(body []byte) bool {
	return len(body) <= inlineBytes
}

// send writes a head frame, the body frames and the end frame. The error is nil
// exactly if the kernel accepted the last byte.
func (c *connection) send(head *packet, id string, body []byte) error {
	if err := c.out.Append(head); err != nil {
		return err
	}
	if singleFrame(body) {
		return c.out.Flush()
	}
	rest := body
	size := min(chunkBytes, c.frames-chunkOverhead)
	for len(rest) > 0 {
		part := rest[:min(size, len(rest))]
		rest = rest[len(part):]
		if err := c.sendChunk(id, part); err != nil {
			return err
		}
	}
	if err := c.out.Append(&packet{
		End: endOf(id, body),
	}); err != nil {
		return err
	}
	return c.out.Flush()
}

func (c *connection) sendChunk(id string, part []byte) error {
	data := &chunk{
		ID:   id,
		Data: part,
	}
	if err := c.out.Append(&packet{
		Body: data,
	}); err != nil {
		return err
	}
	if c.out.Buffered() < chunkBytes {
		return nil
	}
	return c.out.Flush()
}

// receiveBody completes a body of total bytes whose inline part is given, up to
// its end frame. It returns ErrFrame for anything unexpected. With keep false
// the body is read and dropped.
func (c *connection) receiveBody(id string, start []byte, total int, keep bool) ([]byte, error) {
	if len(start) == total && singleFrame(start) {
		return start, nil
	}
	if len(start) != 0 {
		return nil, errors.Wrap(lagoonbarrow.ErrFrame, "peer: incomplete inline body")
	}
	var body []byte
	received := 0
	for received < total {
		part, err := c.readChunk(id)
		if err != nil {
			return nil, err
		}
		received += len(part)
		if received > total {
			return nil, errors.Wrap(lagoonbarrow.ErrFrame, "peer: body is too long")
		}
		if keep {
			body = append(grown(body, len(part), total), part...)
		}
	}
	return body, c.receiveEnd(id, body, keep)
}

// grown makes room in a body. The room follows what has arrived, not what was
// announced, so that an announcement alone doesn't take memory.
func grown(body []byte, part, total int) []byte {
	if cap(body)-len(body) >= part {
		return body
	}
	size := max(len(body)+part, min(total, 4*len(body)))
	return append(make([]byte, 0, size), body...)
}

// readChunk returns the data of a body frame, which is valid until the next call.
// It returns ErrFrame for any other frame.
func (c *connection) readChunk(id string) ([]byte, error) {
	p := &packet{
		Body: &chunk{
			Data: c.scratch[:0],
		},
	}
	if err := c.in.Read(p); err != nil {
		return nil, err
	}
	// Without a body in the frame, ID and Data stay empty.
	if p.fields() != 1 || p.Body == nil || p.Body.ID != id || len(p.Body.Data) == 0 {
		return nil, errors.Wrap(lagoonbarrow.ErrFrame, "peer: unexpected frame within a body")
	}
	c.scratch = p.Body.Data
	return p.Body.Data, nil
}

func (c *connection) receiveEnd(id string, body []byte, check bool) error {
	p, err := c.read()
	if err != nil {
		return err
	}
	if p.End == nil {
		return errors.Wrap(lagoonbarrow.ErrFrame, "peer: end frame is missing")
	}
	if !check {
		return nil
	}
	return p.End.matches(id, body)
}
