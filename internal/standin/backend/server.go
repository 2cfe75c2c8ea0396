package backend

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// readHeaderTimeout bounds the time to read the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Server is a stand-in backend server. It runs work on all paths except
//
//	GET  /health   200, or 503 while Drain or Unhealthy is set
//	GET  /load     {slots, running, queued} as of LoadLag ago
//	POST /control  changes the Switches
//	GET  /runs     the stored runs, filtered by ?key= and ?request=
//	GET  /counts   the Counts
type Server struct {
	config   Config
	slots    chan struct{}
	started  time.Time
	node     atomic.Value
	http     *http.Server
	client   *http.Client
	load     *loadHistory
	runs     *runLog
	counts   counters
	random   *randomSource
	queued   atomic.Int64
	switches atomic.Pointer[Switches]
	serving  sync.WaitGroup
}

// New returns a server. It returns ErrInvalid for an invalid config.
func New(config Config) (*Server, error) {
	if err := config.applyDefaults(); err != nil {
		return nil, err
	}
	s := &Server{
		config: config,
		slots:  make(chan struct{}, config.Slots),
		runs:   newRunLog(config.MaxRuns),
		random: newRandomSource(config.Seed),
	}
	s.node.Store(config.Node)
	s.switches.Store(&Switches{})
	s.client = newDownstreamClient(config.Slots)
	return s, nil
}

// Start opens the listener, serves in the background and returns the bound
// address.
func (s *Server) Start() (lagoonbarrow.Address, error) {
	listener, err := net.Listen("tcp", string(s.config.Address))
	if err != nil {
		return "", errors.Wrap(err, "backend: listen")
	}
	s.started = time.Now()
	s.load = newLoadHistory(s.config.LoadLag, s.currentLoad)
	s.http = &http.Server{
		Handler:           s.routes(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		_ = s.http.Serve(limitConnections(listener, s.config.Connections))
	}()
	return lagoonbarrow.Address(listener.Addr().String()), nil
}

// Stop refuses new requests and waits for the running ones. If ctx ends first,
// Stop closes the remaining connections and returns the context's error.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	s.UpdateSwitches(func(switches *Switches) {
		switches.Drain = true
	})
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	s.serving.Wait()
	s.load.stop()
	s.client.CloseIdleConnections()
	return errors.Wrap(err, "backend: stop")
}

// Kill closes all connections at once, as a crash does.
func (s *Server) Kill() {
	if s.http == nil {
		return
	}
	_ = s.http.Close()
	s.serving.Wait()
	s.load.stop()
	s.client.CloseIdleConnections()
}

// SetNode sets the local address of the node that receives downstream calls.
func (s *Server) SetNode(address lagoonbarrow.Address) {
	s.node.Store(address)
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/health", s.serveHealth)
	mux.HandleFunc("/load", s.serveLoad)
	mux.HandleFunc("/control", s.serveControl)
	mux.HandleFunc("/runs", s.serveRuns)
	mux.HandleFunc("/counts", s.serveCounts)
	mux.HandleFunc("/", s.serveWork)
	return mux
}

// limitConnections returns a listener that keeps at most limit connections open.
func limitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: listener,
		tokens:   make(chan struct{}, limit),
	}
}

// limitedListener closes new connections immediately while it is at its limit.
type limitedListener struct {
	net.Listener
	tokens chan struct{}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case l.tokens <- struct{}{}:
		default:
			_ = c.Close()
			continue
		}
		limited := &limitedConnection{
			Conn:    c,
			release: sync.OnceFunc(func() { <-l.tokens }),
		}
		return limited, nil
	}
}

// limitedConnection returns its token to the listener on Close.
type limitedConnection struct {
	net.Conn
	release func()
}

func (c *limitedConnection) Close() error {
	defer c.release()
	return c.Conn.Close()
}
