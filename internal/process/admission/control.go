package admission

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

// Step runs one control step and, at the end of a window, updates the thresholds
// and the limit. Start runs ten steps per window.
func (g *Gate) Step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	g.expireQueued(now)
	if g.config.Plain {
		g.dispatch(now)
		return
	}
	g.preemptForCritical(now)
	g.sample(&g.short, now)
	g.sample(&g.long, now)
	if now.Sub(g.windowStart) >= g.config.Window {
		g.closeWindow(now)
	}
	g.dispatch(now)
}

func (g *Gate) sample(l *lane, now time.Time) {
	if l.queue.length > 0 {
		l.control.Sample(now.Sub(l.queue.oldestArrival()), false)
		return
	}
	idle := g.running < g.limiter.limit && l.running < g.laneLimit(l)
	l.control.Sample(0, idle)
}

// expireQueued refuses the queued calls that can no longer meet their deadline.
func (g *Gate) expireQueued(now time.Time) {
	for _, l := range []*lane{&g.short, &g.long} {
		l.queue.each(func(w *waiter) {
			if g.queuedMissesDeadline(w, now) {
				l.queue.remove(w)
				g.expire(w)
			}
		})
	}
}

func (g *Gate) closeWindow(now time.Time) {
	elapsed := now.Sub(g.windowStart)
	g.windowStart = now
	if elapsed > pauseWindows*g.config.Window {
		g.short.control.ResetWindow()
		g.long.control.ResetWindow()
		return
	}
	g.operations.closeWindow()
	g.limiter.closeWindow(now, &g.operations, g.running)
	for _, l := range []*lane{&g.short, &g.long} {
		before := l.control.Threshold()
		l.control.Close(threshold.Window{
			Length:          g.config.Window,
			Elapsed:         elapsed,
			Target:          g.targetDelay(l),
			AddQueued:       l.queue.addCounts,
			MaxThroughput:   g.maxThroughput(l),
			SlotTime:        l.slotTime,
			NonCriticalWork: g.hasNonCriticalWork(now),
		})
		g.shedBelowThreshold(l)
		g.recordThreshold(l, before)
	}
	g.recordLimit()
	g.reportWindow()
}

// coldStartDelayFactor multiplies the allowed standing delay during a cold start,
// because the growing limit then drains the queue.
const coldStartDelayFactor = 5

// targetDelay returns the standing delay above which a lane's threshold rises. If the lane
// frees fewer than four slots per TargetQueueDelay, it is the time in which four slots are
// freed. With a shorter queue, freed slots would stay idle.
func (g *Gate) targetDelay(l *lane) time.Duration {
	interval := l.slotTime / time.Duration(g.laneLimit(l))
	target := max(g.config.TargetQueueDelay, 4*interval)
	if !g.limiter.warm {
		return coldStartDelayFactor * target
	}
	return target
}

// maxThroughput returns the number of calls per window that a lane can complete if it
// uses all slots available to it now.
func (g *Gate) maxThroughput(l *lane) float64 {
	if l.slotTime <= 0 {
		return 0
	}
	slots := g.laneLimit(l)
	if !l.long {
		slots = max(1, slots-g.long.running)
	}
	return float64(slots) * float64(g.config.Window) / float64(l.slotTime)
}

// shedBelowThreshold refuses the queued calls below the lane's threshold. They were not
// run, and their callers are notified before the deadline.
func (g *Gate) shedBelowThreshold(l *lane) {
	for {
		last := l.queue.tail()
		if last == nil || l.control.Threshold().Admits(last.rank) {
			return
		}
		l.queue.remove(last)
		g.shed(last, "threshold rose")
	}
}

// preemptForCritical cancels less important running calls for the critical calls that have
// waited or are expected to wait longer than the target delay. It cancels the newest
// deferrable call first. The newest normal call is cancelled only for a critical call that
// has already waited that long.
func (g *Gate) preemptForCritical(now time.Time) {
	if g.config.Plain {
		return
	}
	pending := g.pendingPreemptions(now)
	g.preemptForLane(&g.long, now, &pending)
	g.preemptForLane(&g.short, now, &pending)
}

// pendingPreemptions counts the preempted calls that are expected to free their slot soon.
// Calls that still hold it after the target delay ignore the cancellation. They are not
// counted, and another call may be preempted.
func (g *Gate) pendingPreemptions(now time.Time) int {
	pending := 0
	for p := g.preempted.last; p != nil; p = p.prev {
		if now.Sub(p.preemptedAt) > g.config.TargetQueueDelay {
			break
		}
		pending++
	}
	return pending
}

