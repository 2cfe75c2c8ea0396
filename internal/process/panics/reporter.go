// Package panics contains unexpected panics, so that one malformed message or one error
// in a part doesn't end the process.
package panics

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow/internal/process/backoff"
	"lagoonbarrow/internal/process/logging"
)

// restartDelay is the time between a panic in a loop and its restart.
const restartDelay = time.Second

// Reporter logs panics. A nil Reporter logs nothing, which suits tests.
type Reporter struct {
	logger hclog.Logger
	// throttle bounds the lines, since each holds a stack.
	throttle logging.Throttle
}

// NewReporter returns a reporter. Without a logger it logs nothing.
func NewReporter(logger hclog.Logger) *Reporter {
	if logger == nil {
		logger = hclog.NewNullLogger()
	}
	return &Reporter{
		logger: logger,
	}
}

// Report logs a recovered panic of a part of the process with its stack. It must be
// called by the deferred function that recovered.
func (r *Reporter) Report(part string, failure any) {
	if r == nil {
		return
	}
	if count, allowed := r.throttle.Next(); allowed {
		r.logger.Error("an unexpected error was contained", "part", part, "error", failure, "count", count, "stack", string(debug.Stack()))
	}
}

// Run runs a loop until it returns. After a panic it runs it again, unless ctx has
// ended.
func (r *Reporter) Run(ctx context.Context, part string, loop func(ctx context.Context)) {
	for r.runOnce(ctx, part, loop) && ctx.Err() == nil {
		backoff.Pause(ctx, restartDelay)
	}
}

// runOnce reports whether the loop ended by a panic.
func (r *Reporter) runOnce(ctx context.Context, part string, loop func(ctx context.Context)) (panicked bool) {
	defer func() {
		if failure := recover(); failure != nil {
			r.Report(part, failure)
			panicked = true
		}
	}()
	loop(ctx)
	return false
}
