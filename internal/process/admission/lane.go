package admission

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

// slotTimeWeight is the weight of one call in the moving average slotTime.
const slotTimeWeight = 1.0 / 32

// lane holds the queue, the running calls and the threshold of short or long work.
type lane struct {
	name    string
	long    bool
	queue   queue
	running int
	// runningByLevel lists the running calls of each importance, without preempted ones.
	runningByLevel [levels]permitList
	control        threshold.Control
	// criticalLate is set while a critical call waits longer than the target delay.
	criticalLate bool
	// slotTime is the mean time that a call holds a slot.
	slotTime      time.Duration
	slotTimeKnown bool
}

func (l *lane) observeSlotTime(observed time.Duration) {
	if !l.slotTimeKnown {
		l.slotTimeKnown = true
		l.slotTime = observed
		return
	}
	l.slotTime += time.Duration(slotTimeWeight * float64(observed-l.slotTime))
}

// timeToFreeSlot estimates the time until one of the lane's calls ends.
func (l *lane) timeToFreeSlot() time.Duration {
	if l.running == 0 {
		return 0
	}
	return l.slotTime / time.Duration(l.running)
}

// preemptionCandidate returns the newest running call of the least important level in use,
// or nil if all running calls are above maxLevel.
func (l *lane) preemptionCandidate(maxLevel lagoonbarrow.Importance) *permit {
	for level := lagoonbarrow.ImportanceNone; level <= maxLevel; level++ {
		if newest := l.runningByLevel[level].last; newest != nil {
			return newest
		}
	}
	return nil
}
