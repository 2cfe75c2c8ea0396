package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// byteCounters count the bytes sent and received by the connections of one purpose.
type byteCounters struct {
	sent     tally.Counter
	received tally.Counter
}

// newByteCounters returns the counters for a purpose. Control bytes are counted
// separately from calls, since the control cost per node is bounded
// (docs/design.md, 1.3).
func newByteCounters(scope tally.Scope, use purpose) *byteCounters {
	return &byteCounters{
		sent:     scope.Counter(string(use) + "-bytes-sent"),
		received: scope.Counter(string(use) + "-bytes-received"),
	}
}

// countingConn counts the bytes of a connection. Bytes that are transferred before
// the purpose is known are added when the counters are set.
type countingConn struct {
	net.Conn
	counters          *byteCounters
	uncountedSent     int64
	uncountedReceived int64
}

// setCounters sets the counters and adds the bytes transferred so far. It must be
// called before a second goroutine uses the connection.
func (c *countingConn) setCounters(counters *byteCounters) {
	counters.sent.Inc(c.uncountedSent)
	counters.received.Inc(c.uncountedReceived)
	c.counters = counters
}

func (c *countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if c.counters == nil {
		c.uncountedReceived += int64(n)
		return n, err
	}
	c.counters.received.Inc(int64(n))
	return n, err
}

func (c *countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if c.counters == nil {
		c.uncountedSent += int64(n)
		return n, err
	}
	c.counters.sent.Inc(int64(n))
	return n, err
}
