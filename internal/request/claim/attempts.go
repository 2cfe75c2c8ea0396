package claim

import (
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// attemptMargin is how long an attempt is remembered after its deadline.
	attemptMargin = 30 * time.Second
	// pruneInterval is the time between removals of attempts that are over.
	pruneInterval = time.Second
)

// attempts remembers the attempts that this process has tried to claim. A
// duplicate of a call frame must not claim after the first one was answered
// not-run.
type attempts struct {
	mutex  sync.Mutex
	until  map[lagoonbarrow.AttemptID]time.Time
	pruned time.Time
}

func newAttempts() *attempts {
	return &attempts{
		until: map[lagoonbarrow.AttemptID]time.Time{},
	}
}

// begin reports whether the attempt is new to this process.
func (a *attempts) begin(attempt lagoonbarrow.AttemptID, now, deadline time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	if _, known := a.until[attempt]; known {
		return false
	}
	a.until[attempt] = deadline.Add(attemptMargin)
	return true
}

func (a *attempts) prune(now time.Time) {
	if now.Sub(a.pruned) < pruneInterval {
		return
	}
	a.pruned = now
	for attempt, until := range a.until {
		if now.After(until) {
			delete(a.until, attempt)
		}
	}
}
