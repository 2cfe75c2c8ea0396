package platform

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

const (
	// maxAnswerBytes bounds an answer: a scan of 1,000 rows.
	maxAnswerBytes = 32 << 20
	// idleConnection is the time after which an unused connection is closed,
	// before a server would do it and make the next write's outcome unknown.
	idleConnection = 5 * time.Second
)

// dialError marks a failed connection set-up: nothing was sent.
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
			return connection, nil
		},
		MaxIdleConnDuration: idleConnection,
		MaxResponseBodySize: maxAnswerBytes,
		// A request that is sent twice could take effect and then report a
		// conflict with itself.
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

// reply is a whole HTTP answer of the platform.
type reply struct {
	status int
	etag   string
	body   []byte
}

// exchange makes one request. ErrUnavailable means that the platform did
// nothing, ErrOutcomeUnknown that it may have. fasthttp closes the connection
// after any error, so none is reused after a timeout.
func (c *Client) exchange(request request) (reply, verdict, error) {
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
		return reply{}, failed, classifyError(err)
	}
	got := reply{
		status: incoming.StatusCode(),
		etag:   string(incoming.Header.Peek(fasthttp.HeaderETag)),
		body:   append([]byte(nil), incoming.Body()...),
	}
	result, err := classifyStatus(got.status)
	return got, result, err
}

// classifyError tells a request that was not sent from one that may have been served.
func classifyError(err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "platform: %v", err)
	}
	return errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: %v", err)
}

// errLimited is the ErrUnavailable of an answer with status 429.
var errLimited = errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: request limit reached")

// classifyStatus judges an answer by its status alone. 404, 409 and 412 are
// results that the caller reads.
func classifyStatus(status int) (verdict, error) {
	switch {
	case status == fasthttp.StatusTooManyRequests:
		return limited, errLimited
	case status == fasthttp.StatusServiceUnavailable:
		return failed, errors.Wrap(lagoonbarrow.ErrUnavailable, "platform: status 503")
	case status >= fasthttp.StatusInternalServerError:
		return failed, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: status %d", status)
	case status == fasthttp.StatusNotFound,
		status == fasthttp.StatusConflict,
		status == fasthttp.StatusPreconditionFailed:
		return answered, nil
	case status >= fasthttp.StatusBadRequest:
		return answered, errors.Wrapf(lagoonbarrow.ErrInvalid, "platform: status %d", status)
	case status == fasthttp.StatusOK, status == fasthttp.StatusNoContent:
		return answered, nil
	default:
		return failed, errors.Wrapf(lagoonbarrow.ErrOutcomeUnknown, "platform: status %d", status)
	}
}
