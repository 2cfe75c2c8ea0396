// Package background runs the loops of a process until they are stopped.
package background

import "context"

// Task starts the goroutines of one part and stops them together.
type Task struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// NewTask returns a task whose goroutines are not started yet.
func NewTask() Task {
	ctx, cancel := context.WithCancel(context.Background())
	return Task{
		ctx:    ctx,
		cancel: cancel,
	}
}

// Go runs a loop with a context that ends at Stop.
func (t Task) Go(loop func(ctx context.Context)) {
	go loop(t.ctx)
}

// Stop cancels the context of the loops and does not wait for them. A call in progress
// ends at its time limit at the latest. Stop may be called before Go.
func (t Task) Stop() {
	t.cancel()
}
