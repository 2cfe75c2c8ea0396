// Package backend sends calls over HTTP to the backend server beside the node.
//
// It writes and parses HTTP with fasthttp and manages the connections itself. The
// clients of fasthttp can't close a connection when a context is cancelled. Those of
// fasthttp and net/http also resend some requests on their own: net/http resends even
// a POST with an Idempotency-Key when a reused connection turns out to be closed, which
// could run a write twice. This package writes a request at most once.
package backend

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/logging"
	"lagoonbarrow/internal/process/memory"
)

// Defaults of Config.
const (
	// defaultConnections is the connection limit of a large backend server
	// (docs/design.md, 1.1).
	defaultConnections = 500
	// defaultMaxBodyBytes is the size limit of an answer's body (docs/design.md, 3.5).
	defaultMaxBodyBytes = 4 << 20
	// defaultMemoryBytes has room for 16 answers of the largest size.
	defaultMemoryBytes = 64 << 20
	defaultDialTimeout = 500 * time.Millisecond
	defaultIdleTimeout = 10 * time.Second
	defaultHealthPath  = "/health"
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// Address is the address of the backend server.
	Address lagoonbarrow.Address
	// HealthPath is the path that Probe requests; "/health" by default.
	HealthPath string
	// Connections bounds the connections; 500 by default. One of them is reserved
	// for Probe, unless it is the only one.
	Connections int
	// MaxBodyBytes bounds an answer's body; 4 MiB by default.
	MaxBodyBytes int
	// Memory bounds the bodies of all answers being received; to 64 MiB by default.
	Memory *memory.Limiter
	// DialTimeout bounds the time to open a connection; 500 ms by default.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 10 s by default.
	IdleTimeout time.Duration
	// MaxIdle bounds the number of unused connections; all are kept by default.
	MaxIdle int
	// Headers names the headers that Relay exchanges with its servers.
	Headers lagoonbarrow.ServerHeaders
	// MaxUnsafeIdle bounds the idle time of a connection that is reused for a request
	// that must not be sent twice; 1 s by default. If negative, such a request always
	// gets a new connection.
	MaxUnsafeIdle time.Duration
	// Logger gets the reasons for which answers are not taken; none by default.
	Logger hclog.Logger
	Scope  tally.Scope
}

// Client sends calls to the backend server. It implements lagoonbarrow.Backend.
type Client struct {
	config Config
	pool   *pool
	// lost bounds the log lines about answers that were not taken.
	lost logging.Throttle
}

var _ lagoonbarrow.Backend = (*Client)(nil)

// New returns a client. It returns ErrInvalid if the address is missing.
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
	if config.Memory == nil {
		config.Memory = memory.New(memory.Config{
			MaxBytes: defaultMemoryBytes,
		})
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
	if config.MaxUnsafeIdle == 0 {
		config.MaxUnsafeIdle = defaultMaxUnsafeIdle
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	return &Client{
		config: config,
		pool:   newPool(config),
	}, nil
}

// Close closes all connections, which aborts the calls in flight.
func (c *Client) Close() {
	c.pool.close()
}

// Probe queries the health path of the backend server on a separate connection. It
// returns ErrDeadline if no answer has arrived when ctx ends, and ErrUnavailable for
// other failures and for an answer other than 200.
func (c *Client) Probe(ctx context.Context) error {
	health, err := c.Health(ctx, c.config.HealthPath)
	if err != nil {
		return err
	}
	if health.Status != statusOK {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "backend: probe: status %d", health.Status)
	}
	return nil
}

// Health is what a backend server answers at its health path.
type Health struct {
	// Server is the id that the server names, or empty.
	Server lagoonbarrow.ServerID
	Status int
	// NotRun is set if the server has not processed the request.
	NotRun bool
}

// Health queries a health path of the backend server on a separate connection. It returns
// ErrDeadline if no answer has arrived when ctx ends, and ErrUnavailable for other failures.
func (c *Client) Health(ctx context.Context, path string) (Health, error) {
	dialer := net.Dialer{
		Timeout: c.config.DialTimeout,
	}
	netConn, err := dialer.DialContext(ctx, "tcp", string(c.config.Address))
	if err != nil {
		return Health{}, probeError(ctx, err)
	}
	conn := newConnection(netConn)
	defer conn.close()
	stop := context.AfterFunc(ctx, conn.close)
	defer stop()
	health, err := conn.probe(c.config, path)
	if err != nil {
		return Health{}, probeError(ctx, err)
	}
	return health, nil
}

// probeError returns the error for a probe without an answer.
func probeError(ctx context.Context, err error) error {
	cause := lagoonbarrow.ErrUnavailable
	if ctx.Err() != nil {
		cause = lagoonbarrow.ErrDeadline
	}
	return errors.Wrap(cause, "backend: probe: "+err.Error())
}
