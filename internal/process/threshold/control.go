// Package threshold decides below which priority work is refused, by the delay of
// those that queue for slots.
package threshold

import (
	"math"
	"time"

	"lagoonbarrow"
)

// Priorities is the number of priorities.
const Priorities = 256

const (
	// arrivalsWeight smooths arrivals and completions over about two windows,
	// so that the threshold follows a change of load within a few windows.
	arrivalsWeight = 0.5
	// firstStep is the first fall of the threshold after a rise: 1/32 of a level,
	// which keeps the overshoot small while overload lasts. The step doubles in
	// every further window without overload, so that a fall from 192 to 0 takes 8 windows.
	firstStep = 2
	// idleStep replaces firstStep when slots were idle, which shows that the threshold is too high.
	idleStep = 32
	// firstHeadroom is the part of the capacity that may be admitted in excess in
	// the first fall after a rise. It doubles like the step, so that an
	// underestimated capacity can't keep the threshold up.
	firstHeadroom = 0.05
	// mostHeadroom ends the doubling, far above any load.
	mostHeadroom = 1e6
	// blindStep is the rise while no call has ended yet, so that the capacity is unknown.
	blindStep = 16
	// highestThreshold still admits the most important priority.
	highestThreshold = lagoonbarrow.Threshold(Priorities - 1)
)

// Control moves a threshold with the standing queueing delay:
// the least age of the longest waiting call over the window. Unlike the mean, it
// is zero for a burst that the lane worked off within the window.
type Control struct {
	threshold lagoonbarrow.Threshold
	step      lagoonbarrow.Threshold
	headroom  float64

	// arrived and freed count the present window.
	arrived [Priorities]uint32
	freed   int
	// standing is the least sample of the present window; sampled tells whether there is one.
	standing time.Duration
	sampled  bool
	// idle counts the samples with an idle slot and no queue.
	idle    int
	samples int

	// arrivals and frees are smoothed counts per window.
	arrivals   [Priorities]float64
	frees      float64
	freesKnown bool
	// busy is the time for which no sample found an idle slot.
	busy time.Duration
	// lastStanding is the standing delay of the last window.
	lastStanding time.Duration
}

// New returns a control that begins with a threshold.
func New(first lagoonbarrow.Threshold) Control {
	return Control{
		threshold: first,
	}
}

// Threshold returns the lowest priority to admit.
func (c *Control) Threshold() lagoonbarrow.Threshold {
	return c.threshold
}

// Standing returns the standing queueing delay of the last window.
func (c *Control) Standing() time.Duration {
	return c.lastStanding
}

// Arrived notes a call that asks for a slot, admitted or not.
func (c *Control) Arrived(priority lagoonbarrow.Priority) {
	c.arrived[priority]++
}

// Freed notes a call that has given its slot back.
func (c *Control) Freed() {
	c.freed++
}

// Sample notes the age of the longest waiting call, 0 for an empty queue.
func (c *Control) Sample(age time.Duration, idle bool) {
	if !c.sampled || age < c.standing {
		c.standing = age
	}
	c.sampled = true
	c.samples++
	if idle {
		c.idle++
	}
}

// Window is what a window's end depends on.
type Window struct {
	// Length is the regular length.
	Length time.Duration
	// Elapsed is how long the window has been.
	Elapsed time.Duration
	// Target is the standing delay that is allowed.
	Target time.Duration
	// AddQueued adds the number of queued calls of each priority.
	AddQueued func(counts *[Priorities]float64)
	// Potential is the number of calls per window that full use of the slots would end.
	Potential float64
	// Hold is the mean time that a call holds a slot.
	Hold time.Duration
	// LowerBusy is set while work below the critical level is running or queued.
	LowerBusy bool
}

// Close ends a window and moves the threshold.
func (c *Control) Close(end Window) {
	c.smooth(float64(end.Length) / float64(end.Elapsed))
	c.lastStanding = c.standing
	c.busy += end.Length
	if c.idle > 0 {
		c.busy = 0
	}
	if c.sampled && c.standing > end.Target {
		c.rise(end)
	} else {
		c.fall(end)
	}
	if end.LowerBusy {
		c.threshold = min(c.threshold, lagoonbarrow.CriticalThreshold)
	}
	c.Forget()
}

// Forget discards the counts of the present window.
func (c *Control) Forget() {
	c.arrived = [Priorities]uint32{}
	c.freed = 0
	c.standing = 0
	c.sampled = false
	c.samples = 0
	c.idle = 0
}

func (c *Control) smooth(scale float64) {
	for priority, count := range c.arrived {
		c.arrivals[priority] += arrivalsWeight * (float64(count)*scale - c.arrivals[priority])
	}
	freed := float64(c.freed) * scale
	if !c.freesKnown {
		c.freesKnown = freed > 0
		c.frees = freed
		return
	}
	c.frees += arrivalsWeight * (freed - c.frees)
}

// rise sets the lowest threshold whose arrivals and queued calls are expected to
// be worked off in the next window, but for a queue of the target delay.
func (c *Control) rise(end Window) {
	c.step = 0
	c.headroom = 0
	if !c.freesKnown {
		c.threshold = min(c.threshold+blindStep, highestThreshold)
		return
	}
	demand := c.arrivals
	end.AddQueued(&demand)
	room := c.capacity(end) * (1 + float64(end.Target)/float64(end.Length))
	wanted := lowestWithin(&demand, room)
	c.threshold = min(max(wanted, c.threshold+1), highestThreshold)
}

// capacity estimates the calls that end in a window. Slots that have been busy
// for longer than a call takes end as many as they did; before, that number is
// too low, because many of the calls have only begun. The potential is used
// as long as the difference may be chance, because it varies less.
func (c *Control) capacity(end Window) float64 {
	if c.busy <= end.Length+end.Hold {
		return max(c.frees, end.Potential)
	}
	if math.Abs(c.frees-end.Potential) <= 2*math.Sqrt(end.Potential) {
		return end.Potential
	}
	return c.frees
}

// fall lowers the threshold by a growing step, as far as the arrivals that are
// seen do not exceed the capacity and a growing headroom.
func (c *Control) fall(end Window) {
	c.step = min(max(2*c.step, firstStep), lagoonbarrow.Threshold(Priorities))
	c.headroom = min(max(2*c.headroom, firstHeadroom), mostHeadroom)
	if 2*c.idle > c.samples {
		c.step = max(c.step, idleStep)
	}
	if c.threshold == 0 {
		return
	}
	room := max(c.frees, end.Potential) * (1 + c.headroom)
	wanted := lowestWithin(&c.arrivals, room)
	if c.threshold > c.step {
		wanted = max(wanted, c.threshold-c.step)
	}
	c.threshold = min(c.threshold, wanted)
}

// lowestWithin returns the lowest threshold that admits no more than room calls.
func lowestWithin(demand *[Priorities]float64, room float64) lagoonbarrow.Threshold {
	lowest := lagoonbarrow.Threshold(Priorities)
	for lowest > 0 && demand[lowest-1] <= room {
		room -= demand[lowest-1]
		lowest--
	}
	return lowest
}
