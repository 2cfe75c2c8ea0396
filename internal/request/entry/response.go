package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/header"
)

// statusClientClosed is the non-standard status that access logs commonly show when
// the client closed its connection.
const statusClientClosed = 499

// refusalBody is the JSON body of an answer that is not a backend server's.
type refusalBody struct {
	Error   string                 `json:"error"`
	Outcome lagoonbarrow.Outcome   `json:"outcome"`
	Request lagoonbarrow.RequestID `json:"request,omitempty"`
}

// writeAnswer writes a backend server's answer, or a refusal if there is none.
func writeAnswer(ctx *fasthttp.RequestCtx, request lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		writeRefusal(ctx, request, answer)
		return
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(answer.Status)
	// fasthttp must not add a Content-Type that the backend server didn't send.
	ctx.Response.Header.SetNoDefaultContentType(true)
	for _, field := range answer.Header {
		// fasthttp sets Content-Length and other hop-by-hop headers for this connection.
		if !header.IsHopByHop(strings.ToLower(field.Name)) {
			ctx.Response.Header.Add(field.Name, field.Value)
		}
	}
	ctx.Response.Header.Set(lagoonbarrow.HeaderRequest, string(request))
	ctx.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeDone))
	ctx.Response.SetBodyRaw(answer.Body)
}

func writeRefusal(ctx *fasthttp.RequestCtx, request lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	status := refusalStatus(answer)
	body, _ := json.Marshal(refusalBody{
		Error:   refusalText(answer),
		Outcome: answer.Outcome,
		Request: request,
	})
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(lagoonbarrow.HeaderRequest, string(request))
	ctx.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(answer.Outcome))
	ctx.Response.Header.Set(lagoonbarrow.HeaderReason, string(answer.Reason))
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(answer.RetryAfter))
	}
	ctx.SetBody(body)
}

// retryAfterSeconds formats a Retry-After value in whole seconds, rounded up.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}

func refusalStatus(answer *lagoonbarrow.Answer) int {
	switch answer.Reason {
	case lagoonbarrow.ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case lagoonbarrow.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case lagoonbarrow.ReasonKeyMismatch:
		return fasthttp.StatusUnprocessableEntity
	case lagoonbarrow.ReasonClaimed:
		return fasthttp.StatusConflict
	case lagoonbarrow.ReasonUnknownCall:
		return fasthttp.StatusBadRequest
	case lagoonbarrow.ReasonDepth:
		return fasthttp.StatusLoopDetected
	case lagoonbarrow.ReasonCancelled:
		return statusClientClosed
	}
	if answer.Outcome == lagoonbarrow.OutcomeUnknown {
		return fasthttp.StatusBadGateway
	}
	return fasthttp.StatusServiceUnavailable
}

func refusalText(answer *lagoonbarrow.Answer) string {
	text := "the request was not run"
	if answer.Outcome == lagoonbarrow.OutcomeUnknown {
		text = "it is not known whether the request was run"
	}
	return text + ": " + string(answer.Reason)
}

// writeError answers a request that is rejected before it becomes a call.
func writeError(ctx *fasthttp.RequestCtx, status int, text string) {
	body, _ := json.Marshal(refusalBody{
		Error:   text,
		Outcome: lagoonbarrow.OutcomeNotRun,
	})
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeNotRun))
	ctx.SetBody(body)
}
