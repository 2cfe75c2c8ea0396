package entry

import (
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/logging"
	"lagoonbarrow/internal/process/memory"
)

// bodyReader reads the whole body of a request before it calls the handler.
type bodyReader struct {
	limits  Limits
	handler fasthttp.RequestHandler
	logger  hclog.Logger
	// connections holds the connections of the listener.
	connections *connections
	// throttle bounds the lines about requests that were not read.
	throttle logging.Throttle
}

// oversizedHeader marks a request whose declared length exceeds the limit. Headers with
// this prefix are never forwarded.
const oversizedHeader = lagoonbarrow.HeaderPrefix + "Oversized"

// markOversized marks a request whose declared length exceeds the limit, and sets the
// length to 0. fasthttp would otherwise wait for the first bytes of the body before it
// calls the handler.
func (b *bodyReader) markOversized(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	header.Del(oversizedHeader)
	if header.ContentLength() > b.limits.MaxBodyBytes {
		header.SetContentLength(0)
		header.Set(oversizedHeader, "true")
	}
	return fasthttp.RequestConfig{
		ReadTimeout: bodyTimeout,
	}
}

// serve calls the handler with the complete request. A request whose body can't be
// read is not run. Its connection is closed, since the rest of the body may follow.
func (b *bodyReader) serve(ctx *fasthttp.RequestCtx) {
	if len(ctx.Request.Header.Peek(oversizedHeader)) > 0 {
		b.refuse(ctx, lagoonbarrow.ErrTooLarge)
		return
	}
	if err := checkHead(&ctx.Request.Header); err != nil {
		b.refuse(ctx, err)
		return
	}
	if !ctx.Request.IsBodyStream() {
		if !b.connections.mark(ctx.Conn(), stateServing) {
			b.refuse(ctx, lagoonbarrow.ErrShed)
			return
		}
		b.handler(ctx)
		return
	}
	b.connections.mark(ctx.Conn(), stateReceiving)
	usage := b.limits.Memory.Track(func() {
		_ = ctx.Conn().Close()
	})
	defer usage.Release()
	body, err := readBody(ctx, usage, b.limits.MaxBodyBytes)
	if err == nil && (!usage.Complete() || !b.connections.mark(ctx.Conn(), stateServing)) {
		err = lagoonbarrow.ErrShed
	}
	if err != nil {
		b.refuse(ctx, err)
		return
	}
	ctx.Request.SetBodyRaw(body)
	b.handler(ctx)
	// Otherwise the request would keep its body while the response is written.
	ctx.Request.SetBodyRaw(nil)
}

// readBody reads the whole body of a request. The fields of the trailer of a body in chunks are
// dropped: fasthttp finds them among those of the head.
func readBody(ctx *fasthttp.RequestCtx, usage *memory.Usage, limit int) ([]byte, error) {
	length := ctx.Request.Header.ContentLength()
	if length == lengthChunked {
		var head fasthttp.RequestHeader
		ctx.Request.Header.CopyTo(&head)
		defer head.CopyTo(&ctx.Request.Header)
	}
	return memory.ReadBody(ctx.RequestBodyStream(), usage, length, limit)
}

// refuse answers a request whose head is invalid or whose body was not read, and closes its connection.
func (b *bodyReader) refuse(ctx *fasthttp.RequestCtx, cause error) {
	handleReadError(ctx, cause)
	ctx.SetConnectionClose()
	if count, allowed := b.throttle.Next(); allowed {
		b.logger.Warn("requests were refused because they could not be read",
			"count", count, "method", string(ctx.Method()), "client", ctx.RemoteAddr().String(), "status", ctx.Response.StatusCode(), "cause", cause)
	}
}

// handleReadError answers a request that could not be read. Such a request is never
// run.
func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var smallBuffer *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, lagoonbarrow.ErrShed):
		writeError(ctx, fasthttp.StatusServiceUnavailable, "the memory for requests is used up")
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds(memoryRetryAfter))
	case errors.Is(err, lagoonbarrow.ErrTooLarge):
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "the body is too large")
	case errors.As(err, &smallBuffer):
		writeError(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, "the header is too large")
	default:
		writeError(ctx, fasthttp.StatusBadRequest, "the request is not valid HTTP")
	}
}
