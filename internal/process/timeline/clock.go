// Package timeline keeps the events of this process. A hybrid logical clock stamps
// them, and the events of all processes can be merged in the order of the stamps.
package timeline

import (
	"sync"
	"time"

	"lagoonbarrow/pkg/event"
)

// maxAhead bounds how far a received stamp may move the clock ahead of this machine's
// wall time. It keeps one wrong clock from affecting all others.
const maxAhead = time.Minute

// Clock is a hybrid logical clock after Kulkarni et al., "Logical Physical
// Clocks" (2014).
type Clock struct {
	mu   sync.Mutex
	last event.Stamp
	wall func() time.Time
}

// NewClock returns a clock that reads the wall time from the given function.
func NewClock(wall func() time.Time) *Clock {
	return &Clock{
		wall: wall,
	}
}

// Now returns a stamp after all stamps returned or observed before.
func (c *Clock) Now() event.Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.wall().UnixNano()
	if wall > c.last.Wall {
		c.last = event.Stamp{
			Wall: wall,
		}
		return c.last
	}
	c.last.Counter++
	return c.last
}

// Observe moves the clock past a stamp received from another process.
func (c *Clock) Observe(stamp event.Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if stamp.Wall > c.wall().Add(maxAhead).UnixNano() {
		return
	}
	if c.last.Before(stamp) {
		c.last = stamp
	}
}
