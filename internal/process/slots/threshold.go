package slots

import (
	"math"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

const (
	// thresholdWindow is the interval between changes of the threshold. Admitted
	// requests make their calls some hundred milliseconds later. Shorter windows would
	// change the threshold again before the last change takes effect.
	thresholdWindow = 200 * time.Millisecond
	// samplesPerWindow is the number of samples of the queues in a window.
	samplesPerWindow = 10
	// targetWait is the standing queueing delay above which the threshold rises.
	targetWait = 100 * time.Millisecond
	// idleTime is the time without calls after which the threshold is reset.
	idleTime = time.Second
	// customerTime is how long a gate serves customers after a request of one.
	customerTime = 10 * time.Second
	// drainedPart is the part of the queued nested requests of customers for which a window
	// leaves room, before it admits others of their importance.
	drainedPart = 0.5
)

// pace is how fast a threshold changes.
type pace struct {
	window time.Duration
	// target is the standing queueing delay above which the threshold rises.
	target time.Duration
}

var (
	plainPace = pace{
		window: thresholdWindow,
		target: targetWait,
	}
	// customerPace suits thresholds that reach the entry with the answer of any request, within
	// some ten milliseconds, and not at the end of the request.
	customerPace = pace{
		window: 100 * time.Millisecond,
		target: 25 * time.Millisecond,
	}
)

// pace returns the pace for the requests that arrive.
func (g *Gate) pace(now time.Time) pace {
	if g.servesCustomers(now) {
		return customerPace
	}
	return plainPace
}

// servesCustomers reports whether requests of customers have arrived lately.
func (g *Gate) servesCustomers(now time.Time) bool {
	return !g.customerAt.IsZero() && now.Sub(g.customerAt) <= customerTime
}

// thresholdState computes the lowest priority for which calls should be sent to this
// server. The gate itself refuses no call by it, because a call that has arrived may
// still get a slot. It is applied to the requests whose calls would be sent here.
type thresholdState struct {
	control     threshold.Control
	windowStart time.Time
	sampledAt   time.Time
}

// Threshold returns the lowest priority for which a call is expected to get a slot.
// It never exceeds the threshold of critical calls.
func (g *Gate) Threshold() lagoonbarrow.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateThreshold()
	return g.threshold.control.Threshold()
}

// updateThreshold samples the queues and ends the window if it is over. It needs no
// timer, because without calls there is no sender to report the threshold to. The
// caller holds the mutex.
func (g *Gate) updateThreshold() {
	now := g.config.Now()
	state := &g.threshold
	pace := g.pace(now)
	if now.Sub(state.sampledAt) >= pace.window/samplesPerWindow {
		state.sampledAt = now
		state.control.Sample(g.longestWait(now), g.isOpen())
	}
	elapsed := now.Sub(state.windowStart)
	if elapsed < pace.window {
		return
	}
	state.windowStart = now
	if elapsed > idleTime {
		state.control = threshold.New(0)
		return
	}
	state.control.Close(threshold.Window{
		Length:        pace.window,
		Elapsed:       elapsed,
		Target:        pace.target,
		AddQueued:     g.addQueued,
		MaxThroughput: g.maxThroughput(pace.window),
		SlotTime:      time.Duration(g.meanSlotTime * float64(time.Second)),
		// Critical calls are never refused by the threshold, only for lack of a slot.
		NonCriticalWork: true,
	})
}

// longestWait returns the age of the oldest waiting call.
func (g *Gate) longestWait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, queue := range g.queues {
		for _, w := range queue {
			longest = max(longest, now.Sub(w.queuedAt))
		}
	}
	return longest
}

func (g *Gate) addQueued(counts *[threshold.Priorities]float64) {
	for _, queue := range g.queues {
		for _, w := range queue {
			if w.deadlineOrder {
				top := lagoonbarrow.NewPriority(w.callPriority.Importance(), math.MaxUint64)
				counts[top] += drainedPart
				continue
			}
			counts[w.callPriority]++
		}
	}
}

// maxThroughput returns the number of calls that complete in a window when all slots are in
// use, or that the rate limit allows.
func (g *Gate) maxThroughput(window time.Duration) float64 {
	if g.meanSlotTime == 0 {
		return 0
	}
	throughput := float64(g.limit) * window.Seconds() / g.meanSlotTime
	if g.rate.limited {
		throughput = min(throughput, g.rate.perSecond*window.Seconds())
	}
	return throughput
}
