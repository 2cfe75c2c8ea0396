// Package entry serves customers' requests and the downstream calls of the
// backend server beside this node.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

const (
	// headTimeout bounds the time to read a request, against clients that send slowly.
	headTimeout = 30 * time.Second
	// answerTimeout bounds the time to write an answer, against clients that read
	// slowly and would hold up a graceful stop. It doesn't include the call.
	answerTimeout = 30 * time.Second
	// idleTimeout closes unused connections.
	idleTimeout = time.Minute
)

// Limits bound what a listener takes from outside.
type Limits struct {
	BodyBytes   int
	HeaderBytes int
	Connections int
}

// server is an HTTP listener.
type server struct {
	address  lagoonbarrow.Address
	http     *fasthttp.Server
	listener net.Listener
	logger   hclog.Logger
}

func newServer(address lagoonbarrow.Address, limits Limits, logger hclog.Logger, handler fasthttp.RequestHandler) *server {
	return &server{
		address: address,
		http: &fasthttp.Server{
			Handler:                      handler,
			Name:                         "lagoonbarrow",
			MaxRequestBodySize:           limits.BodyBytes,
			ReadBufferSize:               limits.HeaderBytes,
			Concurrency:                  limits.Connections,
			ReadTimeout:                  headTimeout,
			WriteTimeout:                 answerTimeout,
			IdleTimeout:                  idleTimeout,
			CloseOnShutdown:              true,
			DisablePreParseMultipartForm: true,
			NoDefaultServerHeader:        true,
			Logger:                       silent{},
			ErrorHandler:                 refuseUnread,
		},
		logger: logger,
	}
}

// refuseUnread answers requests that could not be read. None of them was run.
func refuseUnread(http *fasthttp.RequestCtx, err error) {
	var header *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeError(http, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
	case errors.As(err, &header):
		writeError(http, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	default:
		writeError(http, fasthttp.StatusBadRequest, "the request is not valid HTTP")
	}
}

// silent drops fasthttp's own log lines, which repeat what clients did wrong.
type silent struct{}

// Printf implements fasthttp.Logger.
func (silent) Printf(string, ...any) {}

func (s *server) start() (lagoonbarrow.Address, error) {
	listener, err := net.Listen("tcp", string(s.address))
	if err != nil {
		return "", errors.Wrapf(err, "entry: listen on %s", s.address)
	}
	s.listener = listener
	go func() {
		if err := s.http.Serve(listener); err != nil {
			s.logger.Error("the listener of requests failed", "address", s.address, "error", err)
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
	// A shutdown before Serve has taken the listener does nothing to it.
	_ = s.listener.Close()
	return errors.Wrap(err, "entry: stop listener")
}
