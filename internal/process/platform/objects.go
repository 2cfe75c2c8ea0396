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
	replies := make(chan reply, 1)
	err := c.read(ctx, request{
		method: fasthttp.MethodGet,
		path:   objectPath(name),
	}, func(got reply) error {
		if got.status == fasthttp.StatusNotFound {
			return errors.Wrapf(lagoonbarrow.ErrNotFound, "platform: object %s", name)
		}
		replies <- got
		return checkETag(got)
	})
	if err != nil {
		return nil, "", err
	}
	got := <-replies
	return got.body, got.etag, nil
}

// PutObject writes an object whose ETag is the expected one, or that does not
// exist when it is empty, and returns the new ETag. It returns ErrConflict,
// ErrUnavailable or ErrOutcomeUnknown.
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
	replies := make(chan reply, 1)
	err := c.call(ctx, request{
		method: fasthttp.MethodPut,
		path:   objectPath(name),
		// The request outlives the call when ctx ends first.
		body:   append([]byte{}, body...),
		header: []lagoonbarrow.HeaderField{condition},
	}, func(got reply) error {
		if got.status == fasthttp.StatusPreconditionFailed {
			return errors.Wrapf(lagoonbarrow.ErrConflict, "platform: object %s", name)
		}
		replies <- got
		return checkETag(got)
	})
	if err != nil {
		return "", err
	}
	got := <-replies
	return got.etag, nil
}

func checkETag(got reply) error {
	if got.status >= fasthttp.StatusBadRequest || got.etag == "" {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d or missing ETag for an object", got.status)
	}
	return nil
}
