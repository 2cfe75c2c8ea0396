package admission

import (
	"math"
	"time"
)

const (
	// coldStartPart is the part of the slots that the limit starts at.
	coldStartPart = 4
	// coldStartWindows is the number of windows with answers after which the cold start
	// ends although the limit was not reached.
	coldStartWindows = 50
	// coldStartPatience is the number of windows with answers for which the cold
	// start waits for a first baseline. A baseline taken at all slots would hide
	// that the backend server is slower there than at a quarter. Ten windows
	// shed work for a second where two shed none: a node that had just been replaced
	// refused normal requests that its backend server had room for.
	coldStartPatience = 2
	// coldGrowthPart replaces growthPart until the limit has reached the slots
	// once: a quarter of the slots becomes all of them in four windows.
	coldGrowthPart = 2
	// minLimit is the least limit, unless there are fewer slots.
	minLimit = 2
	// growthPart: the limit grows by 1/growthPart in each window, so that it is back from
	// 2 to 200 slots in 22 windows. Growth by one would take 20 s.
	growthPart = 4
	// shrinkFactor lowers the limit in a window with inflated latency.
	shrinkFactor = 0.9
	// inflatedShare is the part of the calls whose operations must be inflated
	// to lower the limit. A slow downstream service inflates only the operations that
	// use it; a slow backend server inflates all.
	inflatedShare = 0.75
	// trialFactor: when the limit has fallen to this part of its height, the latency must have
	// followed it.
	trialFactor = 0.8
	// trialFall is the least fall of the latency's logarithm in such a trial. Latency that
	// is proportional to concurrency falls by 0.22 (the logarithm of 1/0.8), and throughput stays.
	trialFall = 0.16
)

// The reasons for the present limit in Status.
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
	// warm ends the cold start: the limit has reached the slots, or
	// coldStartWindows have passed. Until then the limit grows only in windows in which it
	// was reached.
	warm bool
	// answered counts the windows with answers during the cold start.
	answered int
	// peak is the highest number of running calls in the present window.
	peak   int
	served int

	// trialLimit and trialInflation are the values before the limit was lowered; 0 without a trial.
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
		limit:  max(slots/coldStartPart, min(minLimit, slots)),
		reason: reasonColdStart,
	}
}

// evidence sums up the verdicts of all operations.
type evidence struct {
	healthy  float64
	inflated float64
	// inflation is the mean logarithm over the baseline of the inflated operations.
	inflation float64
	// fresh is set when a verdict was taken in this window.
	fresh bool
}

func (e evidence) overloaded() bool {
	return e.inflated > inflatedShare*(e.inflated+e.healthy)
}

func (t *operations) evidence(now time.Time) evidence {
	var found evidence
	weighted := 0.0
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		track := &op.latency
		if track.close(now) {
			found.fresh = true
		}
		if !track.current(now) {
			continue
		}
		if !track.inflated {
			found.healthy += track.weight
			continue
		}
		found.inflated += track.weight
		weighted += track.inflation * track.weight
	}
	if found.inflated > 0 {
		found.inflation = weighted / found.inflated
	}
	return found
}

func (t *operations) adoptInflated() {
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		if op.latency.inflated {
			op.latency.adopt()
		}
	}
}

// close ends a window and adapts the limit. With less than half of it in use,
// latency can't be lowered by it; when load ends, the last answers are slow ones.
func (l *limiter) close(now time.Time, table *operations, running int) {
	found := table.evidence(now)
	switch {
	case found.overloaded() && 2*running >= l.limit:
		l.shrink(found, table)
	case l.served == 0 && running > 0:
		l.reason = reasonNoAnswers
	default:
		l.grow(found)
	}
	l.peak = running
	l.served = 0
}

func (l *limiter) grow(found evidence) {
	l.trialLimit = 0
	if l.served > 0 && !l.warm {
		l.answered++
		l.warm = l.answered >= coldStartWindows
	}
	awaitsBaseline := found.healthy == 0 && l.answered < coldStartPatience
	if !l.warm && (l.peak < l.limit || awaitsBaseline) {
		return
	}
	part := growthPart
	if !l.warm {
		part = coldGrowthPart
	}
	l.limit = min(l.limit+max(1, l.limit/part), l.slots)
	if l.limit == l.slots {
		l.warm = true
		l.reason = reasonSlots
		return
	}
	if l.warm {
		l.reason = reasonGrowing
	}
}

// shrink lowers the limit, unless that has proved useless: then the latency has
// another cause than concurrency and becomes the new baseline. So a lasting
// slowdown can't drive the limit down and keep it there.
func (l *limiter) shrink(found evidence, table *operations) {
	l.reason = reasonLatency
	if !found.fresh {
		return
	}
	if l.trialLimit == 0 {
		l.trialLimit = l.limit
		l.trialInflation = found.inflation
	}
	lowest := min(minLimit, l.slots)
	if l.limit <= lowest || l.trialFailed(found) {
		table.adoptInflated()
		l.trialLimit = 0
		l.reason = reasonNotFollowing
		return
	}
	lowered := int(math.Floor(shrinkFactor * float64(l.limit)))
	l.limit = max(lowered, lowest)
}

// trialFailed ends a trial when the limit has fallen far enough and reports
// whether the latency did not follow. Otherwise it begins the next trial.
func (l *limiter) trialFailed(found evidence) bool {
	if float64(l.limit) > trialFactor*float64(l.trialLimit) {
		return false
	}
	if found.inflation > l.trialInflation-trialFall {
		return true
	}
	l.trialLimit = l.limit
	l.trialInflation = found.inflation
	return false
}
