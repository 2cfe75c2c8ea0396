package responsehead

import (
	"net"
)

// Responses checks the heads of one final response and of the interim responses before it. The zero
// value is at their start.
type Responses struct {
	head scanner
}

// Scan checks the next part of what was received and passes over the body. Its errors for an invalid
// head are those of this package.
func (r *Responses) Scan(data []byte) error {
	for _, next := range data {
		if r.head.place == placeEnd && r.head.isFinal() {
			return nil
		}
		if r.head.place == placeEnd {
			r.head = scanner{}
		}
		if err := r.head.scan(next); err != nil {
			return err
		}
	}
	return nil
}

// Conn is a connection of an HTTP client that reads a whole response before it writes the next
// request. Read returns an error of this package instead of a response with an invalid head.
type Conn struct {
	net.Conn
	responses Responses
}

// NewConn returns a connection that checks the responses.
func NewConn(conn net.Conn) *Conn {
	return &Conn{
		Conn: conn,
	}
}

// Write writes a part of a request, whose response comes next.
func (c *Conn) Write(data []byte) (int, error) {
	c.responses = Responses{}
	return c.Conn.Write(data)
}

// Read reads a part of a response.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if checkErr := c.responses.Scan(data[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}
