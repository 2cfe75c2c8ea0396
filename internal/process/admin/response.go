package admin

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

type errorBody struct {
	Error  string   `json:"error"`
	Faults []string `json:"faults,omitempty"`
	// Current is the record that prevented a change.
	Current *lagoonbarrow.ContractRecord `json:"current,omitempty"`
	// CurrentVersion is the current version of the contract or claim row.
	CurrentVersion uint64 `json:"current-version,omitempty"`
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		ctx.Error(`{"error":"response can't be encoded"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(text, '\n'))
}

func writeError(ctx *fasthttp.RequestCtx, status int, text string) {
	writeJSON(ctx, status, errorBody{
		Error: text,
	})
}

// writeParseError answers requests that fasthttp could not read.
func writeParseError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "body too large")
		return
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		writeError(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "header too large")
		return
	}
	writeError(ctx, fasthttp.StatusBadRequest, "malformed request")
}

// writeFailure answers with an error and the status that statusOf maps it to.
func writeFailure(ctx *fasthttp.RequestCtx, err error) {
	body := errorBody{
		Error: err.Error(),
	}
	var invalid *contract.InvalidError
	if errors.As(err, &invalid) {
		body.Faults = invalid.Faults
	}
	status := statusOf(err)
	if status == fasthttp.StatusGatewayTimeout {
		body.Error = "outcome unknown: " + err.Error()
	}
	writeJSON(ctx, status, body)
}

// statusOf maps the sentinel error that err wraps to an HTTP status.
func statusOf(err error) int {
	switch {
	case errors.Is(err, lagoonbarrow.ErrOutcomeUnknown):
		return fasthttp.StatusGatewayTimeout
	case errors.Is(err, lagoonbarrow.ErrInvalid):
		return fasthttp.StatusBadRequest
	case errors.Is(err, lagoonbarrow.ErrTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.Is(err, lagoonbarrow.ErrNotFound):
		return fasthttp.StatusNotFound
	case errors.Is(err, lagoonbarrow.ErrConflict):
		return fasthttp.StatusPreconditionFailed
	case errors.Is(err, lagoonbarrow.ErrClaimed), errors.Is(err, lagoonbarrow.ErrVoided):
		return fasthttp.StatusConflict
	case errors.Is(err, lagoonbarrow.ErrUnavailable):
		return fasthttp.StatusServiceUnavailable
	default:
		return fasthttp.StatusInternalServerError
	}
}

func setETag(ctx *fasthttp.RequestCtx, version uint64) {
	ctx.Response.Header.Set(fasthttp.HeaderETag, strconv.Quote(strconv.FormatUint(version, 10)))
}

func writeRecord(ctx *fasthttp.RequestCtx, status int, record lagoonbarrow.ContractRecord) {
	setETag(ctx, uint64(record.Version))
	writeJSON(ctx, status, record)
}
