package admission

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

// Step makes one control step and, at the end of a window, moves the threshold
// and the limit. Start makes ten steps in each window.
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
		l.control.Sample(now.Sub(l.queue.oldest()), false)
		return
	}
	idle := g.running < g.limiter.limit && l.running < g.laneLimit(l)
	l.control.Sample(0, idle)
}

// expireQueued drops the queued calls that can't meet their deadline any more.
func (g *Gate) expireQueued(now time.Time) {
	for _, l := range []*lane{&g.short, &g.long} {
		l.queue.each(func(w *waiter) {
			if g.overdueQueued(w, now) {
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
		g.short.control.Forget()
		g.long.control.Forget()
		return
	}
	g.operations.close()
	g.limiter.close(now, &g.operations, g.running)
	for _, l := range []*lane{&g.short, &g.long} {
		before := l.control.Threshold()
		l.control.Close(threshold.Window{
			Length:    g.config.Window,
			Elapsed:   elapsed,
			Target:    g.targetDelay(l),
			AddQueued: l.queue.countsFrom,
			Potential: g.potential(l),
			Hold:      l.hold,
			LowerBusy: g.lowerBusy(now),
		})
		g.shedBelow(l)
		g.recordThreshold(l, before)
	}
	g.recordLimit()
	g.publish()
}

// coldStartDelay is the factor by which the standing delay may be longer during
// a cold start, in which the queue is worked off by the growing limit.
const coldStartDelay = 5

// targetDelay is the standing delay that a lane's threshold allows. Where a slot
// of the lane is freed less often than four times in TargetQueueDelay, a delay of four
// such intervals is allowed: without calls in the queue, freed slots would idle.
func (g *Gate) targetDelay(l *lane) time.Duration {
	interval := l.hold / time.Duration(g.laneLimit(l))
	target := max(g.config.TargetQueueDelay, 4*interval)
	if !g.limiter.warm {
		return coldStartDelay * target
	}
	return target
}

// potential is the number of calls that a lane would end in a window with all
// the slots that it may use now.
func (g *Gate) potential(l *lane) float64 {
	if l.hold <= 0 {
		return 0
	}
	slots := g.laneLimit(l)
	if !l.long {
		slots = max(1, slots-g.long.running)
	}
	return float64(slots) * float64(g.config.Window) / float64(l.hold)
}

// shedBelow refuses the queued calls below the lane's threshold. They were not
// run, and their callers hear of it before their deadline.
func (g *Gate) shedBelow(l *lane) {
	for {
		last := l.queue.tail()
		if last == nil || l.control.Threshold().Admits(last.rank) {
			return
		}
		l.queue.remove(last)
		g.shed(last, "threshold rose")
	}
}

// preemptForCritical cancels running calls for the critical calls that have
// waited or would wait longer than the target delay: the newest deferrable call first, and the
// newest normal call for critical calls that have waited that long already.
func (g *Gate) preemptForCritical(now time.Time) {
	if g.config.Plain {
		return
	}
	pending := g.pendingPreemptions(now)
	g.preemptForLane(&g.long, now, &pending)
	g.preemptForLane(&g.short, now, &pending)
}

// pendingPreemptions counts the preempted calls that are expected to free their slot. A
// call that still holds it after the target delay does not end on cancellation, so that it
// no longer keeps another one from being preempted.
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
		waited := now.Sub(w.since)
		ahead := time.Duration(position) * l.nextFree()
		if waited+ahead <= g.config.TargetQueueDelay {
			return
		}
		highest := lagoonbarrow.ImportanceDeferrable
		if waited > g.config.TargetQueueDelay {
			l.criticalLate = true
			highest = lagoonbarrow.ImportanceNormal
		}
		if *pending > 0 {
			*pending--
			return
		}
		g.preempt(g.victim(w, highest), now)
	})
}

// victim chooses the running call whose slot a critical call could take: one of its own
// lane if it may not exceed the lane's limit, otherwise one of either lane.
func (g *Gate) victim(w *waiter, highest lagoonbarrow.Importance) *permit {
	l := w.lane
	own := l.newestBelow(highest)
	if l.running >= g.laneLimit(l) && l.long && !g.mayExceedShare(w) {
		return own
	}
	other := &g.short
	if !l.long {
		other = &g.long
	}
	foreign := other.newestBelow(highest)
	if own == nil {
		return foreign
	}
	if foreign == nil {
		return own
	}
	ownLevel := own.work.Priority.Importance()
	foreignLevel := foreign.work.Priority.Importance()
	if foreignLevel < ownLevel || (foreignLevel == ownLevel && foreign.sequence > own.sequence) {
		return foreign
	}
	return own
}

// preempt cancels a running call, which keeps its slot until it is released.
func (g *Gate) preempt(p *permit, now time.Time) {
	if p == nil {
		return
	}
	level := p.work.Priority.Importance()
	p.lane.runningBy[level].remove(p)
	p.preempted = true
	p.preemptedAt = now
	g.preempted.push(p)
	g.counts.preempted[level]++
	g.metrics.preempted[level].Inc(1)
	g.recordPreempted(p)
	p.cancel(lagoonbarrow.ErrPreempted)
}

// shed refuses a call, which is taken out of its queue if it is queued.
func (g *Gate) shed(w *waiter, reason string) {
	if w.queued {
		w.lane.queue.remove(w)
	}
	g.counts.shed[w.level()]++
	g.metrics.shed[w.level()].Inc(1)
	g.recordShed(w, reason)
	w.settle(nil, lagoonbarrow.ErrShed)
}

// expire refuses a call that can't meet its deadline.
func (g *Gate) expire(w *waiter) {
	g.counts.expired[w.level()]++
	g.metrics.expired[w.level()].Inc(1)
	g.recordExpired(w, g.config.Clock.Now().Sub(w.since))
	w.settle(nil, lagoonbarrow.ErrDeadline)
}

// counts count calls by importance since the start.
type counts struct {
	admitted  [levels]uint64
	shed      [levels]uint64
	expired   [levels]uint64
	preempted [levels]uint64
}

// Status describes the gate.
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
		QueueDelay: l.control.Standing(),
	}
}
