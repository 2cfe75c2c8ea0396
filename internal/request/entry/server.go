// Package entry serves customers' requests and the downstream calls of the
// backend server beside this node.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/memory"
	"lagoonbarrow/internal/process/panics"
)

const (
	// headerTimeout bounds the time from opening a connection to the end of the header,
	// and that of each later header. The platform allows clients 15 s without a request and
	// 3 s for a header.
	headerTimeout = 20 * time.Second
	// bodyTimeout bounds the time to read the body of a request from a slow client.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time to write an answer. Without it, clients that read
	// slowly would delay a graceful stop. It doesn't include the time of the call.
	writeTimeout = 30 * time.Second
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
	// defaultMemoryBytes is the limit of the bodies of all requests and responses together.
	defaultMemoryBytes = 64 << 20
	// memoryRetryAfter is sent when the memory for bodies is used up.
	memoryRetryAfter = time.Second
)

// Limits bounds the size of requests and the number of connections of a listener.
type Limits struct {
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int
	// Memory bounds the bodies of all requests and responses in progress; to 64 MiB by
	// default.
	Memory *memory.Limiter
	// Scope receives the metrics of the connections. It may be nil.
	Scope tally.Scope
}

// server is an HTTP listener.
type server struct {
	address  lagoonbarrow.Address
	http     *fasthttp.Server
	listener net.Listener
	logger   hclog.Logger
	// memory bounds the bodies of requests and responses.
	memory *memory.Limiter
}

func newServer(address lagoonbarrow.Address, limits Limits, logger hclog.Logger, handler fasthttp.RequestHandler) *server {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	if limits.Memory == nil {
		limits.Memory = memory.New(memory.Config{
			MaxBytes: defaultMemoryBytes,
			Logger:   logger,
		})
	}
	bodies := &bodyReader{
		limits:  limits,
		handler: handler,
		logger:  logger,

		connections: newConnections(limits, logger),
	}
	return &server{
		address: address,
		http: &fasthttp.Server{
			// A request during which a part failed may have been run.
			Handler: panics.NewReporter(logger).Handler("request", fasthttp.StatusBadGateway, bodies.serve),
			// The body reader bounds the memory of all bodies together.
			StreamRequestBody:            true,
			HeaderReceived:               bodies.markOversized,
			Name:                         "lagoonbarrow",
			MaxRequestBodySize:           limits.MaxBodyBytes,
			ReadBufferSize:               limits.MaxHeaderBytes,
			Concurrency:                  limits.MaxConnections,
			ReadTimeout:                  headerTimeout,
			ConnState:                    bodies.connections.observe,
			WriteTimeout:                 writeTimeout,
			IdleTimeout:                  idleTimeout,
			CloseOnShutdown:              true,
			DisablePreParseMultipartForm: true,
			NoDefaultServerHeader:        true,
			Logger:                       discardLogger{},
			ErrorHandler:                 handleReadError,
		},
		logger: logger,
		memory: limits.Memory,
	}
}

// discardLogger discards fasthttp's log lines, which report errors of clients.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}

func (s *server) start() (lagoonbarrow.Address, error) {
	listener, err := net.Listen("tcp", string(s.address))
	if err != nil {
		return "", errors.Wrapf(err, "entry: listen on %s", s.address)
	}
	s.listener = listener
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.logger.Error("request listener failed", "address", s.address, "error", err)
		}
	}()
	return lagoonbarrow.Address(listener.Addr().String()), nil
}

// stop closes the listener and waits for requests in progress.
func (s *server) stop(ctx context.Context) error {
	if s.listener == nil {
		return nil
	}
	err := s.http.ShutdownWithContext(ctx)
	// ShutdownWithContext doesn't close a listener that Serve has not registered yet.
	_ = s.listener.Close()
	return errors.Wrap(err, "entry: stop listener")
}
