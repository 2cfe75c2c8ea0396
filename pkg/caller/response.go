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

// The statuses of refusals that are told apart.
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

// errNoOutcome: the answer does not come from a node, or its head was changed
// on the way.
var errNoOutcome = errors.New("the answer carries no " + lagoonbarrow.HeaderOutcome + " header")

// errAnswerTooLarge: the body is longer than the limit that was configured.
var errAnswerTooLarge = errors.New("the answer is larger than the limit")

// Response is the whole answer of a backend server.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Request is the id for the time line.
	Request lagoonbarrow.RequestID
	// Sends counts the sends that were needed.
	Sends int
}

// refusalBody is the part of a refusal's JSON body that its header lacks.
type refusalBody struct {
	Error string `json:"error"`
}

// read reads the whole answer. It returns a *Refusal for every answer that is
// not a backend server's.
func read(answer *http.Response, limit int64) (*Response, *Refusal) {
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
	return nil, refusal(answer, outcome, body)
}

func refusal(answer *http.Response, outcome lagoonbarrow.Outcome, body []byte) *Refusal {
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
	// A body that is not JSON only lacks the explanation.
	_ = json.Unmarshal(body, &text)
	refused.Text = text.Error
	return refused
}

// retryAfter reads the header in whole seconds, the only form that nodes send.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
