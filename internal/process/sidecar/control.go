package sidecar

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
	// controlTimeout bounds reading a request to a control listener.
	controlTimeout = 5 * time.Second
	// controlIdle is longer than the pause between two heartbeats or readiness checks.
	controlIdle = 30 * time.Second
	// maxControlBytes bounds a heartbeat.
	maxControlBytes = 64 << 10
	// maxControlConnections bounds the connections to one control listener.
	maxControlConnections = 64
)

// control is a listener that serves the platform, not clients.
type control struct {
	name    string
	address lagoonbarrow.Address
	http    *fasthttp.Server
	logger  hclog.Logger
}

func (s *Sidecar) newControl(name string, address lagoonbarrow.Address, handler fasthttp.RequestHandler) *control {
	return &control{
		name:    name,
		address: address,
		logger:  s.config.Logger.Named(name),
		http: &fasthttp.Server{
			Handler:               handler,
			ReadTimeout:           controlTimeout,
			WriteTimeout:          controlTimeout,
			IdleTimeout:           controlIdle,
			MaxRequestBodySize:    maxControlBytes,
			Concurrency:           maxControlConnections,
			NoDefaultServerHeader: true,
			NoDefaultDate:         true,
		},
	}
}

func (c *control) start() error {
	listener, err := net.Listen("tcp", string(c.address))
	if err != nil {
		return errors.Wrapf(err, "sidecar: listen for %s", c.name)
	}
	go func() {
		if err := c.http.Serve(listener); err != nil {
			c.logger.Error("the listener failed", "address", c.address, "error", err)
		}
	}()
	return nil
}

func (c *control) stop(ctx context.Context) error {
	return errors.Wrapf(c.http.ShutdownWithContext(ctx), "sidecar: stop %s", c.name)
}
