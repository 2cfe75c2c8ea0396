package platform

import (
	"context"

	"lagoonbarrow"
)

var _ lagoonbarrow.Table = (*Client)(nil)

// Client is a client of the platform. It implements lagoonbarrow.Table.
type Client struct{}

// New returns a client.
func New(_ Config) *Client { return &Client{} }

// Start begins to serve calls.
func (c *Client) Start() error { return nil }

// Stop ends the client.
func (c *Client) Stop() error { return nil }

// Available implements lagoonbarrow.Table.
func (c *Client) Available() bool { return false }

// Get implements lagoonbarrow.Table.
func (c *Client) Get(_ context.Context, _, _ string) (lagoonbarrow.Row, error) {
	return lagoonbarrow.Row{}, lagoonbarrow.ErrUnavailable
}

// Scan implements lagoonbarrow.Table.
func (c *Client) Scan(_ context.Context, _, _ string, _ int) ([]lagoonbarrow.Row, error) {
	return nil, lagoonbarrow.ErrUnavailable
}

// Put implements lagoonbarrow.Table.
func (c *Client) Put(_ context.Context, _ lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	return 0, lagoonbarrow.ErrUnavailable
}

// Transact implements lagoonbarrow.Table.
func (c *Client) Transact(_ context.Context, _ []lagoonbarrow.Write) error {
	return lagoonbarrow.ErrUnavailable
}

// GetObject returns an object and its ETag.
func (c *Client) GetObject(_ context.Context, _ string) ([]byte, string, error) {
	return nil, "", lagoonbarrow.ErrUnavailable
}

// PutObject writes an object.
func (c *Client) PutObject(_ context.Context, _ string, _ []byte, _ string) (string, error) {
	return "", lagoonbarrow.ErrUnavailable
}
