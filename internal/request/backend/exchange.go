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

// dialect is how requests are written to one kind of backend server, and how its
// answers are read.
type dialect interface {
	// repeatable reports whether the call may be written to a connection that the
	// server may have forgotten.
	repeatable(call *lagoonbarrow.Call) bool
	// deadlineHeader names the header for the milliseconds left.
	deadlineHeader() string
	// fill sets the headers of the request.
	fill(request *fasthttp.Request, call *lagoonbarrow.Call)
	// read reads the whole answer to the call. reusable tells whether nothing else
	// came on the connection.
	read(used *connection, call *lagoonbarrow.Call, response *fasthttp.Response) (reusable bool, err error)
	// answer returns the answer for a whole response.
	answer(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer
}

// do sends the call once and waits for the whole answer. Ending ctx or passing the
// deadline closes the connection at once. connected is false if no connection could
// be had.
func (c *Client) do(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time, spoken dialect) (answer *lagoonbarrow.Answer, connected bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !writable(call) {
		return unwritable(call), true
	}
	used, err := c.pool.acquire(ctx, spoken.repeatable(call))
	if err != nil {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	answer, reusable := exchange(ctx, used, call, deadline, spoken)
	c.pool.release(used, reusable)
	return answer, true
}

// exchange writes the request and reads the answer. The connection may be reused
// only after a complete exchange.
func exchange(ctx context.Context, used *connection, call *lagoonbarrow.Call, deadline time.Time, spoken dialect) (answer *lagoonbarrow.Answer, reusable bool) {
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
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	fill(request, call, remaining, spoken)
	sent, writeErr := used.write(request)
	if writeErr != nil && !sent {
		return failed(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	if writeErr != nil {
		// A backend server that refuses a request before it has read all of it may
		// close its side early. Its answer can still be there.
		used.expectSoon()
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	clean, err := spoken.read(used, call, response)
	if err != nil {
		answer = failed(ctx, call, lagoonbarrow.OutcomeUnknown)
	} else {
		answer = spoken.answer(call, response)
		reusable = clean && writeErr == nil && !response.ConnectionClose() && used.in.Buffered() == 0
	}
	answer.Offered = true
	return answer, reusable
}

// fill makes the request for a call.
func fill(request *fasthttp.Request, call *lagoonbarrow.Call, remaining time.Duration, spoken dialect) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(call.Method)
	// The path is passed on as it came; parsing it could change its encoding.
	request.Header.SetRequestURI(call.Path)
	request.UseHostHeader = true
	spoken.fill(request, call)
	request.Header.Set(spoken.deadlineHeader(), strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	request.SetBodyRaw(call.Body)
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
