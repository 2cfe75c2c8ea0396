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

// readHeaderTimeout bounds receiving the headers of a request.
const readHeaderTimeout = 5 * time.Second

// Server is a stand-in backend server. It serves work on all paths except
//
//	GET  /health   200, or 503 while draining or switched off
//	GET  /load     {slots, running, queued}, LoadLag old
//	POST /control  changes Switches
//	GET  /runs     the kept runs; ?key= and ?request= select some
//	GET  /counts   totals
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
	chance   *chance
	queued   atomic.Int64
	switches atomic.Pointer[Switches]
	serving  sync.WaitGroup
}

// New returns a server. It returns ErrInvalid for an unusable config.
func New(config Config) (*Server, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	s := &Server{
		config: config,
		slots:  make(chan struct{}, config.Slots),
		runs:   newRunLog(config.KeepRuns),
		chance: newChance(config.Seed),
	}
	s.node.Store(config.Node)
	s.switches.Store(&Switches{})
	s.client = newDownstreamClient(config.Slots)
	return s, nil
}

// Start listens and returns the bound address.
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

// Stop refuses new requests and lets the running ones end. When ctx ends first,
// the rest is cut off and the context's error returned.
func (s *Server) Stop(ctx context.Context) error {
	if s.http == nil {
		return nil
	}
	s.Switch(func(switches *Switches) {
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

// Kill cuts all connections at once, as a crash does.
func (s *Server) Kill() {
	if s.http == nil {
		return
	}
	_ = s.http.Close()
	s.serving.Wait()
	s.load.stop()
	s.client.CloseIdleConnections()
}

// SetNode sets the local address of the node for downstream calls.
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

// limitConnections returns a listener that has at most limit connections open.
func limitConnections(listener net.Listener, limit int) net.Listener {
	return &limitedListener{
		Listener: listener,
		tokens:   make(chan struct{}, limit),
	}
}

// limitedListener closes connections beyond its limit at once.
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
			Conn: c,
			free: sync.OnceFunc(func() { <-l.tokens }),
		}
		return limited, nil
	}
}

type limitedConnection struct {
	net.Conn
	free func()
}

func (c *limitedConnection) Close() error {
	defer c.free()
	return c.Conn.Close()
}
