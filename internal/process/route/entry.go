package route

import (
	"container/list"
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// maxReportAge is how long a load report is used (docs/design.md, 3.12).
	maxReportAge = 2 * time.Second
	// minPenalty and maxPenalty bound how long a failed instance is avoided.
	minPenalty = time.Second
	maxPenalty = 10 * time.Second
	// minLatencyWeight is the lowest weight of one call in the latency average.
	minLatencyWeight = 1.0 / 8
	// latencyTimeConstant sets how fast the weight of a call grows with the time since
	// the previous one. After several seconds, one call almost replaces the average.
	latencyTimeConstant = time.Second
	// maxLatencyFactor caps the latency of one call at this multiple of the service's
	// median. One very slow request then doubles an average at most.
	maxLatencyFactor = 8
	// decayHalfLife is the half-life with which the average of an instance without calls
	// approaches the service's median, so that a former straggler is tried again.
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
	hasLatency bool
	lastSample time.Time
	// serviceMedian is the service's median latency at the last choice.
	serviceMedian float64

	load       lagoonbarrow.Load
	reportedAt time.Time

	penalty      time.Duration
	avoidedUntil time.Time
}

// observe updates the statistics with the outcome of a call.
func (e *entry) observe(now time.Time, observed lagoonbarrow.Observation, median float64) {
	if observed.HasLoad {
		e.load = observed.Load
		e.reportedAt = now
	}
	if observed.Failed {
		e.recordFailure(now)
		return
	}
	if !now.Before(e.avoidedUntil) {
		e.penalty = 0
	}
	if observed.Latency > 0 {
		e.addLatency(now, observed.Latency.Seconds(), median)
	}
}

// recordFailure starts a penalty during which the instance is avoided. Each failure
// after the end of a penalty starts one twice as long. Failures during a penalty are
// ignored, because calls sent before it must not extend it.
func (e *entry) recordFailure(now time.Time) {
	if now.Before(e.avoidedUntil) {
		return
	}
	e.penalty = min(max(2*e.penalty, minPenalty), maxPenalty)
	e.avoidedUntil = now.Add(e.penalty)
}

func (e *entry) addLatency(now time.Time, seconds, median float64) {
	if median > 0 {
		seconds = min(seconds, maxLatencyFactor*median)
	}
	if !e.hasLatency {
		e.hasLatency = true
		e.latency = seconds
		e.lastSample = now
		return
	}
	age := float64(now.Sub(e.lastSample)) / float64(latencyTimeConstant)
	weight := max(minLatencyWeight, 1-math.Exp(-age))
	e.latency += weight * (seconds - e.latency)
	e.lastSample = now
}

// decayedLatency returns the latency average, decayed towards the median since the
// last call. Without an average it returns the median.
func (e *entry) decayedLatency(now time.Time, median float64) float64 {
	if e == nil || !e.hasLatency {
		return median
	}
	if e.latency <= median {
		return e.latency
	}
	age := now.Sub(e.lastSample)
	if age < latencyTimeConstant {
		return e.latency
	}
	return median + (e.latency-median)*math.Exp2(-float64(age)/float64(decayHalfLife))
}

// reportedQueue returns the length of the queue that the instance last reported,
// or 0 if the report is too old.
func (e *entry) reportedQueue(now time.Time) int {
	if now.Sub(e.reportedAt) > maxReportAge {
		return 0
	}
	return e.load.Queued
}

func (e *entry) isAvoided(now time.Time) bool {
	return e != nil && now.Before(e.avoidedUntil)
}
