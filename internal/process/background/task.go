// Package background runs the loops of a process until they are stopped.
package background

import "context"

// Task is the life of the goroutines of one part.
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

// Stop ends the loops; a call under way ends with its time limit. It may come
// before Go.
func (t Task) Stop() {
	t.cancel()
}
