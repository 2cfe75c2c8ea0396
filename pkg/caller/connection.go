package caller

import (
	"context"
	"io"
	"net"
	"sync"

	"github.com/pkg/errors"

	"lagoonbarrow/internal/connection/responsehead"
)

// connection is a connection of net/http to a node. It checks the heads of answers, which net/http
// reads leniently.
type connection struct {
	net.Conn
	mu sync.Mutex
	// answers is what has been received since the last request began.
	answers responsehead.Responses
	// writing is held during a write and guards writeErr.
	writing sync.Mutex
	// writeErr is the error of the write that failed, if any. That of a reset is used up then, so that
	// the reader gets an end of file in its place.
	writeErr error
}

// newDial returns the function by which net/http opens connections.
func newDial() func(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &connection{
			Conn: conn,
		}, nil
	}
}

// beginRequest must be called before each request. Bytes of a request may be written after the first
// ones of its answer have been read, so that a write doesn't show where a request begins.
func (c *connection) beginRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = responsehead.Responses{}
}

// Write writes a part of a request.
func (c *connection) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads a part of an answer. It returns an error of responsehead for an invalid head. An end of
// file after a write that failed is an unexpected one, because net/http would take it for the end of
// an answer without a length.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if scanErr := c.scan(data[:n]); scanErr != nil {
		return 0, scanErr
	}
	if errors.Is(err, io.EOF) {
		if writeErr := c.awaitWrite(); writeErr != nil {
			return n, errors.Wrap(io.ErrUnexpectedEOF, "caller: write failed: "+writeErr.Error())
		}
	}
	return n, err
}

// awaitWrite waits for a write in progress and returns its error, or that of an earlier one. net/http
// closes the connection when the context of the request ends, which ends the write.
func (c *connection) awaitWrite() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

func (c *connection) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.Scan(data)
}
