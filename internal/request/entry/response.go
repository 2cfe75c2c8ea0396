package entry

import (
	"encoding/json"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// statusClientClosed is what access logs commonly show when a client went away.
const statusClientClosed = 499

// refusalBody is the JSON body of an answer that is not a backend server's.
type refusalBody struct {
	Error   string                 `json:"error"`
	Outcome lagoonbarrow.Outcome   `json:"outcome"`
	Request lagoonbarrow.RequestID `json:"request,omitempty"`
}

// writeAnswer writes a backend server's answer or the refusal.
func writeAnswer(response *fasthttp.RequestCtx, request lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	if answer.Outcome != lagoonbarrow.OutcomeDone {
		writeRefusal(response, request, answer)
		return
	}
	response.Response.Reset()
	response.SetStatusCode(answer.Status)
	// An answer without Content-Type stays without one.
	response.Response.Header.SetNoDefaultContentType(true)
	for _, field := range answer.Header {
		// Content-Length and the like are set anew for this connection.
		if !hopHeaders[strings.ToLower(field.Name)] {
			response.Response.Header.Add(field.Name, field.Value)
		}
	}
	response.Response.Header.Set(lagoonbarrow.HeaderRequest, string(request))
	response.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeDone))
	response.Response.SetBodyRaw(answer.Body)
}

func writeRefusal(response *fasthttp.RequestCtx, request lagoonbarrow.RequestID, answer *lagoonbarrow.Answer) {
	status := refusalStatus(answer)
	body, _ := json.Marshal(refusalBody{
		Error:   refusalText(answer),
		Outcome: answer.Outcome,
		Request: request,
	})
	response.Response.Reset()
	response.SetStatusCode(status)
	response.SetContentType("application/json")
	response.Response.Header.Set(lagoonbarrow.HeaderRequest, string(request))
	response.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(answer.Outcome))
	response.Response.Header.Set(lagoonbarrow.HeaderReason, string(answer.Reason))
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests {
		response.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(answer.RetryAfter))
	}
	response.SetBody(body)
}

// retryAfterSeconds rounds up to the whole seconds that Retry-After takes.
func retryAfterSeconds(wait time.Duration) string {
	return strconv.Itoa(max(1, int(math.Ceil(wait.Seconds()))))
}

func refusalStatus(answer *lagoonbarrow.Answer) int {
	switch answer.Reason {
	case lagoonbarrow.ReasonQuota:
		return fasthttp.StatusTooManyRequests
	case lagoonbarrow.ReasonDeadline:
		return fasthttp.StatusGatewayTimeout
	case lagoonbarrow.ReasonMismatch:
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

// writeError refuses a request that never became a call.
func writeError(response *fasthttp.RequestCtx, status int, text string) {
	body, _ := json.Marshal(refusalBody{
		Error:   text,
		Outcome: lagoonbarrow.OutcomeNotRun,
	})
	response.Response.Reset()
	response.SetStatusCode(status)
	response.SetContentType("application/json")
	response.Response.Header.Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeNotRun))
	response.SetBody(body)
}
