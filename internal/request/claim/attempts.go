package claim

import (
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// attemptRetention is how long an attempt is kept after its deadline.
	attemptRetention = 30 * time.Second
	// pruneInterval is the minimum time between removals of expired attempts.
	pruneInterval = time.Second
)

// attemptSet holds the attempts that this process has tried to claim. A
// duplicate of a call frame must not claim after the first one was answered
// not-run.
type attemptSet struct {
	mutex      sync.Mutex
	expiry     map[lagoonbarrow.AttemptID]time.Time
	lastPruned time.Time
}

func newAttemptSet() *attemptSet {
	return &attemptSet{
		expiry: map[lagoonbarrow.AttemptID]time.Time{},
	}
}

// addIfAbsent adds the attempt and reports whether it was new to this process.
func (a *attemptSet) addIfAbsent(attempt lagoonbarrow.AttemptID, now, deadline time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prune(now)
	if _, exists := a.expiry[attempt]; exists {
		return false
	}
	a.expiry[attempt] = deadline.Add(attemptRetention)
	return true
}

func (a *attemptSet) prune(now time.Time) {
	if now.Sub(a.lastPruned) < pruneInterval {
		return
	}
	a.lastPruned = now
	for attempt, expiry := range a.expiry {
		if now.After(expiry) {
			delete(a.expiry, attempt)
		}
	}
}
