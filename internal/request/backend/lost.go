package backend

import (
	"context"

	"lagoonbarrow"
)

// maxLoggedErrorBytes bounds the part of an error that is logged. An error may quote what the server
// has sent.
const maxLoggedErrorBytes = 200

// logLost logs why the answer to a call was not taken. That the call was cancelled, or its deadline
// passed, is its reason and not logged here.
func (c *Client) logLost(ctx context.Context, call *lagoonbarrow.Call, cause error) {
	if ctx.Err() != nil {
		return
	}
	count, allowed := c.lost.Next()
	if !allowed {
		return
	}
	text := cause.Error()
	c.config.Logger.Warn("an answer of the backend server was not taken",
		"count", count, "request", call.Request, "cause", text[:min(len(text), maxLoggedErrorBytes)])
}
