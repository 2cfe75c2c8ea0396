package admission

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

// holdWeight is the weight of one call in a lane's mean time in a slot.
const holdWeight = 1.0 / 32

// lane is the queue, the running calls and the threshold of short or long work.
type lane struct {
	name    string
	long    bool
	queue   queue
	running int
	// runningBy lists the running calls of each importance that were not preempted.
	runningBy [levels]permitList
	control   threshold.Control
	// criticalLate is set while a critical call waits longer than the target delay.
	criticalLate bool
	// hold is the mean time that calls held a slot.
	hold      time.Duration
	holdKnown bool
}

func (l *lane) observeHold(held time.Duration) {
	if !l.holdKnown {
		l.holdKnown = true
		l.hold = held
		return
	}
	l.hold += time.Duration(holdWeight * float64(held-l.hold))
}

// nextFree estimates the time until a slot of the lane is free again.
func (l *lane) nextFree() time.Duration {
	if l.running == 0 {
		return 0
	}
	return l.hold / time.Duration(l.running)
}

// newestBelow returns the newest running call of the lowest level up to highest, or nil.
func (l *lane) newestBelow(highest lagoonbarrow.Importance) *permit {
	for level := lagoonbarrow.ImportanceNone; level <= highest; level++ {
		if newest := l.runningBy[level].last; newest != nil {
			return newest
		}
	}
	return nil
}
