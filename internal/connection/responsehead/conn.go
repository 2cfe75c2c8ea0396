package responsehead

import (
	"bytes"
	"net"

	"lagoonbarrow"
)

// Conn is a connection of an HTTP client that reads a whole response before it writes the next
// request. Read returns ErrInvalidStatus instead of a response with an invalid status.
type Conn struct {
	net.Conn
	// done is set once the status of the final response has been read.
	done bool
	// interim is set while the head of an interim response is read.
	interim bool
	// line holds the start of the current line until its status is known.
	line []byte
}

// NewConn returns a connection that checks the responses.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Write writes a part of a request, whose response comes next.
func (c *Conn) Write(data []byte) (int, error) {
	c.done = false
	c.interim = false
	c.line = c.line[:0]
	return c.Conn.Write(data)
}

// Read reads a part of a response.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	for i := 0; i < n && !c.done; i++ {
		if checkErr := c.check(data[i]); checkErr != nil {
			return 0, checkErr
		}
	}
	return n, err
}

// check processes one byte of a head.
func (c *Conn) check(next byte) error {
	if len(c.line) < maxBytes {
		c.line = append(c.line, next)
	}
	isEnd := next == '\n'
	if !isEnd && (c.interim || len(c.line) < maxBytes) {
		return nil
	}
	line := bytes.TrimRight(c.line, "\r\n")
	c.line = c.line[:0]
	switch {
	case c.interim:
		c.interim = len(line) > 0
		return nil
	case len(line) == 0:
		// fasthttp skips empty lines before a status line.
		return nil
	}
	status, err := parse(line)
	c.interim = status < lagoonbarrow.StatusFirstFinal
	c.done = !c.interim
	return err
}
