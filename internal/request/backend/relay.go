package backend

import (
	"context"
	"strconv"
	"time"

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
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !writable(call) {
		return unwritable(call)
	}
	used, err := c.pool.acquire(ctx, !call.AtMostOnce)
	if err != nil {
		refusal := failed(ctx, call, lagoonbarrow.OutcomeNotRun)
		if refusal.Reason == lagoonbarrow.ReasonBackend {
			refusal.Reason = lagoonbarrow.ReasonUnreachable
		}
		return refusal
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	c.fillRelayed(request, call)
	answer, reusable := c.relay(ctx, used, call, request, deadline)
	c.pool.release(used, reusable)
	return answer
}

// fillRelayed makes the request for a call, but for the remaining time.
func (c *Client) fillRelayed(request *fasthttp.Request, call *lagoonbarrow.Call) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(call.Method)
	request.Header.SetRequestURI(call.Path)
	request.UseHostHeader = true
	for _, field := range call.Header {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.SetHost(call.Host)
	if call.Request != "" {
		request.Header.Set(c.config.Headers.RequestID, string(call.Request))
	}
	if call.Server != "" {
		request.Header.Set(c.config.Headers.ExpectedServer, string(call.Server))
	}
	request.SetBodyRaw(call.Body)
}

func (c *Client) relay(ctx context.Context, used *connection, call *lagoonbarrow.Call, request *fasthttp.Request, deadline time.Time) (answer *lagoonbarrow.Answer, reusable bool) {
	stop := context.AfterFunc(ctx, used.close)
	defer func() {
		// A close that has begun may still be under way.
		reusable = stop() && reusable
	}()
	remaining := time.Until(deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), true
	}
	request.Header.Set(c.config.Headers.Deadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	sent, err := used.write(request)
	if err != nil && !sent {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	if err != nil {
		used.expectSoon()
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	if !c.readOwn(used, call, response) {
		answer = failed(ctx, call, lagoonbarrow.OutcomeUnknown)
	} else {
		answer = c.relayed(call, response)
		reusable = err == nil && !response.ConnectionClose() && used.in.Buffered() == 0
	}
	answer.Offered = true
	return answer, reusable
}

// readOwn reads the answer to this call and skips those to earlier requests on
// the same connection, which a faulty server may send late.
func (c *Client) readOwn(used *connection, call *lagoonbarrow.Call, response *fasthttp.Response) bool {
	for range maxStrays {
		response.Reset()
		if err := used.readUnframed(response, call.Method == fasthttp.MethodHead, c.config.MaxBodyBytes); err != nil {
			return false
		}
		echo := string(response.Header.Peek(c.config.Headers.RequestID))
		if echo == string(call.Request) {
			return true
		}
		if echo == "" {
			return response.StatusCode() >= fasthttp.StatusMultipleChoices
		}
		c.config.Scope.Counter("stray-answers").Inc(1)
		if response.ConnectionClose() {
			return false
		}
	}
	return false
}

// relayed returns the answer for a whole response.
func (c *Client) relayed(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer {
	answer := &lagoonbarrow.Answer{
		Call:    call.ID,
		Outcome: lagoonbarrow.OutcomeDone,
		Status:  response.StatusCode(),
	}
	header := &response.Header
	switch {
	case len(header.Peek(c.config.Headers.NotRun)) > 0:
		answer.Outcome = lagoonbarrow.OutcomeNotRun
		answer.Reason = lagoonbarrow.ReasonShed
		answer.RetryAfter = retryAfter(header)
	case answer.Status == fasthttp.StatusMisdirectedRequest:
		answer.Outcome = lagoonbarrow.OutcomeNotRun
		answer.Reason = lagoonbarrow.ReasonLeaving
	case promisesNotRun(answer.Status), !c.genuine(answer.Status, header):
		answer.Outcome = lagoonbarrow.OutcomeUnknown
		answer.Reason = lagoonbarrow.ReasonBackend
	default:
		// The node where the request began knows its id.
		header.Del(c.config.Headers.RequestID)
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
func (c *Client) genuine(status int, header *fasthttp.ResponseHeader) bool {
	if status >= fasthttp.StatusMultipleChoices {
		return true
	}
	return len(header.Peek(c.config.Headers.Signature)) > 0 && len(header.ContentEncoding()) == 0
}

// retryAfter reads the seconds after which the server expects to have room.
func retryAfter(header *fasthttp.ResponseHeader) time.Duration {
	seconds, err := strconv.ParseFloat(string(header.Peek(fasthttp.HeaderRetryAfter)), 64)
	if err != nil || seconds < 0 {
		return 0
	}
	return min(maxRetryAfter, time.Duration(seconds*float64(time.Second)))
}
