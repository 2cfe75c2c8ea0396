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
	// writing is held during a write and guards writeFailed.
	writing sync.Mutex
	// writeFailed is set once a write has failed. The error of a reset may be used up then, so that
	// the reader gets an end of file in its place.
	writeFailed bool
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
		c.writeFailed = true
	}
	return n, err
}

// Read reads a part of an answer. It returns ErrInvalidStatus or ErrInvalidField of responsehead
// for an invalid head. An end of file after a write that failed is an unexpected one, because
// net/http would take it for the end of an answer without a length.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if scanErr := c.scan(data[:n]); scanErr != nil {
		return 0, scanErr
	}
	if errors.Is(err, io.EOF) && c.isWriteFailed() {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// isWriteFailed waits for a write in progress and reports whether it or an earlier one has failed.
// net/http closes the connection when the context of the request ends, which ends the write.
func (c *connection) isWriteFailed() bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed
}

func (c *connection) scan(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answers.Scan(data)
}
