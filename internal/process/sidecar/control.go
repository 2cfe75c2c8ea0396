package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/panics"
)

const (
	// controlTimeout bounds reading a request and writing its answer.
	controlTimeout = 5 * time.Second
	// controlIdleTimeout keeps connections open between two heartbeats or readiness checks.
	controlIdleTimeout = 30 * time.Second
	// maxControlBytes bounds the body of a heartbeat.
	maxControlBytes = 64 << 10
	// maxControlConnections bounds the connections to one control listener.
	maxControlConnections = 64
)

// controlListener is an HTTP listener for the platform: heartbeats, readiness or metrics.
type controlListener struct {
	name    string
	address lagoonbarrow.Address
	http    *fasthttp.Server
	logger  hclog.Logger
}

func (s *Sidecar) newControlListener(name string, address lagoonbarrow.Address, handler fasthttp.RequestHandler) *controlListener {
	logger := s.config.Logger.Named(name)
	return &controlListener{
		name:    name,
		address: address,
		logger:  logger,
		http: &fasthttp.Server{
			Handler:               panics.NewReporter(logger).Handler(name, fasthttp.StatusInternalServerError, handler),
			ReadTimeout:           controlTimeout,
			WriteTimeout:          controlTimeout,
			IdleTimeout:           controlIdleTimeout,
			MaxRequestBodySize:    maxControlBytes,
			Concurrency:           maxControlConnections,
			NoDefaultServerHeader: true,
			NoDefaultDate:         true,
		},
	}
}

func (c *controlListener) start() error {
	listener, err := net.Listen("tcp", string(c.address))
	if err != nil {
		return errors.Wrapf(err, "sidecar: listen for %s", c.name)
	}
	go func() {
		if err := c.http.Serve(listener); err != nil {
			c.logger.Error("control listener failed", "address", c.address, "error", err)
		}
	}()
	return nil
}

func (c *controlListener) stop(ctx context.Context) error {
	return errors.Wrapf(c.http.ShutdownWithContext(ctx), "sidecar: stop %s", c.name)
}
