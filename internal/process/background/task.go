// Package background runs the loops of a process until they are stopped.
package background

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow/internal/process/panics"
)

// Task starts the goroutines of one part and stops them together.
type Task struct {
	ctx    context.Context
	cancel context.CancelFunc
	panics *panics.Reporter
}

// NewTask returns a task whose goroutines are not started yet.
func NewTask(logger hclog.Logger) Task {
	ctx, cancel := context.WithCancel(context.Background())
	return Task{
		ctx:    ctx,
		cancel: cancel,
		panics: panics.NewReporter(logger),
	}
}

// Go runs a loop with a context that ends at Stop. A loop that panics is started again.
func (t Task) Go(name string, loop func(ctx context.Context)) {
	go t.panics.Run(t.ctx, name, loop)
}

// Stop cancels the context of the loops and does not wait for them. A call in progress
// ends at its time limit at the latest. Stop may be called before Go.
func (t Task) Stop() {
	t.cancel()
}
