package placement

import (
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// ratioWeight is the weight of one answer in an instance's latency ratio.
	ratioWeight = 0.1
	// ratioBound bounds the effect of one answer, since latencies have long tails.
	ratioBound = 8.0
	// usualWeight is the weight of one answer in a route's usual latency.
	usualWeight = 0.02
	// resultWeight is the weight of one answer in an instance's failure ratio.
	resultWeight = 0.1
	// memoryHalfLife lets an instance that gets no requests be tried again.
	memoryHalfLife = 4 * time.Second
	// reportAge is how long a load report counts.
	reportAge = 2 * time.Second
	// firstAvoidance and lastAvoidance bound how long an unreachable instance is
	// avoided.
	firstAvoidance = 500 * time.Millisecond
	lastAvoidance  = 4 * time.Second
	// silentAfter: an instance with requests in flight that answered nothing for so
	// long is frozen, cut off or very slow.
	silentAfter = 1500 * time.Millisecond
	// silentRatio is the latency ratio that a silent instance counts with.
	silentRatio = 10.0
	// leastSuccess bounds the cost of failures.
	leastSuccess = 0.1
)

// usual is the moving average of a route's latency over all instances, in seconds.
type usual struct {
	seconds float64
	samples int
}

// add takes a latency and returns its ratio to the average before it.
func (u *usual) add(seconds float64) float64 {
	if u.samples == 0 {
		u.seconds = seconds
	}
	ratio := u.ratio(seconds)
	u.samples++
	weight := max(usualWeight, 1/float64(u.samples))
	u.seconds += weight * (min(seconds, ratioBound*u.seconds) - u.seconds)
	return ratio
}

// ratio returns a latency's ratio to the average, 1 before the first.
func (u *usual) ratio(seconds float64) float64 {
	if u.samples == 0 && u.seconds == 0 {
		return 1
	}
	return seconds / max(u.seconds, leastSeconds)
}

// leastSeconds keeps ratios finite.
const leastSeconds = 1e-6

// entry holds the statistics of one instance. Chooser.mu guards it.
type entry struct {
	inFlight int
	// startedSince counts the requests sent after the last report.
	startedSince int
	load         lagoonbarrow.Load
	reportedAt   time.Time
	// ratio is the moving average of latency against the route's usual one.
	ratio   float64
	ratioAt time.Time
	// failures is the moving average of failed answers, from 0 to 1.
	failures   float64
	failuresAt time.Time
	// quietSince is when the instance answered last, or when it was sent the first
	// request after a time without any.
	quietSince time.Time

	avoidance    time.Duration
	avoidedUntil time.Time
	// onTrial is set between the first request after an avoidance and its end.
	onTrial bool
}

func (e *entry) begin(now time.Time) {
	if e.inFlight == 0 {
		e.quietSince = now
	}
	e.inFlight++
	e.startedSince++
}

func (e *entry) end(now time.Time, observed lagoonbarrow.Observation) {
	e.inFlight--
	if observed.HasLoad {
		e.load = observed.Load
		e.reportedAt = now
		e.startedSince = 0
		e.quietSince = now
		e.avoidance = 0
		e.avoidedUntil = time.Time{}
		e.onTrial = false
	}
	result := 0.0
	if observed.Failed {
		result = 1
	}
	if observed.Failed || observed.Latency > 0 {
		e.failures = decayed(e.failures, 0, now.Sub(e.failuresAt))
		e.failures += resultWeight * (result - e.failures)
		e.failuresAt = now
	}
}

func (e *entry) addLatency(now time.Time, ratio float64) {
	e.ratio = decayed(e.ratio, 1, now.Sub(e.ratioAt))
	e.ratio += ratioWeight * (min(ratio, ratioBound) - e.ratio)
	e.ratioAt = now
}

// slowness returns the latency ratio, 1 for an instance like the others.
func (e *entry) slowness(now time.Time) float64 {
	if e.inFlight > 0 && now.Sub(e.quietSince) > silentAfter {
		return silentRatio
	}
	return decayed(e.ratio, 1, now.Sub(e.ratioAt))
}

// success returns the part of answers that did not fail.
func (e *entry) success(now time.Time) float64 {
	return max(leastSuccess, 1-decayed(e.failures, 0, now.Sub(e.failuresAt)))
}

// utilisation returns the part of the slots in use, above 1 with a queue.
func (e *entry) utilisation(instance *lagoonbarrow.Instance, now time.Time) float64 {
	if now.Sub(e.reportedAt) > reportAge || e.load.Limit == 0 {
		return float64(e.inFlight) / float64(max(1, instance.Slots))
	}
	busy := e.load.Running + e.load.Queued + e.startedSince
	return float64(busy) / float64(e.load.Limit)
}

// avoid keeps requests away for a time that doubles with each failure after the
// last such time had passed.
func (e *entry) avoid(now time.Time) {
	if now.Before(e.avoidedUntil) && !e.onTrial {
		return
	}
	e.onTrial = false
	e.avoidance = min(max(2*e.avoidance, firstAvoidance), lastAvoidance)
	e.avoidedUntil = now.Add(e.avoidance)
}

// try notes that the instance was chosen. After an avoidance one request tries it,
// while others go on to avoid it: each would wait as long as the first if the
// machine is lost.
func (e *entry) try(now time.Time) {
	if e.avoidance == 0 || e.avoided(now) {
		return
	}
	e.onTrial = true
	e.avoidedUntil = now.Add(e.avoidance)
}

func (e *entry) avoided(now time.Time) bool {
	return now.Before(e.avoidedUntil)
}

// decayed moves a value towards its neutral one by its age.
func decayed(value, neutral float64, age time.Duration) float64 {
	return neutral + (value-neutral)*math.Exp2(-float64(age)/float64(memoryHalfLife))
}
