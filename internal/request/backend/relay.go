package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// maxRetryAfter bounds the delay that a server may request by Retry-After.
const maxRetryAfter = 10 * time.Second

// Relay sends a request to a backend server that uses Config.Headers and waits for
// the complete answer. The outcome is
//
//   - not-run when no byte was sent, or the server reports that it did not run the
//     request, by the header NotRun or status 421;
//   - done for a complete answer with the request's id and, for success, a signature;
//   - unknown otherwise.
//
// When ctx ends or the deadline passes, the connection is closed at once.
func (c *Client) Relay(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	answer, connected := c.do(ctx, call, deadline, relayDialect{
		client: c,
	})
	if !connected && answer.Reason == lagoonbarrow.ReasonBackend {
		answer.Reason = lagoonbarrow.ReasonUnreachable
	}
	return answer
}

// relayDialect is the dialect of servers that use Config.Headers.
type relayDialect struct {
	client *Client
}

func (relayDialect) mayReuseIdle(call *lagoonbarrow.Call) bool {
	return !call.AtMostOnce
}

func (r relayDialect) deadlineHeader() string {
	return r.client.config.Headers.Deadline
}

func (r relayDialect) setHeaders(request *fasthttp.Request, call *lagoonbarrow.Call) {
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

func (relayDialect) requestID(call *lagoonbarrow.Call) string {
	return string(call.Request)
}

func (r relayDialect) echoedID(response *fasthttp.Response) string {
	return string(response.Header.Peek(r.client.config.Headers.RequestID))
}

// acceptsUnnamed accepts a failure without an id, which a server may send before it has
// read the request, but no success.
func (relayDialect) acceptsUnnamed(call *lagoonbarrow.Call, status int) bool {
	return status >= fasthttp.StatusMultipleChoices || call.Request == ""
}

func (relayDialect) mayReuseAfterUnnamed(*lagoonbarrow.Answer) bool {
	return false
}

// read reads one complete answer. Of a refusal without a length the head is enough, since its body
// isn't passed on.
func (r relayDialect) read(conn *connection, call *lagoonbarrow.Call, response *fasthttp.Response) error {
	err := conn.readUnframed(response, call.Method == fasthttp.MethodHead, r.client.config.MaxBodyBytes)
	if errors.Is(err, errNoLength) && r.refusalReason(response) != lagoonbarrow.ReasonNone {
		return nil
	}
	return err
}

// refusalReason returns why the server has not run the request, or ReasonNone if its answer doesn't
// say that it has not.
func (r relayDialect) refusalReason(response *fasthttp.Response) lagoonbarrow.Reason {
	switch {
	case len(response.Header.Peek(r.client.config.Headers.NotRun)) > 0:
		return lagoonbarrow.ReasonShed
	case response.StatusCode() == fasthttp.StatusMisdirectedRequest:
		return lagoonbarrow.ReasonLeaving
	default:
		return lagoonbarrow.ReasonNone
	}
}

func (r relayDialect) toAnswer(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer {
	headers := r.client.config.Headers
	answer := &lagoonbarrow.Answer{
		Call:    call.ID,
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  response.StatusCode(),
	}
	header := &response.Header
	if answer.Status != fasthttp.StatusMisdirectedRequest {
		answer.Announcement = announcement(header, headers)
	}
	refusal := r.refusalReason(response)
	switch {
	case refusal != lagoonbarrow.ReasonNone:
		answer.Outcome = lagoonbarrow.OutcomeNotRun
		answer.Reason = refusal
		if refusal == lagoonbarrow.ReasonShed {
			answer.RetryAfter = retryAfter(header)
		}
	case impliesNotRun(answer.Status), !isAuthentic(answer.Status, header, headers.Signature):
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Reason = lagoonbarrow.ReasonBackend
		answer.Announcement = nil
	default:
		// The node that accepted the request from the client already has its id.
		header.Del(headers.RequestID)
		answer.Header = forwardableHeaders(headerFields(header))
		answer.Body = response.Body()
	}
	return answer
}

// impliesNotRun reports whether clients may conclude from the status that the request
// was not run. Only the header NotRun confirms that.
func impliesNotRun(status int) bool {
	return status == fasthttp.StatusRequestTimeout || status == fasthttp.StatusTooManyRequests || status == fasthttp.StatusServiceUnavailable
}

// isAuthentic reports whether a successful answer is signed by the server and
// unmodified. Other answers need no signature.
func isAuthentic(status int, header *fasthttp.ResponseHeader, signature string) bool {
	if status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return len(header.Peek(signature)) > 0 && len(header.ContentEncoding()) == 0
}

// retryAfter returns the delay in the Retry-After header, up to maxRetryAfter.
func retryAfter(header *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}
