package backend

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// Run sends the call and waits for the whole answer. The outcome is
//
//   - not-run when no connection could be opened, the deadline passed or ctx ended
//     before the first byte was sent, or the backend server answered 503 with
//     Lagoonbarrow-Outcome: not-run;
//   - unknown when the connection failed, the deadline passed or ctx ended later,
//     when the answer is incomplete or too large, and for any other 503;
//   - done otherwise.
//
// Ending ctx or passing the deadline closes the connection at once.
func (c *Client) Run(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !writable(call) {
		return unwritable(call)
	}
	used, err := c.pool.acquire(ctx, call.Safe())
	if err != nil {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun)
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	fill(request, call, c.config.Address)
	answer, reusable := c.exchange(ctx, used, call, request, response, deadline)
	c.pool.release(used, reusable)
	return answer
}

// exchange sends the request and reads the answer. The connection may be reused
// only after a complete exchange.
func (c *Client) exchange(ctx context.Context, used *connection, call *lagoonbarrow.Call, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) (answer *lagoonbarrow.Answer, reusable bool) {
	stop := context.AfterFunc(ctx, used.close)
	defer func() {
		// A close that has begun may still be under way.
		reusable = stop() && reusable
	}()
	// Waiting for the connection may have taken long, as may a pause of the process.
	remaining := time.Until(deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), true
	}
	request.Header.Set(lagoonbarrow.HeaderDeadline, strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	sent, err := used.write(request)
	if err != nil && !sent {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	if err != nil {
		// A backend server that refuses a request before it has read all of it may
		// close its side early. Its answer can still be there.
		used.expectSoon()
	}
	if err := used.read(response, call.Method == fasthttp.MethodHead, c.config.MaxBodyBytes); err != nil {
		return failed(ctx, call, lagoonbarrow.OutcomeUnknown), false
	}
	reusable = err == nil && !response.ConnectionClose() && used.in.Buffered() == 0
	return answered(call, response), reusable
}

// writable reports whether the method and the path can be written into a request
// line as they are. A space or a line break would start another field or request.
func writable(call *lagoonbarrow.Call) bool {
	if !strings.HasPrefix(call.Path, "/") || call.Method == "" {
		return false
	}
	for _, text := range []string{call.Method, call.Path} {
		for i := range len(text) {
			if text[i] <= ' ' || text[i] == 0x7f {
				return false
			}
		}
	}
	return true
}

// unwritable returns the answer for a call that no request can be made of.
func unwritable(call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	answer := lagoonbarrow.Refuse(call.ID, lagoonbarrow.ReasonBackend)
	answer.Status = fasthttp.StatusBadRequest
	answer.TokensLeft = call.Tokens
	return answer
}

// fill makes the request for a call, but for the remaining time.
func fill(request *fasthttp.Request, call *lagoonbarrow.Call, address lagoonbarrow.Address) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(call.Method)
	// The path is passed on as it came; parsing it could change its encoding.
	request.Header.SetRequestURI(call.Path)
	request.UseHostHeader = true
	for _, field := range forwarded(call.Header) {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.SetHost(string(address))
	request.Header.Set(lagoonbarrow.HeaderCall, string(call.ID))
	request.Header.Set(lagoonbarrow.HeaderRequest, string(call.Request))
	request.Header.Set(lagoonbarrow.HeaderPriority, strconv.Itoa(int(call.Priority)))
	request.SetBodyRaw(call.Body)
}

// answered returns the answer for a whole response.
func answered(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer {
	answer := &lagoonbarrow.Answer{
		Call:       call.ID,
		Outcome:    lagoonbarrow.OutcomeDone,
		Status:     response.StatusCode(),
		TokensLeft: call.Tokens,
	}
	answer.Header = forwarded(fieldsOf(&response.Header))
	answer.Body = append([]byte(nil), response.Body()...)
	if answer.Status != statusServiceUnavailable {
		return answer
	}
	answer.Reason = lagoonbarrow.ReasonBackend
	answer.Outcome = lagoonbarrow.OutcomeUnknown
	if seconds, err := strconv.ParseUint(string(response.Header.Peek(fasthttp.HeaderRetryAfter)), 10, 16); err == nil {
		answer.RetryAfter = time.Duration(seconds) * time.Second
	}
	if string(response.Header.Peek(lagoonbarrow.HeaderOutcome)) == string(lagoonbarrow.OutcomeNotRun) {
		answer.Outcome = lagoonbarrow.OutcomeNotRun
	}
	return answer
}

// failed returns the answer for a call without a whole response.
func failed(ctx context.Context, call *lagoonbarrow.Call, outcome lagoonbarrow.Outcome) *lagoonbarrow.Answer {
	reason := lagoonbarrow.ReasonBackend
	deadline, _ := ctx.Deadline()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = lagoonbarrow.ReasonCancelled
	case !time.Now().Before(deadline):
		// The network's timers can fire before the context's.
		reason = lagoonbarrow.ReasonDeadline
	}
	return &lagoonbarrow.Answer{
		Call:       call.ID,
		Outcome:    outcome,
		Reason:     reason,
		TokensLeft: call.Tokens,
	}
}
