package platform

import (
	"context"
	"net/url"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

func objectPath(name string) string {
	return "/v1/objects/" + url.PathEscape(name)
}

// GetObject returns an object's body and ETag. It returns ErrNotFound or
// ErrUnavailable.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, string, error) {
	responses := make(chan response, 1)
	err := c.read(ctx, request{
		method: fasthttp.MethodGet,
		path:   objectPath(name),
	}, func(got response) error {
		if got.status == fasthttp.StatusNotFound {
			return errors.Wrapf(lagoonbarrow.ErrNotFound, "platform: object %s", name)
		}
		responses <- got
		return checkETag(got)
	})
	if err != nil {
		return nil, "", err
	}
	got := <-responses
	return got.body, got.etag, nil
}

// PutObject replaces the object with the expected ETag, or creates the object if
// expected is empty, and returns the new ETag. It returns ErrConflict, ErrUnavailable
// or ErrOutcomeUnknown.
func (c *Client) PutObject(ctx context.Context, name string, body []byte, expected string) (string, error) {
	condition := lagoonbarrow.HeaderField{
		Name:  fasthttp.HeaderIfMatch,
		Value: expected,
	}
	if expected == "" {
		condition = lagoonbarrow.HeaderField{
			Name:  fasthttp.HeaderIfNoneMatch,
			Value: "*",
		}
	}
	responses := make(chan response, 1)
	err := c.call(ctx, request{
		method: fasthttp.MethodPut,
		path:   objectPath(name),
		// The body is copied, because the request may outlive the call when ctx ends.
		body:   append([]byte{}, body...),
		header: []lagoonbarrow.HeaderField{condition},
	}, func(got response) error {
		if got.status == fasthttp.StatusPreconditionFailed {
			return errors.Wrapf(lagoonbarrow.ErrConflict, "platform: object %s", name)
		}
		responses <- got
		return checkETag(got)
	})
	if err != nil {
		return "", err
	}
	got := <-responses
	return got.etag, nil
}

func checkETag(got response) error {
	if got.status >= fasthttp.StatusBadRequest || got.etag == "" {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d or missing ETag for an object", got.status)
	}
	return nil
}
