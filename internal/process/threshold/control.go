// Package threshold computes the lowest priority that is admitted under overload,
// from the queueing delay of the calls that wait for slots.
package threshold

import (
	"math"
	"time"

	"lagoonbarrow"
)

// Priorities is the number of priorities.
const Priorities = 256

const (
	// smoothingWeight averages arrivals and completions over about two windows. The
	// threshold then follows a change of load within a few windows.
	smoothingWeight = 0.5
	// firstStep is the first decrease of the threshold after an increase: 1/32 of an
	// importance level, which keeps the overshoot small while overload lasts. The step
	// doubles in each further window without overload: from 192 to 0 takes 7 windows.
	firstStep = 2
	// idleStep is the least step after a window in which most samples found an idle
	// slot, which shows that the threshold is too high.
	idleStep = 32
	// firstHeadroom is the fraction of the capacity that may be admitted in excess of it
	// in the first decrease after an increase. It doubles like the step, because an
	// underestimated capacity would otherwise keep the threshold too high.
	firstHeadroom = 0.05
	// maxHeadroom bounds the doubling at a value far above any load.
	maxHeadroom = 1e6
	// unknownCapacityStep is the increase per window until a call has completed. The
	// capacity is unknown until then.
	unknownCapacityStep = 16
	// highestThreshold still admits calls of the highest priority.
	highestThreshold = lagoonbarrow.Threshold(Priorities - 1)
)

// Control adjusts a threshold to the standing queueing delay, which is the lowest age
// of the oldest waiting call during a window. Unlike the mean delay, it is zero for a
// burst that is worked off within the window.
type Control struct {
	threshold lagoonbarrow.Threshold
	step      lagoonbarrow.Threshold
	headroom  float64

	// arrived and completed count the calls of the current window.
	arrived   [Priorities]uint32
	completed int
	// standingDelay is the lowest sample of the current window, valid if sampled is set.
	standingDelay time.Duration
	sampled       bool
	// idle counts the samples with an idle slot and no queue.
	idle    int
	samples int

	// arrivals and completions are moving averages per window.
	arrivals       [Priorities]float64
	completions    float64
	hasCompletions bool
	// busyTime is the time since a sample found an idle slot.
	busyTime time.Duration
	// lastStandingDelay is the standing delay of the last window.
	lastStandingDelay time.Duration
}

// New returns a control with the given initial threshold.
func New(first lagoonbarrow.Threshold) Control {
	return Control{
		threshold: first,
	}
}

// Threshold returns the lowest priority to admit.
func (c *Control) Threshold() lagoonbarrow.Threshold {
	return c.threshold
}

// StandingDelay returns the standing queueing delay of the last window.
func (c *Control) StandingDelay() time.Duration {
	return c.lastStandingDelay
}

// RecordArrival counts a call that needs a slot, admitted or not.
func (c *Control) RecordArrival(priority lagoonbarrow.Priority) {
	c.arrived[priority]++
}

// RecordRelease counts a call that has released its slot.
func (c *Control) RecordRelease() {
	c.completed++
}

// Sample records the age of the oldest waiting call, 0 for an empty queue, and
// whether a slot is idle.
func (c *Control) Sample(age time.Duration, idle bool) {
	if !c.sampled || age < c.standingDelay {
		c.standingDelay = age
	}
	c.sampled = true
	c.samples++
	if idle {
		c.idle++
	}
}

// Window holds the data of an ended window from which Close adjusts the threshold.
type Window struct {
	// Length is the nominal length of a window.
	Length time.Duration
	// Elapsed is the actual length of this window.
	Elapsed time.Duration
	// Target is the highest acceptable standing delay.
	Target time.Duration
	// AddQueued adds the number of queued calls of each priority to counts.
	AddQueued func(counts *[Priorities]float64)
	// MaxThroughput is the number of calls that complete in a window when all slots are in use.
	MaxThroughput float64
	// SlotTime is the mean time that a call holds a slot.
	SlotTime time.Duration
	// NonCriticalWork is set while calls below the critical level are running or queued.
	NonCriticalWork bool
}

// Close ends a window and adjusts the threshold.
func (c *Control) Close(window Window) {
	c.updateAverages(float64(window.Length) / float64(window.Elapsed))
	c.lastStandingDelay = c.standingDelay
	c.busyTime += window.Length
	if c.idle > 0 {
		c.busyTime = 0
	}
	if c.sampled && c.standingDelay > window.Target {
		c.raise(window)
	} else {
		c.lower(window)
	}
	if window.NonCriticalWork {
		c.threshold = min(c.threshold, lagoonbarrow.CriticalThreshold)
	}
	c.ResetWindow()
}

// ResetWindow discards the counts and samples of the current window.
func (c *Control) ResetWindow() {
	c.arrived = [Priorities]uint32{}
	c.completed = 0
	c.standingDelay = 0
	c.sampled = false
	c.samples = 0
	c.idle = 0
}

func (c *Control) updateAverages(scale float64) {
	for priority, count := range c.arrived {
		c.arrivals[priority] += smoothingWeight * (float64(count)*scale - c.arrivals[priority])
	}
	completed := float64(c.completed) * scale
	if !c.hasCompletions {
		c.hasCompletions = completed > 0
		c.completions = completed
		return
	}
	c.completions += smoothingWeight * (completed - c.completions)
}

// raise sets the lowest threshold at which the expected arrivals and the queued calls
// complete in the next window, except for a queue of the target delay.
func (c *Control) raise(window Window) {
	c.step = 0
	c.headroom = 0
	if !c.hasCompletions {
		c.threshold = min(c.threshold+unknownCapacityStep, highestThreshold)
		return
	}
	demand := c.arrivals
	window.AddQueued(&demand)
	limit := c.capacity(window) * (1 + float64(window.Target)/float64(window.Length))
	lowest := lowestWithin(&demand, limit)
	c.threshold = min(max(lowest, c.threshold+1), highestThreshold)
}

// capacity estimates the number of calls that complete in a window. The measured
// completions are too low until the slots have been busy for longer than a call
// takes, because many calls have only started. After that the maximum throughput is
// still used while the difference may be random, because it varies less.
func (c *Control) capacity(window Window) float64 {
	if c.busyTime <= window.Length+window.SlotTime {
		return max(c.completions, window.MaxThroughput)
	}
	if math.Abs(c.completions-window.MaxThroughput) <= 2*math.Sqrt(window.MaxThroughput) {
		return window.MaxThroughput
	}
	return c.completions
}

// lower decreases the threshold by a growing step, as long as the arrivals that it
// admits do not exceed the capacity plus a growing headroom.
func (c *Control) lower(window Window) {
	c.step = min(max(2*c.step, firstStep), lagoonbarrow.Threshold(Priorities))
	c.headroom = min(max(2*c.headroom, firstHeadroom), maxHeadroom)
	if 2*c.idle > c.samples {
		c.step = max(c.step, idleStep)
	}
	if c.threshold == 0 {
		return
	}
	limit := max(c.completions, window.MaxThroughput) * (1 + c.headroom)
	lowest := lowestWithin(&c.arrivals, limit)
	if c.threshold > c.step {
		lowest = max(lowest, c.threshold-c.step)
	}
	c.threshold = min(c.threshold, lowest)
}

// lowestWithin returns the lowest threshold that admits no more calls than the limit.
func lowestWithin(demand *[Priorities]float64, limit float64) lagoonbarrow.Threshold {
	lowest := lagoonbarrow.Threshold(Priorities)
	for lowest > 0 && demand[lowest-1] <= limit {
		limit -= demand[lowest-1]
		lowest--
	}
	return lowest
}
