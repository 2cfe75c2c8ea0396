package panics

import "github.com/valyala/fasthttp"

// Handler returns a handler that answers with the status, and closes the connection, if
// the given one panics. The status must not claim that nothing was run.
func (r *Reporter) Handler(part string, status int, handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if failure := recover(); failure != nil {
				r.Report(part, failure)
				ctx.Response.Reset()
				ctx.SetStatusCode(status)
				ctx.SetConnectionClose()
			}
		}()
		handler(ctx)
	}
}
