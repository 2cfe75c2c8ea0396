package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

const (
	// maxStrays bounds the answers to earlier requests that are skipped on one connection.
	maxStrays = 3
	// maxRetryAfter bounds what a server may say of the time until it has room.
	maxRetryAfter = 10 * time.Second
)

// Relay sends a request to a backend server that uses Config.Headers, and waits
// for the whole answer. The outcome is
//
//   - not-run when no byte was sent, or the server says that it did not run the
//     request: with the header NotRun, or status 421;
//   - done for a whole answer with the request's id and, for success, a signature;
//   - unknown otherwise.
//
// Ending ctx or passing the deadline closes the connection at once.
func (c *Client) Relay(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	answer, connected := c.do(ctx, call, deadline, relayed{
		client: c,
	})
	if !connected && answer.Reason == lagoonbarrow.ReasonBackend {
		answer.Reason = lagoonbarrow.ReasonUnreachable
	}
	return answer
}

// relayed is the dialect of servers that use Config.Headers.
type relayed struct {
	client *Client
}

func (relayed) repeatable(call *lagoonbarrow.Call) bool {
	return !call.AtMostOnce
}

func (r relayed) deadlineHeader() string {
	return r.client.config.Headers.Deadline
}

func (r relayed) fill(request *fasthttp.Request, call *lagoonbarrow.Call) {
	headers := r.client.config.Headers
	for _, field := range call.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.SetHost(call.Host)
	if call.Request != "" {
		request.Header.Set(headers.RequestID, string(call.Request))
	}
	if call.Server != "" {
		request.Header.Set(headers.ExpectedServer, string(call.Server))
	}
}

// read reads the answer to this call and skips those to earlier requests on the
// same connection, which a faulty server may send late. A connection with such an
// answer isn't used again.
func (r relayed) read(used *connection, call *lagoonbarrow.Call, response *fasthttp.Response) (reusable bool, err error) {
	config := r.client.config
	for strays := range maxStrays {
		response.Reset()
		if err := used.readUnframed(response, call.Method == fasthttp.MethodHead, config.MaxBodyBytes); err != nil {
			return false, err
		}
		echo := string(response.Header.Peek(config.Headers.RequestID))
		if echo == string(call.Request) {
			return strays == 0, nil
		}
		if echo == "" && response.StatusCode() >= fasthttp.StatusMultipleChoices {
			return strays == 0, nil
		}
		if echo == "" {
			return false, errForeignAnswer
		}
		config.Scope.Counter("stray-answers").Inc(1)
		if response.ConnectionClose() {
			return false, errForeignAnswer
		}
	}
	return false, errForeignAnswer
}

// errForeignAnswer: the connection holds answers to other requests only.
var errForeignAnswer = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: answer to another request")

func (r relayed) answer(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer {
	headers := r.client.config.Headers
	answer := &lagoonbarrow.Answer{
		Call:    call.ID,
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  response.StatusCode(),
	}
	header := &response.Header
	switch {
	case len(header.Peek(headers.NotRun)) > 0:
		answer.Outcome = lagoonbarrow.OutcomeNotRun
		answer.Reason = lagoonbarrow.ReasonShed
		answer.RetryAfter = retryAfter(header)
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		answer.Outcome = lagoonbarrow.OutcomeNotRun
		answer.Reason = lagoonbarrow.ReasonLeaving
	case promisesNotRun(answer.Status), !genuine(answer.Status, header, headers.Signature):
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Reason = lagoonbarrow.ReasonBackend
	default:
		// The node where the request began knows its id.
		header.Del(headers.RequestID)
		answer.Header = forwarded(fieldsOf(header))
		answer.Body = append([]byte(nil), response.Body()...)
	}
	return answer
}

// promisesNotRun reports whether clients take the status for a promise that the
// request was not run, which a server gives with the header NotRun only.
func promisesNotRun(status int) bool {
	return status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// genuine reports whether a success is the server's own and unchanged.
func genuine(status int, header *fasthttp.ResponseHeader, signature string) bool {
	if status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return len(header.Peek(signature)) > 0 && len(header.ContentEncoding()) == 0
}

// retryAfter reads the seconds after which the server expects to have room.
func retryAfter(header *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}
