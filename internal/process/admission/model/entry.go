package model

import (
	"math"
	"time"

	"lagoonbarrow"
)

// probeInterval: one of this many refused calls is admitted to probe the gate's threshold
// (docs/design.md, 3.2).
const probeInterval = 64

// Entry models an entry node, which refuses calls by the gate's last known threshold. The
// value decays by half every second.
type Entry struct {
	threshold float64
	at        time.Time
	refused   int
}

// decayed returns the threshold after the decay until now.
func (e *Entry) decayed(now time.Time) float64 {
	return e.threshold * math.Exp2(-now.Sub(e.at).Seconds())
}

// update replaces the stored threshold unless its decayed value is higher.
func (e *Entry) update(now time.Time, threshold lagoonbarrow.Threshold) {
	if float64(threshold) >= e.decayed(now) {
		e.threshold = float64(threshold)
		e.at = now
	}
}

func (e *Entry) refuses(now time.Time, priority lagoonbarrow.Priority) bool {
	if float64(priority) >= e.decayed(now) {
		return false
	}
	e.refused++
	return e.refused%probeInterval != 0
}
