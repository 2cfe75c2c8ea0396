package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// byteCounters count what the connections of one purpose send and receive.
type byteCounters struct {
	sent     tally.Counter
	received tally.Counter
}

// newByteCounters returns the counters for a purpose. The control cost per node
// is bounded (design 1.3), so control bytes are counted apart from calls.
func newByteCounters(scope tally.Scope, use purpose) *byteCounters {
	return &byteCounters{
		sent:     scope.Counter(string(use) + "-bytes-sent"),
		received: scope.Counter(string(use) + "-bytes-received"),
	}
}

// countedStream counts a connection's bytes. Until the purpose is known it adds
// them up itself.
type countedStream struct {
	net.Conn
	bytes         *byteCounters
	earlySent     int64
	earlyReceived int64
}

// countTo sets the counters. It must be called before a second goroutine uses
// the stream.
func (s *countedStream) countTo(bytes *byteCounters) {
	bytes.sent.Inc(s.earlySent)
	bytes.received.Inc(s.earlyReceived)
	s.bytes = bytes
}

func (s *countedStream) Read(data []byte) (int, error) {
	n, err := s.Conn.Read(data)
	if s.bytes == nil {
		s.earlyReceived += int64(n)
		return n, err
	}
	s.bytes.received.Inc(int64(n))
	return n, err
}

func (s *countedStream) Write(data []byte) (int, error) {
	n, err := s.Conn.Write(data)
	if s.bytes == nil {
		s.earlySent += int64(n)
		return n, err
	}
	s.bytes.sent.Inc(int64(n))
	return n, err
}
