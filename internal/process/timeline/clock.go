// Package timeline keeps the events of this process, stamped by a hybrid
// logical clock so that the events of all processes can be merged in order.
package timeline

import (
	"sync"
	"time"

	"lagoonbarrow/pkg/event"
)

// maxAhead bounds how far a received stamp may move the clock ahead of this
// machine's own wall time, so that one wrong clock can't spread.
const maxAhead = time.Minute

// Clock is a hybrid logical clock after Kulkarni et al., "Logical Physical
// Clocks" (2014).
type Clock struct {
	mu   sync.Mutex
	last event.Stamp
	wall func() time.Time
}

// NewClock returns a clock over the given wall time.
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
