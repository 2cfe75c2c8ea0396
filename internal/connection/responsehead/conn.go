package responsehead

import (
	"net"
)

// Conn is a connection of an HTTP client that reads a whole response before it writes the next
// request. Read returns ErrInvalidStatus or ErrInvalidField instead of a response with an invalid
// head.
type Conn struct {
	net.Conn
	// head is the head of the next final response or of an interim one before it.
	head scanner
}

// NewConn returns a connection that checks the responses.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Write writes a part of a request, whose response comes next.
func (c *Conn) Write(data []byte) (int, error) {
	c.head = scanner{}
	return c.Conn.Write(data)
}

// Read reads a part of a response.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if checkErr := c.check(data[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

// check scans the part of the data that belongs to a head.
func (c *Conn) check(data []byte) error {
	for _, next := range data {
		if c.head.place == placeEnd && c.head.isFinal() {
			return nil
		}
		if c.head.place == placeEnd {
			c.head = scanner{}
		}
		if err := c.head.scan(next); err != nil {
			return err
		}
	}
	return nil
}
