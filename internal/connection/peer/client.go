package peer

import (
	"context"

	"lagoonbarrow"
)

// Client calls other nodes. It implements lagoonbarrow.Transport.
type Client struct {
	config ClientConfig
}

var _ lagoonbarrow.Transport = (*Client)(nil)

// NewClient returns a client. It returns ErrInvalid for an incomplete config.
func NewClient(config ClientConfig) (*Client, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	return &Client{
		config: config,
	}, nil
}

// Call sends a call and waits for the whole answer.
func (c *Client) Call(_ context.Context, _ lagoonbarrow.Instance, _ *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	return nil, lagoonbarrow.ErrNotSent
}

// Send sends a control message and returns the reply.
func (c *Client) Send(_ context.Context, _ lagoonbarrow.Address, _ lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
}

// Broadcast sends a control message to all connected peers.
func (c *Client) Broadcast(_ context.Context, _ lagoonbarrow.Message) {
}

// Close closes all connections. Calls in flight are cut off.
func (c *Client) Close() {
}
