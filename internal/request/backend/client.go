// Package backend sends calls over HTTP to the backend server beside the node.
//
// It writes and parses HTTP with fasthttp and keeps the connections itself. The
// clients of fasthttp can't close a connection when a context is cancelled, and
// those of fasthttp and net/http send some requests again on their own: net/http
// even a POST that has an Idempotency-Key, when a reused connection turns out to
// be closed. That could run a write twice. Here a request is written at most once.
package backend

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Defaults of Config.
const (
	// defaultConnections is the connection limit of a large backend server
	// (design 1.1).
	defaultConnections = 500
	// defaultMaxBodyBytes is the limit of an answer's body (design 3.5).
	defaultMaxBodyBytes = 4 << 20
	defaultDialTimeout  = 500 * time.Millisecond
	defaultIdleTimeout  = 10 * time.Second
	defaultProbeTimeout = time.Second
	defaultHealthPath   = "/health"
)

// Config configures a Client. Zero values take the defaults.
type Config struct {
	// Address of the backend server.
	Address lagoonbarrow.Address
	// HealthPath is the path that Probe asks for; "/health" by default.
	HealthPath string
	// Connections bounds the connections; 500 by default. One of them is kept for
	// Probe, unless it is the only one.
	Connections int
	// MaxBodyBytes bounds an answer's body; 4 MiB by default.
	MaxBodyBytes int
	// DialTimeout bounds opening a connection; 500 ms by default.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 10 s by default.
	IdleTimeout time.Duration
	// MaxIdle bounds the unused connections; all are kept by default.
	MaxIdle int
	// Headers names the headers of servers that Relay sends to.
	Headers lagoonbarrow.ServerHeaders
	// FreshTime is how long a connection may have been idle to be used for a request
	// that must not be sent twice; 1 s by default, none if negative.
	FreshTime time.Duration
	Scope     tally.Scope
}

// Client sends calls to the backend server. It implements lagoonbarrow.Backend.
type Client struct {
	config Config
	pool   *pool
}

var _ lagoonbarrow.Backend = (*Client)(nil)

// New returns a client. It returns ErrInvalid without an address.
func New(config Config) (*Client, error) {
	if config.Address == "" {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "backend: address is missing")
	}
	if config.HealthPath == "" {
		config.HealthPath = defaultHealthPath
	}
	if config.Connections <= 0 {
		config.Connections = defaultConnections
	}
	if config.MaxBodyBytes <= 0 {
		config.MaxBodyBytes = defaultMaxBodyBytes
	}
	if config.DialTimeout <= 0 {
		config.DialTimeout = defaultDialTimeout
	}
	if config.IdleTimeout <= 0 {
		config.IdleTimeout = defaultIdleTimeout
	}
	if config.MaxIdle <= 0 {
		config.MaxIdle = config.Connections
	}
	if config.FreshTime == 0 {
		config.FreshTime = defaultFreshTime
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	return &Client{
		config: config,
		pool:   newPool(config),
	}, nil
}

// Close closes all connections. Calls in flight are cut off.
func (c *Client) Close() {
	c.pool.close()
}

// Probe asks the backend server for its health on a connection of its own. It
// returns ErrUnavailable unless the answer is 200 within ctx, or 1 s.
func (c *Client) Probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, defaultProbeTimeout)
	defer cancel()
	dialer := net.Dialer{
		Timeout: c.config.DialTimeout,
	}
	raw, err := dialer.DialContext(ctx, "tcp", string(c.config.Address))
	if err != nil {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "backend: probe: "+err.Error())
	}
	used := newConnection(raw)
	defer used.close()
	stop := context.AfterFunc(ctx, used.close)
	defer stop()
	status, err := used.probe(c.config)
	if err != nil {
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "backend: probe: "+err.Error())
	}
	if status != statusOK {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "backend: probe: status %d", status)
	}
	return nil
}
