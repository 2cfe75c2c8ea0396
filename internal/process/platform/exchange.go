package platform

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/responsehead"
)

const (
	// maxResponseBytes limits the size of a response. The largest is a scan of 1,000 rows.
	maxResponseBytes = 32 << 20
	// maxIdleTime is how long an unused connection stays open. It must be closed before
	// the server closes it, which would make the outcome of the next write unknown.
	maxIdleTime = 5 * time.Second
)

// dialError means that no connection could be established, so nothing was sent.
type dialError struct {
	cause error
}

func (e *dialError) Error() string {
	return "connect: " + e.cause.Error()
}

func (e *dialError) Unwrap() error {
	return e.cause
}

func newHostClient(config Config) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:     string(config.Address),
		Name:     "lagoonbarrow",
		MaxConns: config.Concurrency + 1,
		Dial: func(address string) (net.Conn, error) {
			connection, err := net.DialTimeout("tcp", address, config.DialTimeout)
			if err != nil {
				return nil, &dialError{
					cause: err,
				}
			}
			return responsehead.NewConn(connection), nil
		},
		MaxIdleConnDuration: maxIdleTime,
		MaxResponseBodySize: maxResponseBytes,
		// A write that is sent twice could take effect and then report a conflict
		// with itself.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		DisablePathNormalizing: true,
	}
}

// request is one HTTP request to the platform.
type request struct {
	method string
	path   string
	body   []byte
	header []lagoonbarrow.HeaderField
}

// response is a complete HTTP response of the platform.
type response struct {
	status int
	etag   string
	body   []byte
}

// exchange sends one request. ErrUnavailable means that the request had no effect,
// ErrOutcomeUnknown that it may have had one. fasthttp closes the connection after any
// error, so none is reused after a timeout.
func (c *Client) exchange(request request) (response, requestResult, error) {
	outgoing := fasthttp.AcquireRequest()
	incoming := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(incoming)
	outgoing.SetRequestURI("http://" + string(c.config.Address) + request.path)
	outgoing.Header.SetMethod(request.method)
	for _, field := range request.header {
		outgoing.Header.Set(field.Name, field.Value)
	}
	if request.body != nil {
		outgoing.SetBodyRaw(request.body)
	}
	if err := c.http.DoTimeout(outgoing, incoming, c.config.Timeout); err != nil {
		return response{}, resultFailed, classifyError(err)
	}
	got := response{
		status: incoming.StatusCode(),
		etag:   string(incoming.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), incoming.Body()...),
	}
	result, err := classifyStatus(got.status)
	return got, result, err
}

// classifyError distinguishes a request that was not sent from one that may have
// taken effect.
func classifyError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: %v", err)
	}
	return errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: %v", err)
}

// errLimited is the error for status 429. It wraps ErrUnavailable.
var errLimited = errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: request limit reached")

// classifyStatus maps a status to a result and an error. It returns no error for 404,
// 409 and 412, because the callers handle them.
func classifyStatus(status int) (requestResult, error) {
	switch {
	case status == fasthttp.StatusTooManyRequests:
		return resultLimited, errLimited
	case status == fasthttp.StatusServiceUnavailable:
		return resultFailed, errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: status 503")
	case status >= fasthttp.StatusInternalServerError:
		return resultFailed, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: status %d", status)
	case status == fasthttp.StatusNotFound,
		status == fasthttp.StatusConflict,
		status == fasthttp.StatusPreconditionFailed:
		return resultAnswered, nil
	case status >= fasthttp.StatusBadRequest:
		return resultAnswered, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d", status)
	case status == fasthttp.StatusOK, status == fasthttp.StatusNoContent:
		return resultAnswered, nil
	default:
		return resultFailed, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: status %d", status)
	}
}
