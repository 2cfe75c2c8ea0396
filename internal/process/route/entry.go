package route

import (
	"container/list"
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// reportAge is how long a load report counts (section 3.12 of the design page).
	reportAge = 2 * time.Second
	// firstPenalty and lastPenalty bound how long a failed instance is avoided.
	firstPenalty = time.Second
	lastPenalty  = 10 * time.Second
	// latencyWeight is the least weight of one call in the latency average.
	latencyWeight = 1.0 / 8
	// latencyMemory: the weight of a call grows with the time since the last one,
	// so that one call after several seconds counts nearly alone.
	latencyMemory = time.Second
	// clipFactor bounds one call's part in the average to this many times the
	// service's median, so that one very slow request doubles an average at most.
	clipFactor = 8
	// decayHalfLife moves the average of an instance without calls towards the
	// service's median, so that a straggler of the past is tried again.
	decayHalfLife = 10 * time.Second
)

// entry holds the statistics of one instance. Router.mu guards it.
type entry struct {
	id      lagoonbarrow.InstanceID
	element *list.Element
	// inFlight counts the calls from this node.
	inFlight int
	// latency is a moving average in seconds.
	latency    float64
	known      bool
	lastSample time.Time
	// median is the service's median at the last choice.
	median float64

	load       lagoonbarrow.Load
	reportedAt time.Time

	penalty      time.Duration
	avoidedUntil time.Time
}

// observe takes what a call showed.
func (e *entry) observe(now time.Time, observed lagoonbarrow.Observation, median float64) {
	if observed.HasLoad {
		e.load = observed.Load
		e.reportedAt = now
	}
	if observed.Failed {
		e.fail(now)
		return
	}
	if !now.Before(e.avoidedUntil) {
		e.penalty = 0
	}
	if observed.Latency > 0 {
		e.addLatency(now, observed.Latency.Seconds(), median)
	}
}

// fail avoids the instance for a time that doubles with each failure after the
// last such time had passed. Failures of calls sent before do not add to it.
func (e *entry) fail(now time.Time) {
	if now.Before(e.avoidedUntil) {
		return
	}
	e.penalty = min(max(2*e.penalty, firstPenalty), lastPenalty)
	e.avoidedUntil = now.Add(e.penalty)
}

func (e *entry) addLatency(now time.Time, seconds, median float64) {
	if median > 0 {
		seconds = min(seconds, clipFactor*median)
	}
	if !e.known {
		e.known = true
		e.latency = seconds
		e.lastSample = now
		return
	}
	age := float64(now.Sub(e.lastSample)) / float64(latencyMemory)
	weight := max(latencyWeight, 1-math.Exp(-age))
	e.latency += weight * (seconds - e.latency)
	e.lastSample = now
}

// present returns the latency average after decay towards the median.
func (e *entry) present(now time.Time, median float64) float64 {
	if e == nil || !e.known {
		return median
	}
	if e.latency <= median {
		return e.latency
	}
	age := now.Sub(e.lastSample)
	if age < latencyMemory {
		return e.latency
	}
	return median + (e.latency-median)*math.Exp2(-float64(age)/float64(decayHalfLife))
}

// queued is the callee's reported queue, 0 when the report is too old.
func (e *entry) queued(now time.Time) int {
	if now.Sub(e.reportedAt) > reportAge {
		return 0
	}
	return e.load.Queued
}

func (e *entry) penalised(now time.Time) bool {
	return e != nil && now.Before(e.avoidedUntil)
}
