package caller

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// The statuses of refusals that ErrOverContract and ErrRejected match.
const (
	statusBadRequest      = http.StatusBadRequest
	statusUnauthorized    = http.StatusUnauthorized
	statusForbidden       = http.StatusForbidden
	statusTooLarge        = http.StatusRequestEntityTooLarge
	statusMismatch        = http.StatusUnprocessableEntity
	statusTooManyRequests = http.StatusTooManyRequests
	statusHeaderTooLarge  = http.StatusRequestHeaderFieldsTooLarge
	statusLoop            = http.StatusLoopDetected
)

// errNoOutcome reports that the answer is not from a node, or that its headers were
// changed in transit.
var errNoOutcome = errors.New("the answer carries no " + lagoonbarrow.HeaderOutcome + " header")

// errAnswerTooLarge reports that the body exceeds the configured limit.
var errAnswerTooLarge = errors.New("the answer is larger than the limit")

// Response is the complete answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Request is the request's id in the timeline.
	Request lagoonbarrow.RequestID
	// Sends is the number of sends, including the one that was answered.
	Sends int
}

// refusalBody is the part of a refusal's JSON body that is not in its headers.
type refusalBody struct {
	Error string `json:"error"`
}

// readAnswer reads the complete answer. It returns a *Refusal for every answer
// that is not from a backend server.
func readAnswer(answer *http.Response, limit int64) (*Response, *Refusal) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errAnswerTooLarge
	}
	request := lagoonbarrow.RequestID(answer.Header.Get(lagoonbarrow.HeaderRequest))
	if err != nil {
		return nil, &Refusal{
			Status:  answer.StatusCode,
			Outcome: lagoonbarrow.OutcomeUnknown,
			Request: request,
			Err:     errors.Wrap(err, "caller: read answer"),
		}
	}
	outcome := lagoonbarrow.Outcome(answer.Header.Get(lagoonbarrow.HeaderOutcome))
	if outcome == lagoonbarrow.OutcomeDone {
		return &Response{
			Status:  answer.StatusCode,
			Header:  answer.Header,
			Body:    body,
			Request: request,
		}, nil
	}
	return nil, newRefusal(answer, outcome, body)
}

func newRefusal(answer *http.Response, outcome lagoonbarrow.Outcome, body []byte) *Refusal {
	refused := &Refusal{
		Status:     answer.StatusCode,
		Outcome:    outcome,
		Reason:     lagoonbarrow.Reason(answer.Header.Get(lagoonbarrow.HeaderReason)),
		Request:    lagoonbarrow.RequestID(answer.Header.Get(lagoonbarrow.HeaderRequest)),
		RetryAfter: retryAfter(answer.Header),
	}
	if outcome != lagoonbarrow.OutcomeNotRun && outcome != lagoonbarrow.OutcomeUnknown {
		refused.Outcome = lagoonbarrow.OutcomeUnknown
		refused.Err = errNoOutcome
		return refused
	}
	var text refusalBody
	// Without a valid JSON body, the refusal has no explanation.
	_ = json.Unmarshal(body, &text)
	refused.Text = text.Error
	return refused
}

// retryAfter returns the Retry-After header in seconds, the only form that nodes send.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
