package logging

import (
	"sync"
	"time"
)

// throttleInterval is the minimum time between two lines of a throttle.
const throttleInterval = time.Second

// Throttle bounds the log lines about one kind of occurrence to one a second. Its zero
// value is ready for use.
type Throttle struct {
	mu       sync.Mutex
	loggedAt time.Time
	// count is the number of occurrences since the last line.
	count int
}

// Next counts an occurrence and reports whether a line may be logged now. count is the
// number of occurrences since the last line, this one included.
func (t *Throttle) Next() (count int, allowed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count++
	now := time.Now()
	if now.Sub(t.loggedAt) < throttleInterval {
		return t.count, false
	}
	count = t.count
	t.loggedAt = now
	t.count = 0
	return count, true
}
