package quota

import (
	"sync"
	"time"
)

// moment is a reading of an elapsedClock.
type moment struct {
	// fast advances by the larger of the monotonic and the wall clock's interval. It counts
	// the time in which the machine was suspended, and ends rights that must not last too long.
	fast time.Duration
	// slow advances by the smaller one. It fills buckets and delays what must not happen too
	// early, so that a step of the wall clock grants nothing.
	slow time.Duration
}

// elapsedClock measures the time since it was created.
type elapsedClock struct {
	mu     sync.Mutex
	last   time.Time
	moment moment
}

func newElapsedClock() *elapsedClock {
	return &elapsedClock{
		last: time.Now(),
	}
}

// read returns the time since the clock was created.
func (c *elapsedClock) read() moment {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.moment = c.moment.after(now.Sub(c.last), now.Round(0).Sub(c.last.Round(0)))
	c.last = now
	return c.moment
}

// after returns the moment after an interval, as the monotonic and the wall clock measure it.
func (m moment) after(monotonic, wall time.Duration) moment {
	return moment{
		fast: m.fast + max(monotonic, wall, 0),
		slow: m.slow + max(min(monotonic, wall), 0),
	}
}
