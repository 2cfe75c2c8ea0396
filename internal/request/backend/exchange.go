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

// dialect defines how requests are written to one kind of backend server and how its
// answers are read.
type dialect interface {
	// mayReuseIdle reports whether the call may be written to any idle connection,
	// even one that the server may have closed.
	mayReuseIdle(call *lagoonbarrow.Call) bool
	// deadlineHeader returns the name of the header with the milliseconds left.
	deadlineHeader() string
	// setHeaders sets the headers of the request.
	setHeaders(request *fasthttp.Request, call *lagoonbarrow.Call)
	// requestID returns the id of the request that the server may repeat in its answer.
	requestID(call *lagoonbarrow.Call) string
	// echoedID returns the id of the request that an answer names, or "".
	echoedID(response *fasthttp.Response) string
	// acceptsUnnamed reports whether an answer with this status that names no request may
	// be the one to the call.
	acceptsUnnamed(call *lagoonbarrow.Call, status int) bool
	// mayReuseAfterUnnamed reports whether the connection may be reused after an answer
	// that names no request.
	mayReuseAfterUnnamed(answer *lagoonbarrow.Answer) bool
	// read reads one complete answer.
	read(conn *connection, call *lagoonbarrow.Call, response *fasthttp.Response) error
	// toAnswer converts a complete response to an answer.
	toAnswer(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer
}

// do sends the call once and waits for the complete answer. When ctx ends or the
// deadline passes, the connection is closed at once. connected is false if no
// connection was available.
func (c *Client) do(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time, d dialect) (answer *lagoonbarrow.Answer, connected bool) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !validRequestLine(call) {
		return badRequestAnswer(call), true
	}
	conn, err := c.pool.acquire(ctx, d.mayReuseIdle(call))
	if err != nil {
		return failureAnswer(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	conn.usage = c.config.Memory.TrackResponse(ctx, conn.close)
	defer conn.usage.Release()
	reusable := false
	defer func() { c.pool.release(conn, reusable) }()
	answer, reusable = c.exchange(ctx, conn, call, deadline, d)
	return answer, true
}

// exchange writes the request and reads the answer. The connection may be reused
// only after a complete exchange.
func (c *Client) exchange(ctx context.Context, conn *connection, call *lagoonbarrow.Call, deadline time.Time, d dialect) (answer *lagoonbarrow.Answer, reusable bool) {
	stop := context.AfterFunc(ctx, conn.close)
	defer func() {
		// If stop returns false, ctx has ended and the connection is being closed.
		reusable = stop() && reusable
	}()
	// The deadline may have passed while the call waited for a connection or the process
	// was paused.
	remaining := time.Until(deadline)
	if remaining <= 0 || ctx.Err() != nil {
		return failureAnswer(ctx, call, lagoonbarrow.OutcomeNotRun), true
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	buildRequest(request, call, remaining, d)
	sent, writeErr := conn.write(request)
	if writeErr != nil && !sent {
		return failureAnswer(ctx, call, lagoonbarrow.OutcomeNotRun), false
	}
	if writeErr != nil {
		// A backend server that refuses a request before it has read all of it may close
		// its side of the connection. Its answer may still be readable.
		conn.limitEarlyAnswerWait()
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	found, err := c.readAnswer(conn, call, response, d)
	if err != nil {
		c.logLost(ctx, call, err)
		answer = failureAnswer(ctx, call, lagoonbarrow.OutcomeUnknown)
	} else {
		answer = d.toAnswer(call, response)
		wanted := conn.usage.Complete()
		if len(answer.Body) > 0 {
			conn.usage.Keep(ctx)
		}
		kept := conn.observeKeepAlive(&response.Header)
		reusable = wanted && kept && found.allowsReuse(answer, d) && writeErr == nil && !response.ConnectionClose() && conn.reader.Buffered() == 0
	}
	answer.SentToServer = true
	return answer, reusable
}

// buildRequest fills in the request for a call.
func buildRequest(request *fasthttp.Request, call *lagoonbarrow.Call, remaining time.Duration, d dialect) {
	request.Header.DisableNormalizing()
	request.Header.SetNoDefaultContentType(true)
	request.Header.SetMethod(call.Method)
	// The path is forwarded unparsed, since parsing could change its encoding.
	request.Header.SetRequestURI(call.Path)
	request.UseHostHeader = true
	d.setHeaders(request, call)
	request.Header.Set(d.deadlineHeader(), strconv.FormatInt(max(1, remaining.Milliseconds()), 10))
	request.SetBodyRaw(call.Body)
}

// validRequestLine reports whether the method and the path are safe in a request line.
// A space or a line break would start another field or request.
func validRequestLine(call *lagoonbarrow.Call) bool {
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

// badRequestAnswer returns the answer for a call with an invalid method or path.
func badRequestAnswer(call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonBackend)
	answer.Status = fasthttp.StatusBadRequest
	answer.TokensLeft = call.Tokens
	return answer
}

// failureAnswer returns the answer for a call without a complete response.
func failureAnswer(ctx context.Context, call *lagoonbarrow.Call, outcome lagoonbarrow.Outcome) *lagoonbarrow.Answer {
	reason := lagoonbarrow.ReasonBackend
	deadline, _ := ctx.Deadline()
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		reason = lagoonbarrow.ReasonCancelled
	case !time.Now().Before(deadline):
		// A network timer can fire before the timer of the context.
		reason = lagoonbarrow.ReasonDeadline
	}
	return &lagoonbarrow.Answer{
		Call:       call.ID,
		Outcome:    outcome,
		Reason:     reason,
		TokensLeft: call.Tokens,
	}
}
