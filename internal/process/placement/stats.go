package placement

import (
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// latencyRatioWeight is the weight of one answer in an instance's latency ratio.
	latencyRatioWeight = 0.1
	// maxRatio bounds the effect of one answer, because latencies have long tails.
	maxRatio = 8.0
	// routeLatencyWeight is the weight of one answer in a route's average latency.
	routeLatencyWeight = 0.02
	// failureWeight is the weight of one answer in an instance's failure ratio.
	failureWeight = 0.1
	// statsHalfLife is the half-life of measured latencies and failures. The decay lets
	// an instance that receives no requests be tried again.
	statsHalfLife = 4 * time.Second
	// maxReportAge is how long a load report is used.
	maxReportAge = 2 * time.Second
	// minAvoidance and maxAvoidance bound how long an unreachable instance is avoided.
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
	// silentAfter is the time without an answer after which an instance with requests
	// in flight counts as silent: it is frozen, disconnected or very slow.
	silentAfter = 1500 * time.Millisecond
	// silentRatio is the latency ratio assumed for a silent instance.
	silentRatio = 10.0
	// minSuccess bounds the cost of failures.
	minSuccess = 0.1
)

// routeLatency is the moving average of a route's latency over all instances.
type routeLatency struct {
	seconds float64
	samples int
}

// add adds a latency to the average and returns its ratio to the previous average.
func (l *routeLatency) add(seconds float64) float64 {
	if l.samples == 0 {
		l.seconds = seconds
	}
	ratio := l.ratio(seconds)
	l.samples++
	weight := max(routeLatencyWeight, 1/float64(l.samples))
	l.seconds += weight * (min(seconds, maxRatio*l.seconds) - l.seconds)
	return ratio
}

// ratio returns the ratio of a latency to the average, 1 before the first latency.
func (l *routeLatency) ratio(seconds float64) float64 {
	if l.samples == 0 && l.seconds == 0 {
		return 1
	}
	return seconds / max(l.seconds, minSeconds)
}

// minSeconds keeps ratios finite.
const minSeconds = 1e-6

// instanceStats holds the statistics of one instance. Chooser.mu guards it.
type instanceStats struct {
	inFlight int
	// startedSinceReport counts the requests sent after the last load report.
	startedSinceReport int
	load               lagoonbarrow.Load
	reportedAt         time.Time
	// announced is what the backend server has said about itself.
	announced announced
	// latencyRatio is the moving average of the latencies, each divided by the average
	// of its route.
	latencyRatio   float64
	latencyRatioAt time.Time
	// failureRatio is the moving average of failures, from 0 to 1.
	failureRatio   float64
	failureRatioAt time.Time
	// silentSince is the time of the last answer, or of the first request after a time
	// without requests in flight.
	silentSince time.Time

	avoidance    time.Duration
	avoidedUntil time.Time
	// onTrial is set from the first request after an avoidance until its result.
	onTrial bool
}

func (s *instanceStats) begin(now time.Time) {
	if s.inFlight == 0 {
		s.silentSince = now
	}
	s.inFlight++
	s.startedSinceReport++
}

func (s *instanceStats) end(now time.Time, observed lagoonbarrow.Observation) {
	s.inFlight--
	s.announced.observe(now, observed)
	if observed.HasLoad {
		s.load = observed.Load
		s.reportedAt = now
		s.startedSinceReport = 0
		s.silentSince = now
		s.avoidance = 0
		s.avoidedUntil = time.Time{}
		s.onTrial = false
	}
	result := 0.0
	if observed.Failed {
		result = 1
	}
	if observed.Failed || observed.Latency > 0 {
		s.failureRatio = decayed(s.failureRatio, 0, now.Sub(s.failureRatioAt))
		s.failureRatio += failureWeight * (result - s.failureRatio)
		s.failureRatioAt = now
	}
}

func (s *instanceStats) addLatencyRatio(now time.Time, ratio float64) {
	s.latencyRatio = decayed(s.latencyRatio, 1, now.Sub(s.latencyRatioAt))
	s.latencyRatio += latencyRatioWeight * (min(ratio, maxRatio) - s.latencyRatio)
	s.latencyRatioAt = now
}

// silent reports whether requests are in flight and no answer has arrived for silentAfter.
func (s *instanceStats) silent(now time.Time) bool {
	return s.inFlight > 0 && now.Sub(s.silentSince) > silentAfter
}

// slowness returns the latency ratio, 1 for an instance of average latency.
func (s *instanceStats) slowness(now time.Time) float64 {
	if s.silent(now) {
		return silentRatio
	}
	return decayed(s.latencyRatio, 1, now.Sub(s.latencyRatioAt))
}

// success returns the fraction of requests that did not fail, at least minSuccess.
func (s *instanceStats) success(now time.Time) float64 {
	return max(minSuccess, 1-decayed(s.failureRatio, 0, now.Sub(s.failureRatioAt)))
}

// utilisation returns the fraction of the slots in use, or that of the limit which the
// server names, whichever is larger. It exceeds 1 with a queue.
func (s *instanceStats) utilisation(instance *lagoonbarrow.Instance, now time.Time) float64 {
	return max(s.slotUtilisation(instance, now), s.announced.utilisation(now, s.startedSinceReport))
}

func (s *instanceStats) slotUtilisation(instance *lagoonbarrow.Instance, now time.Time) float64 {
	if now.Sub(s.reportedAt) > maxReportAge || s.load.Limit == 0 {
		return float64(s.inFlight) / float64(max(1, instance.Slots))
	}
	busy := s.load.Running + s.load.Queued + s.startedSinceReport
	return float64(busy) / float64(s.load.Limit)
}

// avoid starts an avoidance, unless one is in force. Its length doubles with each
// failure after the end of the last avoidance.
func (s *instanceStats) avoid(now time.Time) {
	if now.Before(s.avoidedUntil) && !s.onTrial {
		return
	}
	s.onTrial = false
	s.avoidance = min(max(2*s.avoidance, minAvoidance), maxAvoidance)
	s.avoidedUntil = now.Add(s.avoidance)
}

// recordChoice records that the instance was chosen. After an avoidance, only the first
// request is sent to it and the others continue to avoid it. If the machine is lost,
// each request would otherwise wait as long as the first.
func (s *instanceStats) recordChoice(now time.Time) {
	if s.avoidance == 0 || s.avoided(now) {
		return
	}
	s.onTrial = true
	s.avoidedUntil = now.Add(s.avoidance)
}

func (s *instanceStats) avoided(now time.Time) bool {
	return now.Before(s.avoidedUntil)
}

// decayed moves a value towards the neutral value according to its age.
func decayed(value, neutral float64, age time.Duration) float64 {
	return neutral + (value-neutral)*math.Exp2(-float64(age)/float64(statsHalfLife))
}
