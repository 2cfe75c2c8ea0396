package caller

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	defaultTimeout = 10 * time.Second
	// defaultResends is the nodes' default for retry-tokens. They refuse further
	// re-sends of a request with the reason "exhausted".
	defaultResends = 3
	// maxIdleConnections is the number of idle connections kept for each address.
	maxIdleConnections = 32
	// keyBytes is the number of random bytes in a generated request key.
	keyBytes = 16
)

// Config configures a Client. Zero values are replaced by the documented defaults.
type Config struct {
	// Entries are the entry addresses, such as "192.0.2.1:7000". At least one is required.
	Entries []string
	// APIKey is the customer's credential. It is required.
	APIKey string
	// Timeout bounds a request with all its re-sends. The default is 10 s.
	Timeout time.Duration
	// Resends bounds the sends of a request after the first. The default is 3. A
	// negative value disables re-sends.
	Resends int
	// BodyBytes bounds the body of an answer. The default is 4 MiB, the default of
	// the nodes' max-body-bytes setting.
	BodyBytes int64
}

// Client sends a customer's requests to entry nodes. It may be used by several
// goroutines at once.
type Client struct {
	config  Config
	http    *http.Client
	entries *entries
}

// Request is one request of a customer.
type Request struct {
	Method string
	// Path starts with '/' and may contain a query.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey identifies the request permanently. Nodes run it at most once
	// and return the stored answer to repeats. Set it only for requests whose class
	// in the contract is at-most-once. For other classes, nodes only use it to count
	// re-sends.
	IdempotencyKey string
	// RequestKey lets nodes count re-sends by the program itself against the
	// request's retry tokens. If both keys are empty, Do generates one that covers
	// its own re-sends.
	RequestKey string
}

// New returns a client.
func New(config Config) (*Client, error) {
	if len(config.Entries) == 0 {
		return nil, errors.New("caller: no entry address given")
	}
	if config.APIKey == "" {
		return nil, errors.New("caller: no API key given")
	}
	if config.Timeout <= 0 {
		config.Timeout = defaultTimeout
	}
	if config.Resends == 0 {
		config.Resends = defaultResends
	}
	if config.BodyBytes <= 0 {
		config.BodyBytes = defaultBodyBytes
	}
	return &Client{
		config:  config,
		http:    newHTTPClient(maxIdleConnections),
		entries: newEntries(config.Entries, time.Now),
	}, nil
}

// Close closes unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request and returns the complete answer of a backend server, whatever
// its status, or a *Refusal.
//
// It re-sends the request under the same key if the request was not run. After an
// unknown outcome, it does so only if the method is safe or the request has an
// IdempotencyKey. It waits for the time in Retry-After, and stops early if the
// wait would exceed the timeout or the deadline of ctx.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if request.IdempotencyKey == "" && request.RequestKey == "" {
		request.RequestKey = newKey()
	}
	loop := sendLoop{
		client:  c,
		request: request,
	}
	return loop.run(ctx)
}

func newKey() string {
	var raw [keyBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// newMessage returns the message that sends the request to an address.
func (c *Client) newMessage(request Request, address string) message {
	header := request.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	header.Set("Authorization", "Bearer "+c.config.APIKey)
	if request.IdempotencyKey != "" {
		header.Set(lagoonbarrow.HeaderIdempotencyKey, request.IdempotencyKey)
	}
	if request.RequestKey != "" {
		header.Set(lagoonbarrow.HeaderRequestKey, request.RequestKey)
	}
	return message{
		address:   address,
		method:    request.Method,
		path:      request.Path,
		header:    header,
		body:      request.Body,
		bodyLimit: c.config.BodyBytes,
	}
}
