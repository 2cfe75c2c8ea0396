package model

import (
	"math"
	"time"

	"lagoonbarrow"
)

// probeEvery is the number of refused calls of which one is let through
// (section 3.2 of the design page).
const probeEvery = 64

// Entry remembers a gate's threshold like an entry node does. Its memory of it
// halves every second.
type Entry struct {
	threshold float64
	at        time.Time
	refused   int
}

func (e *Entry) present(now time.Time) float64 {
	return e.threshold * math.Exp2(-now.Sub(e.at).Seconds())
}

func (e *Entry) learn(now time.Time, threshold lagoonbarrow.Threshold) {
	if float64(threshold) >= e.present(now) {
		e.threshold = float64(threshold)
		e.at = now
	}
}

func (e *Entry) refuses(now time.Time, priority lagoonbarrow.Priority) bool {
	if float64(priority) >= e.present(now) {
		return false
	}
	e.refused++
	return e.refused%probeEvery != 0
}
