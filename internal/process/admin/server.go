package admin

import (
	"context"
	"net"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/panics"
	"lagoonbarrow/internal/version/contract"
)

// Limits on the time and memory that one connection uses.
const (
	readTimeout    = 10 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// Server serves the administration API.
type Server struct {
	config     Config
	server     *fasthttp.Server
	listener   net.Listener
	pool       pond.Pool
	done       chan struct{}
	routeTable []route
	rollouts   rolloutCache
}

// New returns a server. Start makes it listen.
func New(config Config) *Server {
	admin := &Server{
		config: withDefaults(config),
		done:   make(chan struct{}),
	}
	admin.routeTable = admin.routes()
	admin.pool = pond.NewPool(admin.config.RolloutWorkers, pond.WithQueueSize(rolloutQueueSize))
	admin.server = &fasthttp.Server{
		Handler:               panics.NewReporter(admin.config.Logger).Handler("administration", fasthttp.StatusInternalServerError, admin.handle),
		ErrorHandler:          writeParseError,
		Name:                  "lagoonbarrow",
		Concurrency:           admin.config.MaxConnections,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    contract.MaxContractBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger: debugLogger{
			config: admin.config,
		},
	}
	return admin
}

// Start opens the listener and serves requests in the background.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", string(s.config.Address))
	if err != nil {
		return errors.Wrap(err, "admin: listen")
	}
	s.listener = listener
	go s.serve()
	return nil
}

func (s *Server) serve() {
	defer close(s.done)
	if err := s.server.Serve(s.listener); err != nil {
		s.config.Logger.Error("admin listener failed", "error", err)
	}
}

// Address returns the listener's address, or the configured one before Start.
func (s *Server) Address() lagoonbarrow.Address {
	if s.listener == nil {
		return s.config.Address
	}
	return lagoonbarrow.Address(s.listener.Addr().String())
}

// Stop closes the listener and waits for the requests in flight until ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	err := s.server.ShutdownWithContext(ctx)
	if err == nil {
		<-s.done
	}
	s.pool.Stop()
	return errors.Wrap(err, "admin: stop")
}

// debugLogger logs fasthttp's messages at debug level, because they are about faulty
// clients.
type debugLogger struct {
	config Config
}

// Printf implements fasthttp.Logger.
func (l debugLogger) Printf(format string, arguments ...any) {
	l.config.Logger.Debug("admin connection", "message", errors.Errorf(format, arguments...).Error())
}
