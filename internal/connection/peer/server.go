package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// keepAlive detects peers that disappeared without closing. Probes start after 15 s
// of silence and repeat every 5 s. The connection fails after 3 unanswered probes.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     15 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// refusalLinger is how long the server reads from a refused connection before it
// closes it. Closing with unread bytes resets the connection, and some systems then
// drop a refusal that the client has not read yet.
const refusalLinger = 200 * time.Millisecond

// Server accepts the connections of other nodes. Each connection has its own
// goroutine, and limits bound their number.
type Server struct {
	config   ServerConfig
	counters map[purpose]*byteCounters
	listener net.Listener
	// handshakes holds an entry for each connection in its handshake.
	handshakes chan struct{}
	// buffered is the number of bytes of calls in progress and answers being sent.
	buffered   atomic.Int64
	goroutines sync.WaitGroup

	events *rateLimitedRecorder

	mutex       sync.Mutex
	stopping    bool
	forceClosed bool
	sessions    map[*session]struct{}
	handshaking map[*connection]struct{}
	open        map[purpose]int
}

// NewServer returns a server. It returns ErrInvalid for an incomplete config.
func NewServer(config ServerConfig) (*Server, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	return &Server{
		config: config,
		counters: map[purpose]*byteCounters{
			purposeCalls:   newByteCounters(config.Scope, purposeCalls),
			purposeControl: newByteCounters(config.Scope, purposeControl),
		},
		events:      newRateLimitedRecorder(config.Recorder, config.Scope),
		handshakes:  make(chan struct{}, config.MaxHandshakes),
		sessions:    map[*session]struct{}{},
		handshaking: map[*connection]struct{}{},
		open:        map[purpose]int{},
	}, nil
}

// Start starts to accept connections and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAlive,
	}
	listener, err := config.Listen(context.Background(), "tcp", string(s.config.Address))
	if err != nil {
		return "", errors.Wrap(err, "peer: listen")
	}
	s.listener = listener
	s.goroutines.Add(1)
	go s.accept()
	return lagoonbarrow.Address(listener.Addr().String()), nil
}

// Stop refuses new connections, waits for the calls in flight and closes all
// connections. If ctx ends first, it closes the remaining connections at once and
// returns ErrStopping.
func (s *Server) Stop(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	for sess := range s.sessions {
		// The write can block for a moment if the peer doesn't read.
		go sess.sendGoingAway()
	}
	s.mutex.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	done := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.closeAll()
	return errors.Wrap(lagoonbarrow.ErrStopping, "peer: stop: connections were cut off")
}

// closeAll closes all connections, which cancels the calls on them.
func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.forceClosed = true
	for sess := range s.sessions {
		sess.connection.close()
	}
	for c := range s.handshaking {
		c.close()
	}
}

// Connected returns the advertised addresses of the connected peers without
// duplicates.
func (s *Server) Connected() []lagoonbarrow.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := map[lagoonbarrow.Address]bool{}
	var addresses []lagoonbarrow.Address
	for sess := range s.sessions {
		address := sess.connection.address
		if address == "" || seen[address] {
			continue
		}
		seen[address] = true
		addresses = append(addresses, address)
	}
	return addresses
}

func (s *Server) accept() {
	defer s.goroutines.Done()
	for {
		netConn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process is out of file descriptors, or the client aborted the
			// connection. Both are temporary.
			s.config.Scope.Counter("accept-failures").Inc(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.startHandshake(netConn)
	}
}

// startHandshake starts the handshake of a connection if the limit allows it.
func (s *Server) startHandshake(netConn net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		s.config.Scope.Counter("handshakes-refused").Inc(1)
		_ = netConn.Close()
		return
	}
	c := newConnection(netConn, s.config.FrameBytes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		<-s.handshakes
		c.close()
		return
	}
	s.handshaking[c] = struct{}{}
	s.goroutines.Add(1)
	go s.handleConnection(c)
}

// handleConnection runs the handshake of a connection and then serves it.
func (s *Server) handleConnection(c *connection) {
	defer s.goroutines.Done()
	defer c.close()
	defer func() {
		if failure := recover(); failure != nil {
			s.config.Panics.Report("peer connection", failure)
		}
	}()
	if s.handshake(c) {
		defer s.connectionClosed(c.purpose)
		s.serve(c)
	}
}

// handshake runs the handshake of a connection and reports whether it succeeded.
func (s *Server) handshake(c *connection) bool {
	defer func() {
		s.mutex.Lock()
		delete(s.handshaking, c)
		s.mutex.Unlock()
		<-s.handshakes
	}()
	_ = c.netConn.SetDeadline(time.Now().Add(s.config.HandshakeTimeout))
	self := identity{
		instance: s.config.Self,
		key:      s.config.PeerKey,
	}
	err := c.serverHandshake(self, s.admit)
	if err != nil {
		s.rejectHandshake(c, err)
		return false
	}
	_ = c.netConn.SetDeadline(time.Time{})
	c.counting.setCounters(s.counters[c.purpose])
	return true
}

// rejectHandshake records a failed handshake and gives the client time to read the
// refusal.
func (s *Server) rejectHandshake(c *connection, err error) {
	s.config.Scope.Counter("handshakes-failed").Inc(1)
	if errors.Is(err, lagoonbarrow.ErrProtocolVersion) || errors.Is(err, lagoonbarrow.ErrUnauthenticated) {
		s.events.record(event.PeerRefused, c, err)
	}
	if tcpConn, ok := c.netConn.(*net.TCPConn); ok {
		_ = tcpConn.CloseWrite()
		_ = c.netConn.SetReadDeadline(time.Now().Add(refusalLinger))
		_, _ = io.Copy(io.Discard, c.netConn)
	}
}

// admit counts a connection if the limit for its purpose allows it.
func (s *Server) admit(use purpose) bool {
	limit := s.config.MaxConnections
	if use == purposeControl {
		limit = s.config.MaxControlConnections
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.open[use] >= limit {
		return false
	}
	s.open[use]++
	return true
}

// connectionClosed reverts admit.
func (s *Server) connectionClosed(use purpose) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[use]--
}

// serve serves an authenticated connection until it ends.
func (s *Server) serve(c *connection) {
	sess := newSession(s, c)
	s.mutex.Lock()
	s.sessions[sess] = struct{}{}
	stopping := s.stopping
	if s.forceClosed {
		c.close()
	}
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.sessions, sess)
	}()
	if stopping {
		sess.sendGoingAway()
	}
	err := sess.run()
	if errors.Is(err, lagoonbarrow.ErrInvalidFrame) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		s.events.record(event.PeerConnectionClosed, c, err)
	}
}

// reserveBuffer counts bytes that are about to be buffered, and reports whether the
// limit allows them.
func (s *Server) reserveBuffer(bytes int) bool {
	if s.buffered.Add(int64(bytes)) <= s.config.MaxBufferedBytes {
		return true
	}
	s.buffered.Add(int64(-bytes))
	return false
}

func (s *Server) releaseBuffer(bytes int) {
	s.buffered.Add(int64(-bytes))
}

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}
