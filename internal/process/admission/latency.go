package admission

import (
	"math"
	"time"
)

const (
	// baselinePeriod and baselinePeriods: the baseline is the lowest estimate of the
	// current and the last two periods. An estimate is discarded after at most 30 s.
	baselinePeriod  = 10 * time.Second
	baselinePeriods = 3
	// minEstimateCalls is the minimum number of calls for an estimate.
	minEstimateCalls = 16
	// maxEstimateError is the maximum standard error of the mean logarithm in an estimate
	// younger than maxEstimateAge. With 0.15 a factor of 2 is clearly visible.
	maxEstimateError = 0.15
	// maxEstimateAge is the age at which an estimate with enough calls is used whatever its error.
	maxEstimateAge = time.Second
	// minEstimateTime is the shortest time used to compute a rate. It bounds the rate of a
	// burst of calls.
	minEstimateTime = 10 * time.Millisecond
	// estimateTTL is how long an estimate is used after it was made.
	estimateTTL = time.Second
	// errorFactor is the number of standard errors added to inflationLimit.
	errorFactor = 2
)

// inflationLimit is the logarithm of the ratio to the baseline above which latency counts
// as inflated (docs/design.md, 3.3).
var inflationLimit = math.Log(2)

// estimate is a mean logarithm of latencies with its standard error.
type estimate struct {
	log    float64
	stdErr float64
	known  bool
}

// latencyTrack compares an operation's latency with its baseline. It uses mean logarithms
// with their standard errors. Calls that take many times longer than the rest then do not
// look like a slower backend server.
type latencyTrack struct {
	// calls, sum and sumSquare hold the logarithms of the latencies since firstCallAt.
	calls       int
	sum         float64
	sumSquare   float64
	firstCallAt time.Time

	baseline    [baselinePeriods]estimate
	periodStart time.Time

	// latest is the last estimate. inflated and inflation compare it with the baseline.
	latest    estimate
	inflated  bool
	inflation float64
	// weight is the rate of calls per second during the last estimate.
	weight   float64
	latestAt time.Time
}

func (t *latencyTrack) add(now time.Time, serverTime time.Duration) {
	if t.calls == 0 {
		t.firstCallAt = now
	}
	value := math.Log(max(serverTime, time.Microsecond).Seconds())
	t.calls++
	t.sum += value
	t.sumSquare += value * value
}

// update makes an estimate if there are enough calls, compares it with the baseline and
// reports whether it did so.
func (t *latencyTrack) update(now time.Time) bool {
	t.rotateBaselines(now)
	if t.calls < minEstimateCalls {
		return false
	}
	calls := float64(t.calls)
	mean := t.sum / calls
	variance := max(t.sumSquare/calls-mean*mean, 0)
	current := estimate{
		log:    mean,
		stdErr: math.Sqrt(variance / calls),
		known:  true,
	}
	if current.stdErr > maxEstimateError && now.Sub(t.firstCallAt) < maxEstimateAge {
		return false
	}
	t.compare(now, current)
	t.calls = 0
	t.sum = 0
	t.sumSquare = 0
	return true
}

func (t *latencyTrack) compare(now time.Time, current estimate) {
	base := t.currentBaseline()
	t.latest = current
	t.latestAt = now
	t.weight = float64(t.calls) / max(now.Sub(t.firstCallAt), minEstimateTime).Seconds()
	t.inflated = false
	t.inflation = 0
	if base.known {
		t.inflation = current.log - base.log
		allowed := inflationLimit + errorFactor*math.Hypot(current.stdErr, base.stdErr)
		t.inflated = t.inflation > allowed
	}
	if !t.baseline[0].known || current.log < t.baseline[0].log {
		t.baseline[0] = current
	}
}

// rotateBaselines starts new baseline periods.
func (t *latencyTrack) rotateBaselines(now time.Time) {
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

// currentBaseline returns the lowest estimate of all periods.
func (t *latencyTrack) currentBaseline() estimate {
	var lowest estimate
	for _, candidate := range t.baseline {
		if !candidate.known {
			continue
		}
		if !lowest.known || candidate.log < lowest.log {
			lowest = candidate
		}
	}
	return lowest
}

// resetBaseline replaces the baseline by the last estimate.
func (t *latencyTrack) resetBaseline() {
	t.baseline = [baselinePeriods]estimate{t.latest}
	t.inflated = false
	t.inflation = 0
}

func (t *latencyTrack) isCurrent(now time.Time) bool {
	return t.latest.known && now.Sub(t.latestAt) < estimateTTL
}
