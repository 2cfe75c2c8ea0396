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

// Keep-alive probes find peers that vanished without closing: after 15 s of
// silence, then every 5 s, given up after 3.
var keepAlive = net.KeepAliveConfig{
	Enable:   true,
	Idle:     15 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// refusalLinger is how long a refused connection is read from before it is closed.
// Closing it with unread bytes resets it, and some systems then drop a refusal that
// the client has not read yet.
const refusalLinger = 200 * time.Millisecond

// Server accepts the connections of other nodes. Each connection has a goroutine
// of its own, within the connection limits.
type Server struct {
	config   ServerConfig
	counters map[purpose]*byteCounters
	listener net.Listener
	// handshakes holds a token for each connection in its handshake.
	handshakes chan struct{}
	// buffered counts the bytes of calls being received and answers being sent.
	buffered atomic.Int64
	serving  sync.WaitGroup

	events *limitedRecorder

	mutex    sync.Mutex
	stopping bool
	cut      bool
	sessions map[*session]struct{}
	pending  map[*connection]struct{}
	open     map[purpose]int
}

// NewServer returns a server. It returns ErrInvalid for an incomplete config.
func NewServer(config ServerConfig) (*Server, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	return &Server{
		config: config,
		counters: map[purpose]*byteCounters{
			purposeCalls:   newByteCounters(config.Scope, purposeCalls),
			purposeControl: newByteCounters(config.Scope, purposeControl),
		},
		events:     newLimitedRecorder(config.Recorder, config.Scope),
		handshakes: make(chan struct{}, config.MaxHandshakes),
		sessions:   map[*session]struct{}{},
		pending:    map[*connection]struct{}{},
		open:       map[purpose]int{},
	}, nil
}

// Start listens and returns the bound address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	config := net.ListenConfig{
		KeepAliveConfig: keepAlive,
	}
	listener, err := config.Listen(context.Background(), "tcp", string(s.config.Address))
	if err != nil {
		return "", errors.Wrap(err, "peer: listen")
	}
	s.listener = listener
	s.serving.Add(1)
	go s.accept()
	return lagoonbarrow.Address(listener.Addr().String()), nil
}

// Stop refuses new connections, lets the calls in flight end and closes all
// connections. When ctx ends first, the rest is cut off and ErrStopping returned.
func (s *Server) Stop(ctx context.Context) error {
	s.mutex.Lock()
	s.stopping = true
	for item := range s.sessions {
		// A peer that doesn't read can hold up the write for a moment.
		go item.announce()
	}
	s.mutex.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
	}
	done := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.cutAll()
	return errors.Wrap(lagoonbarrow.ErrStopping, "peer: stop: connections were cut off")
}

// cutAll closes all connections, which cancels the calls on them.
func (s *Server) cutAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cut = true
	for item := range s.sessions {
		item.connection.close()
	}
	for c := range s.pending {
		c.close()
	}
}

// Connected returns the advertised addresses of the connected peers, each once.
func (s *Server) Connected() []lagoonbarrow.Address {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	seen := map[lagoonbarrow.Address]bool{}
	var addresses []lagoonbarrow.Address
	for item := range s.sessions {
		address := item.connection.address
		if address == "" || seen[address] {
			continue
		}
		seen[address] = true
		addresses = append(addresses, address)
	}
	return addresses
}

func (s *Server) accept() {
	defer s.serving.Done()
	for {
		raw, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of file descriptors or an aborted connection; both pass.
			s.config.Scope.Counter("accept-failures").Inc(1)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		s.take(raw)
	}
}

// take starts the handshake of a connection if the limit allows.
func (s *Server) take(raw net.Conn) {
	select {
	case s.handshakes <- struct{}{}:
	default:
		s.config.Scope.Counter("handshakes-refused").Inc(1)
		_ = raw.Close()
		return
	}
	c := newConnection(raw, s.config.FrameBytes)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopping {
		<-s.handshakes
		c.close()
		return
	}
	s.pending[c] = struct{}{}
	s.serving.Add(1)
	go s.shakeHands(c)
}

func (s *Server) shakeHands(c *connection) {
	defer s.serving.Done()
	defer c.close()
	_ = c.raw.SetDeadline(time.Now().Add(s.config.HandshakeTimeout))
	self := identity{
		instance: s.config.Self,
		key:      s.config.PeerKey,
	}
	err := c.welcome(self, s.admit)
	if err != nil {
		s.refused(c, err)
	}
	s.mutex.Lock()
	delete(s.pending, c)
	s.mutex.Unlock()
	<-s.handshakes
	if err != nil {
		return
	}
	defer s.leave(c.purpose)
	_ = c.raw.SetDeadline(time.Time{})
	c.stream.countTo(s.counters[c.purpose])
	s.serve(c)
}

// refused notes a failed handshake and lets the client read the refusal.
func (s *Server) refused(c *connection, err error) {
	s.config.Scope.Counter("handshakes-failed").Inc(1)
	if errors.Is(err, lagoonbarrow.ErrVersion) || errors.Is(err, lagoonbarrow.ErrUnauthenticated) {
		s.events.record(event.PeerRefused, c, err)
	}
	if half, ok := c.raw.(*net.TCPConn); ok {
		_ = half.CloseWrite()
		_ = c.raw.SetReadDeadline(time.Now().Add(refusalLinger))
		_, _ = io.Copy(io.Discard, c.raw)
	}
}

// admit counts a connection if its purpose's limit allows.
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

func (s *Server) leave(use purpose) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.open[use]--
}

// serve handles the exchanges on an authenticated connection.
func (s *Server) serve(c *connection) {
	item := newSession(s, c)
	s.mutex.Lock()
	s.sessions[item] = struct{}{}
	stopping := s.stopping
	if s.cut {
		c.close()
	}
	s.mutex.Unlock()
	if stopping {
		item.announce()
	}
	err := item.run()
	s.mutex.Lock()
	delete(s.sessions, item)
	s.mutex.Unlock()
	if errors.Is(err, lagoonbarrow.ErrFrame) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		s.events.record(event.PeerConnectionClosed, c, err)
	}
}

// reserve counts bytes that are about to be buffered and reports whether the
// limit allows it.
func (s *Server) reserve(bytes int) bool {
	if s.buffered.Add(int64(bytes)) <= s.config.MaxBufferedBytes {
		return true
	}
	s.buffered.Add(int64(-bytes))
	return false
}

func (s *Server) unreserve(bytes int) {
	s.buffered.Add(int64(-bytes))
}

func (s *Server) isStopping() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}
