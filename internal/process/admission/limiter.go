package admission

import (
	"math"
	"time"
)

const (
	// coldStartDivisor divides the slots into the initial limit.
	coldStartDivisor = 4
	// coldStartWindows is the number of windows with answers after which the cold start
	// ends even if the limit has not grown to the slots.
	coldStartWindows = 50
	// coldStartBaselineWindows is the number of windows with answers for which the limit
	// waits for a first baseline. A baseline measured with all slots in use would hide that
	// the backend server is slower than with a quarter of them. With ten windows a node that
	// was just replaced shed normal requests for a second although its backend server had
	// free capacity. With two it shed none.
	coldStartBaselineWindows = 2
	// coldGrowthDivisor replaces growthDivisor during the cold start. The limit grows from
	// a quarter of the slots to all of them in four windows.
	coldGrowthDivisor = 2
	// minLimit is the lowest limit, unless there are fewer slots.
	minLimit = 2
	// growthDivisor makes the limit grow by a quarter in each window, from 2 to 200 slots
	// in 22 windows. Growth by one slot per window would take 20 s.
	growthDivisor = 4
	// shrinkFactor multiplies the limit in a window with inflated latency.
	shrinkFactor = 0.9
	// inflatedShare is the fraction of the calls, by rate, that must belong to operations
	// with inflated latency before the limit is lowered. A slow downstream service inflates
	// only the operations that use it. A slow backend server inflates all of them.
	inflatedShare = 0.75
	// trialLimitFactor ends a trial: once the limit has fallen to this fraction of its value
	// before the trial, the latency must have fallen too.
	trialLimitFactor = 0.8
	// minTrialDrop is the smallest decrease of the latency's logarithm in a successful trial.
	// Latency that is proportional to concurrency decreases by 0.22, the logarithm of 1/0.8,
	// at the same throughput.
	minTrialDrop = 0.16
)

// Values of Status.LimitReason.
const (
	reasonColdStart    = "cold start: grows when it is reached"
	reasonSlots        = "all slots in use"
	reasonLatency      = "lowered: latency is above twice its baseline"
	reasonGrowing      = "growing back: latency is below twice its baseline"
	reasonNotFollowing = "growing back: latency did not follow the limit; new baseline taken"
	reasonNoAnswers    = "held: running calls gave no answers in the last window"
	reasonPlain        = "plain mode: fixed"
)

// limiter adapts the concurrency limit.
type limiter struct {
	slots  int
	limit  int
	reason string
	// warm is set when the cold start ends: the limit has reached the slots, or
	// coldStartWindows have passed. During the cold start the limit grows only in windows
	// in which the running calls reached it.
	warm bool
	// answeredWindows is the number of windows with answers during the cold start.
	answeredWindows int
	// peakRunning is the highest number of running calls in the current window.
	peakRunning int
	// served is the number of calls in the current window that returned an answer.
	served int

	// trialLimit and trialInflation are the limit and the latency inflation at the start of
	// the current trial. trialLimit is 0 without a trial.
	trialLimit     int
	trialInflation float64
}

func newLimiter(slots int, plain bool) limiter {
	if plain {
		return limiter{
			slots:  slots,
			limit:  slots,
			reason: reasonPlain,
			warm:   true,
		}
	}
	return limiter{
		slots:  slots,
		limit:  max(slots/coldStartDivisor, min(minLimit, slots)),
		reason: reasonColdStart,
	}
}

// latencySummary summarizes how the latencies of all operations compare with their baselines.
type latencySummary struct {
	// healthy and inflated are the rates of calls to operations without and with
	// inflated latency.
	healthy  float64
	inflated float64
	// inflation is the mean logarithm of latency over baseline of the inflated operations.
	inflation float64
	// updated is set when an operation has a new estimate in this window.
	updated bool
}

func (s latencySummary) overloaded() bool {
	return s.inflated > inflatedShare*(s.inflated+s.healthy)
}

func (t *operations) summarizeLatency(now time.Time) latencySummary {
	var summary latencySummary
	weighted := 0.0
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		track := &op.latency
		if track.update(now) {
			summary.updated = true
		}
		if !track.isCurrent(now) {
			continue
		}
		if !track.inflated {
			summary.healthy += track.weight
			continue
		}
		summary.inflated += track.weight
		weighted += track.inflation * track.weight
	}
	if summary.inflated > 0 {
		summary.inflation = weighted / summary.inflated
	}
	return summary
}

func (t *operations) resetInflatedBaselines() {
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		if op.latency.inflated {
			op.latency.resetBaseline()
		}
	}
}

// closeWindow ends a window and adapts the limit. It does not lower a limit of which less
// than half is in use: that would not lower the latency, and when load ends, the last
// answers are slow ones.
func (l *limiter) closeWindow(now time.Time, table *operations, running int) {
	summary := table.summarizeLatency(now)
	switch {
	case summary.overloaded() && 2*running >= l.limit:
		l.shrink(summary, table)
	case l.served == 0 && running > 0:
		l.reason = reasonNoAnswers
	default:
		l.grow(summary)
	}
	l.peakRunning = running
	l.served = 0
}

func (l *limiter) grow(summary latencySummary) {
	l.trialLimit = 0
	if l.served > 0 && !l.warm {
		l.answeredWindows++
		l.warm = l.answeredWindows >= coldStartWindows
	}
	needsBaseline := summary.healthy == 0 && l.answeredWindows < coldStartBaselineWindows
	if !l.warm && (l.peakRunning < l.limit || needsBaseline) {
		return
	}
	divisor := growthDivisor
	if !l.warm {
		divisor = coldGrowthDivisor
	}
	l.limit = min(l.limit+max(1, l.limit/divisor), l.slots)
	if l.limit == l.slots {
		l.warm = true
		l.reason = reasonSlots
		return
	}
	if l.warm {
		l.reason = reasonGrowing
	}
}

// shrink lowers the limit, unless a trial has shown that this does not lower the latency.
// Then the cause is not concurrency and the latency becomes the new baseline. Otherwise a
// lasting slowdown would keep the limit low.
func (l *limiter) shrink(summary latencySummary, table *operations) {
	l.reason = reasonLatency
	if !summary.updated {
		return
	}
	if l.trialLimit == 0 {
		l.trialLimit = l.limit
		l.trialInflation = summary.inflation
	}
	lowest := min(minLimit, l.slots)
	if l.limit <= lowest || l.trialFailed(summary) {
		table.resetInflatedBaselines()
		l.trialLimit = 0
		l.reason = reasonNotFollowing
		return
	}
	lowered := int(math.Floor(shrinkFactor * float64(l.limit)))
	l.limit = max(lowered, lowest)
}

// trialFailed returns true if the limit has fallen to trialLimitFactor but the latency has
// not decreased by minTrialDrop. If the latency has decreased, the next trial begins.
func (l *limiter) trialFailed(summary latencySummary) bool {
	if float64(l.limit) > trialLimitFactor*float64(l.trialLimit) {
		return false
	}
	if summary.inflation > l.trialInflation-minTrialDrop {
		return true
	}
	l.trialLimit = l.limit
	l.trialInflation = summary.inflation
	return false
}
