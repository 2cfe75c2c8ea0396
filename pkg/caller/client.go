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
	// defaultResends is the nodes' default for retry-tokens. More re-sends of a
	// request would be refused with the reason "exhausted".
	defaultResends = 3
	// idleConnections are kept for each entry address.
	idleConnections = 32
	// keyBytes is the number of random bytes in a generated request key.
	keyBytes = 16
)

// Config sets up a Client. Zero values are replaced by the defaults given.
type Config struct {
	// Entries are the entry addresses, such as "192.0.2.1:7000"; at least one.
	Entries []string
	// APIKey is the customer's credential; required.
	APIKey string
	// Timeout bounds a request with all its re-sends; default 10 s.
	Timeout time.Duration
	// Resends bounds the sends of a request after the first; default 3,
	// negative for none.
	Resends int
	// BodyBytes bounds the body of an answer; default 4 MiB, which is the
	// default of the nodes' max-body-bytes.
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
	// Path starts with '/' and may carry a query.
	Path   string
	Header http.Header
	Body   []byte
	// IdempotencyKey names the request for all time: nodes run it at most once
	// and give its kept answer to repeats. Set it for requests whose class in
	// the contract is at-most-once, and for no others: the nodes of other
	// classes only count re-sends under it.
	IdempotencyKey string
	// RequestKey lets nodes count re-sends by the program itself against the
	// request's retry tokens. Without a key, the client generates one that is
	// good for the re-sends it makes.
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
		http:    newHTTPClient(idleConnections),
		entries: newEntries(config.Entries, time.Now),
	}, nil
}

// Close closes unused connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request and returns the whole answer of a backend server, whatever
// its status, or a *Refusal.
//
// It sends again, under the same key, after a refusal as not run and, if the
// method is safe or the request has an IdempotencyKey, after an unknown
// outcome. It waits as Retry-After says and stops early when the wait would
// outlast the timeout or ctx.
func (c *Client) Do(ctx context.Context, request Request) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if request.IdempotencyKey == "" && request.RequestKey == "" {
		request.RequestKey = newKey()
	}
	sending := sends{
		client:  c,
		request: request,
	}
	return sending.run(ctx)
}

func newKey() string {
	var raw [keyBytes]byte
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// message returns the request as it is sent to an address.
func (c *Client) message(request Request, address string) message {
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
		address: address,
		method:  request.Method,
		path:    request.Path,
		header:  header,
		body:    request.Body,
		limit:   c.config.BodyBytes,
	}
}