func (g *Gate) preemptForLane(l *lane, now time.Time, pending *int) {
	l.criticalLate = false
	if l.queue.byLevel[lagoonbarrow.ImportanceCritical] == 0 {
		return
	}
	position := 0
	l.queue.each(func(w *waiter) {
		if !w.critical() {
			return
		}
		position++
		waited := now.Sub(w.arrivedAt)
		expectedWait := time.Duration(position) * l.timeToFreeSlot()
		if waited+expectedWait <= g.config.TargetQueueDelay {
			return
		}
		maxLevel := lagoonbarrow.ImportanceDeferrable
		if waited > g.config.TargetQueueDelay {
			l.criticalLate = true
			maxLevel = lagoonbarrow.ImportanceNormal
		}
		if *pending > 0 {
			*pending--
			return
		}
		g.preempt(g.callToPreempt(w, maxLevel), now)
	})
}

// callToPreempt returns the running call to cancel for a critical call, or nil. The call is
// from the same lane if the critical call may not exceed the lane's limit, otherwise from
// either lane.
func (g *Gate) callToPreempt(w *waiter, maxLevel lagoonbarrow.Importance) *permit {
	l := w.lane
	candidate := l.preemptionCandidate(maxLevel)
	if l.running >= g.laneLimit(l) && l.long && !g.mayExceedShare(w) {
		return candidate
	}
	otherLane := &g.short
	if !l.long {
		otherLane = &g.long
	}
	otherCandidate := otherLane.preemptionCandidate(maxLevel)
	if candidate == nil {
		return otherCandidate
	}
	if otherCandidate == nil {
		return candidate
	}
	level := candidate.work.Priority.Importance()
	otherLevel := otherCandidate.work.Priority.Importance()
	if otherLevel < level || (otherLevel == level && otherCandidate.sequence > candidate.sequence) {
		return otherCandidate
	}
	return candidate
}

// preempt cancels a running call, which keeps its slot until it is released.
func (g *Gate) preempt(p *permit, now time.Time) {
	if p == nil {
		return
	}
	level := p.work.Priority.Importance()
	p.lane.runningByLevel[level].remove(p)
	p.preempted = true
	p.preemptedAt = now
	g.preempted.push(p)
	g.counts.preempted[level]++
	g.metrics.preempted[level].Inc(1)
	g.recordPreempted(p)
	p.cancel(lagoonbarrow.ErrPreempted)
}

// shed refuses a call and removes it from its queue if it is queued.
func (g *Gate) shed(w *waiter, reason string) {
	if w.queued {
		w.lane.queue.remove(w)
	}
	g.counts.shed[w.level()]++
	g.metrics.shed[w.level()].Inc(1)
	g.recordShed(w, reason)
	w.onDecision(nil, lagoonbarrow.ErrShed)
}

// expire refuses a call that can't meet its deadline.
func (g *Gate) expire(w *waiter) {
	g.counts.expired[w.level()]++
	g.metrics.expired[w.level()].Inc(1)
	g.recordExpired(w, g.config.Clock.Now().Sub(w.arrivedAt))
	w.onDecision(nil, lagoonbarrow.ErrDeadline)
}

// counts holds the numbers of calls by importance since the start.
type counts struct {
	admitted  [levels]uint64
	shed      [levels]uint64
	expired   [levels]uint64
	preempted [levels]uint64
}

// Status returns the gate's current state.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{
		Slots:          g.config.Slots,
		Limit:          g.limiter.limit,
		LimitReason:    g.limiter.reason,
		Running:        g.running,
		Short:          g.laneStatus(&g.short),
		Long:           g.laneStatus(&g.long),
		LongOperations: g.operations.longNames(),
		Threshold:      g.threshold(&g.short),
		Admitted:       countsByName(g.counts.admitted),
		Shed:           countsByName(g.counts.shed),
		Expired:        countsByName(g.counts.expired),
		Preempted:      countsByName(g.counts.preempted),
	}
}

func (g *Gate) laneStatus(l *lane) LaneStatus {
	return LaneStatus{
		Limit:      g.laneLimit(l),
		Running:    l.running,
		Queued:     l.queue.length,
		Threshold:  g.threshold(l),
		QueueDelay: l.control.StandingDelay(),
	}
}
