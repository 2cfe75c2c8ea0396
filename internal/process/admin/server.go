package admin

import (
	"context"
	"net"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

// Bounds on what one connection may cost.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 30 * time.Second
	headerBytes  = 8 << 10
)

// Server is the administration listener.
type Server struct {
	config   Config
	server   *fasthttp.Server
	listener net.Listener
	pool     pond.Pool
	served   chan struct{}
	table    []route
	rollouts rollouts
}

// New returns a server that listens after Start.
func New(config Config) *Server {
	admin := &Server{
		config: withDefaults(config),
		served: make(chan struct{}),
	}
	admin.table = admin.routes()
	admin.pool = pond.NewPool(admin.config.RolloutWorkers, pond.WithQueueSize(rolloutQueue))
	admin.server = &fasthttp.Server{
		Handler:               admin.handle,
		ErrorHandler:          writeParseError,
		Name:                  "lagoonbarrow",
		Concurrency:           admin.config.MaxConnections,
		ReadBufferSize:        headerBytes,
		MaxRequestBodySize:    contract.MaxContractBytes,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger: quietLogger{
			config: admin.config,
		},
	}
	return admin
}

// Start listens and serves in the background.
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
	defer close(s.served)
	if err := s.server.Serve(s.listener); err != nil {
		s.config.Logger.Error("admin listener failed", "error", err)
	}
}

// Address returns the address that Start listens on.
func (s *Server) Address() lagoonbarrow.Address {
	if s.listener == nil {
		return s.config.Address
	}
	return lagoonbarrow.Address(s.listener.Addr().String())
}

// Stop closes the listener and waits for the requests in flight, at most until
// the context ends.
func (s *Server) Stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	err := s.server.ShutdownWithContext(ctx)
	if err == nil {
		<-s.served
	}
	s.pool.Stop()
	return errors.Wrap(err, "admin: stop")
}

// quietLogger passes fasthttp's messages on at debug level: they are about
// faulty clients.
type quietLogger struct {
	config Config
}

// Printf implements fasthttp.Logger.
func (l quietLogger) Printf(format string, arguments ...any) {
	l.config.Logger.Debug("admin connection", "message", errors.Errorf(format, arguments...).Error())
}
