package admission

import (
	"math"
	"time"
)

const (
	// baselinePeriod and baselinePeriods: the baseline is the least estimate of
	// the present and the last two periods, so it is forgotten after 30 s at most.
	baselinePeriod  = 10 * time.Second
	baselinePeriods = 3
	// estimateCalls is the least number of calls behind an estimate.
	estimateCalls = 16
	// estimateError is the standard error of the mean logarithm at which an
	// estimate is taken; 0.15 makes a factor of 2 clearly visible.
	estimateError = 0.15
	// estimateAge is the age at which an estimate with enough calls is taken whatever its error.
	estimateAge = time.Second
	// leastEstimateTime bounds the rate that is computed from a burst of calls.
	leastEstimateTime = 10 * time.Millisecond
	// verdictAge is how long a verdict counts.
	verdictAge = time.Second
	// errorFactor is the number of standard errors that are allowed for.
	errorFactor = 2
)

// inflationLimit is the logarithm of the factor over the baseline above which
// latency counts as inflated (section 3.3 of the design page).
var inflationLimit = math.Log(2)

// estimate is a mean logarithm of latencies with its standard error.
type estimate struct {
	log   float64
	err   float64
	known bool
}

// latencyTrack compares an operation's latency with its own baseline. It uses
// mean logarithms with their standard errors, so that calls that take many times
// longer than the rest do not look like a slower backend server.
type latencyTrack struct {
	calls     int
	sum       float64
	sumSquare float64
	since     time.Time

	baseline    [baselinePeriods]estimate
	periodStart time.Time

	// verdict is the comparison of the last estimate.
	verdict   estimate
	inflated  bool
	inflation float64
	// weight is the rate of calls per second behind the verdict.
	weight    float64
	verdictAt time.Time
}

func (t *latencyTrack) add(now time.Time, own time.Duration) {
	if t.calls == 0 {
		t.since = now
	}
	value := math.Log(max(own, time.Microsecond).Seconds())
	t.calls++
	t.sum += value
	t.sumSquare += value * value
}

// close takes an estimate if there are enough calls and reports whether it did.
func (t *latencyTrack) close(now time.Time) bool {
	t.turn(now)
	if t.calls < estimateCalls {
		return false
	}
	calls := float64(t.calls)
	mean := t.sum / calls
	variance := max(t.sumSquare/calls-mean*mean, 0)
	taken := estimate{
		log:   mean,
		err:   math.Sqrt(variance / calls),
		known: true,
	}
	if taken.err > estimateError && now.Sub(t.since) < estimateAge {
		return false
	}
	t.compare(now, taken)
	t.calls = 0
	t.sum = 0
	t.sumSquare = 0
	return true
}

func (t *latencyTrack) compare(now time.Time, taken estimate) {
	base := t.least()
	t.verdict = taken
	t.verdictAt = now
	t.weight = float64(t.calls) / max(now.Sub(t.since), leastEstimateTime).Seconds()
	t.inflated = false
	t.inflation = 0
	if base.known {
		t.inflation = taken.log - base.log
		allowed := inflationLimit + errorFactor*math.Hypot(taken.err, base.err)
		t.inflated = t.inflation > allowed
	}
	if !t.baseline[0].known || taken.log < t.baseline[0].log {
		t.baseline[0] = taken
	}
}

// turn starts new baseline periods.
func (t *latencyTrack) turn(now time.Time) {
	if t.periodStart.IsZero() {
		t.periodStart = now
		return
	}
	passed := int(now.Sub(t.periodStart) / baselinePeriod)
	for range min(passed, baselinePeriods) {
		copy(t.baseline[1:], t.baseline[:baselinePeriods-1])
		t.baseline[0] = estimate{}
	}
	t.periodStart = t.periodStart.Add(time.Duration(passed) * baselinePeriod)
}

// least returns the baseline.
func (t *latencyTrack) least() estimate {
	var least estimate
	for _, candidate := range t.baseline {
		if !candidate.known {
			continue
		}
		if !least.known || candidate.log < least.log {
			least = candidate
		}
	}
	return least
}

// adopt makes the last estimate the baseline.
func (t *latencyTrack) adopt() {
	t.baseline = [baselinePeriods]estimate{t.verdict}
	t.inflated = false
	t.inflation = 0
}

func (t *latencyTrack) current(now time.Time) bool {
	return t.verdict.known && now.Sub(t.verdictAt) < verdictAge
}
