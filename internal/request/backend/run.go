package backend

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// Run sends the call and waits for the complete answer. The outcome is
//
//   - not-run when no connection could be opened, the deadline passed or ctx ended
//     before the first byte was sent, or the backend server answered 503 with
//     Lagoonbarrow-Outcome: not-run;
//   - unknown when the connection failed, the deadline passed or ctx ended after
//     that, when the answer is incomplete or too large, and for any other 503;
//   - done otherwise.
//
// When ctx ends or the deadline passes, the connection is closed at once.
func (c *Client) Run(ctx context.Context, call *lagoonbarrow.Call, deadline time.Time) *lagoonbarrow.Answer {
	answer, _ := c.do(ctx, call, deadline, nativeDialect{
		client: c,
	})
	return answer
}

// nativeDialect is the dialect of servers that use the headers of this project.
type nativeDialect struct {
	client *Client
}

func (nativeDialect) mayReuseIdle(call *lagoonbarrow.Call) bool {
	return call.Safe()
}

func (nativeDialect) deadlineHeader() string {
	return lagoonbarrow.HeaderDeadline
}

func (n nativeDialect) setHeaders(request *fasthttp.Request, call *lagoonbarrow.Call) {
	for _, field := range forwardableHeaders(call.Header) {
		request.Header.Add(field.Name, field.Value)
	}
	request.Header.SetHost(string(n.client.config.Address))
	request.Header.Set(lagoonbarrow.HeaderCall, string(call.ID))
	request.Header.Set(lagoonbarrow.HeaderRequest, string(call.Request))
	request.Header.Set(lagoonbarrow.HeaderPriority, strconv.Itoa(int(call.Priority)))
}

func (nativeDialect) requestID(call *lagoonbarrow.Call) string {
	return string(call.ID)
}

func (nativeDialect) echoedID(response *fasthttp.Response) string {
	return string(response.Header.Peek(lagoonbarrow.HeaderCall))
}

// acceptsUnnamed accepts all answers, because servers need not name the call.
func (nativeDialect) acceptsUnnamed(*lagoonbarrow.Call, int) bool {
	return true
}

func (nativeDialect) mayReuseAfterUnnamed(answer *lagoonbarrow.Answer) bool {
	return answer.Outcome == lagoonbarrow.OutcomeDone
}

func (n nativeDialect) read(conn *connection, call *lagoonbarrow.Call, response *fasthttp.Response) error {
	return conn.read(response, call.Method == fasthttp.MethodHead, n.client.config.MaxBodyBytes)
}

func (nativeDialect) toAnswer(call *lagoonbarrow.Call, response *fasthttp.Response) *lagoonbarrow.Answer {
	answer := &lagoonbarrow.Answer{
		Call:       call.ID,
		Outcome:    lagoonbarrow.OutcomeDone,
		Status:     response.StatusCode(),
		TokensLeft: call.Tokens,
	}
	answer.Header = forwardableHeaders(headerFields(&response.Header))
	answer.Body = response.Body()
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
