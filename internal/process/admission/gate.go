// Package admission decides which calls the backend server beside a node runs:
// a concurrency limit, bounded priority queues for short and long work, and a
// minimum priority (the threshold) that rises with the queueing delay.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// queueFactor is the maximum length of a lane's queue as a multiple of its limit.
	queueFactor = 4
	// samplesPerWindow is the number of control steps in a window. A step
	// samples the queues, refuses expired calls and preempts for critical work.
	samplesPerWindow = 10
	// pauseWindows is the number of windows without a control step that counts as a
	// pause of the process. The counts of such a window don't reflect the load.
	pauseWindows = 10
	// reserveTTL is how long slots stay reserved after the last critical call.
	// Without critical work, a reserve would leave a tenth of the slots idle.
	reserveTTL = 10 * time.Second
	// minReservedLimit is the lowest limit with a reserve. With two slots, one of them
	// reserved, other work would be refused at 60 % load. Below this limit critical work
	// relies on preemption.
	minReservedLimit = 5
)

// Gate implements lagoonbarrow.Admission. It is safe for concurrent use.
type Gate struct {
	config  Config
	metrics metrics

	mu      sync.Mutex
	stopped bool
	limiter limiter
	short   lane
	long    lane
	running int
	// runningByLevel counts the calls that hold a slot, by importance. It includes preempted calls.
	runningByLevel [levels]int
	// preempted lists the preempted calls that still hold a slot, in order of preemption.
	preempted    permitList
	sequence     uint64
	operations   operations
	lastCritical time.Time
	// lastNonCritical is the last time at which work below the critical level was granted a slot.
	lastNonCritical time.Time
	windowStart     time.Time
	counts          counts
	events          eventState

	stop     chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup
}

var _ lagoonbarrow.Admission = (*Gate)(nil)

// New returns a gate. It returns ErrInvalid for an invalid Config.
func New(config Config) (*Gate, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	now := config.Clock.Now()
	return &Gate{
		config:  config,
		metrics: newMetrics(config.Scope),
		limiter: newLimiter(config.Slots, config.Plain),
		short: lane{
			name: "short",
		},
		long: lane{
			name: "long",
			long: true,
		},
		operations:   newOperations(),
		lastCritical: now.Add(-reserveTTL),
		windowStart:  now,
		stop:         make(chan struct{}),
	}, nil
}

// Start begins the periodic control steps, which run until Stop.
func (g *Gate) Start() {
	g.done.Add(1)
	go g.run()
}

// Stop ends the periodic control steps and refuses all queued and later calls with
// ErrShed. Running calls keep their slots until they are released.
func (g *Gate) Stop() {
	g.stopOnce.Do(func() {
		close(g.stop)
	})
	g.done.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	for _, l := range []*lane{&g.short, &g.long} {
		l.queue.each(func(w *waiter) {
			g.shed(w, "stopping")
		})
	}
}

func (g *Gate) run() {
	defer g.done.Done()
	ticker := time.NewTicker(g.config.Window / samplesPerWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.Step()
		case <-g.stop:
			return
		}
	}
}

// decision is the result of a request for a slot: a permit or an error.
type decision struct {
	permit *permit
	err    error
}

// Admit waits for a slot. It returns ErrShed when the call is below the threshold, its
// queue is full or the gate is stopped, and ErrDeadline when the call can't meet its
// deadline or ctx ends first. In both cases the call was not run.
func (g *Gate) Admit(ctx context.Context, work lagoonbarrow.Work) (lagoonbarrow.Permit, error) {
	if ctx.Err() != nil {
		return nil, errors.Wrapf(lagoonbarrow.ErrDeadline, "admission: admit %s", work.Operation)
	}
	callCtx, cancel := context.WithCancelCause(ctx)
	decisions := make(chan decision, 1)
	w := &waiter{
		work:   work,
		cancel: cancel,
		onDecision: func(granted *permit, err error) {
			decisions <- decision{
				permit: granted,
				err:    err,
			}
		},
	}
	g.submit(w)
	decided := g.await(ctx, w, decisions)
	if decided.err != nil {
		cancel(decided.err)
		return nil, errors.Wrapf(decided.err, "admission: admit %s", work.Operation)
	}
	decided.permit.ctx = callCtx
	return decided.permit, nil
}

func (g *Gate) await(ctx context.Context, w *waiter, decisions <-chan decision) decision {
	select {
	case decided := <-decisions:
		return decided
	default:
	}
	select {
	case decided := <-decisions:
		return decided
	case <-ctx.Done():
	}
	if g.abandon(w) {
		return decision{
			err: lagoonbarrow.ErrDeadline,
		}
	}
	return <-decisions
}

// abandon removes a waiter from its queue and reports whether it was still queued.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !w.queued {
		return false
	}
	w.lane.queue.remove(w)
	g.counts.expired[w.level()]++
	g.metrics.expired[w.level()].Inc(1)
	return true
}

// Offer requests a slot without waiting for the decision. onDecision is called exactly
// once, with the errors of Admit. onPreempt is called when more important work takes the
// slot. Both run with the gate locked and must not call it. Simulations use Offer and
// Step where processes use Admit and Start.
func (g *Gate) Offer(work lagoonbarrow.Work, onDecision func(lagoonbarrow.Permit, error), onPreempt func(lagoonbarrow.Permit)) {
	var running *permit
	g.submit(&waiter{
		work: work,
		onDecision: func(granted *permit, err error) {
			if err != nil {
				onDecision(nil, err)
				return
			}
			running = granted
			running.ctx = context.Background()
			onDecision(granted, nil)
		},
		cancel: func(cause error) {
			if errors.Is(cause, lagoonbarrow.ErrPreempted) {
				onPreempt(running)
			}
		},
	})
}

// submit admits, refuses or queues a call.
func (g *Gate) submit(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	w.arrivedAt = now
	w.op = g.operations.get(w.work.Operation)
	w.lane = g.laneFor(w)
	if !g.config.Plain {
		w.rank = w.work.Priority
	}
	w.lane.control.RecordArrival(w.rank)
	if w.critical() {
		g.lastCritical = now
	}
	if reason := g.refusalReason(w, now); reason != "" {
		g.shed(w, reason)
		return
	}
	if g.missesDeadline(w, now, 0) {
		g.expire(w)
		return
	}
	if g.mayRun(w, now) {
		g.grant(w, now)
		return
	}
	if !g.enqueue(w) {
		g.shed(w, "queue full")
		return
	}
	if w.critical() {
		g.preemptForCritical(now)
	}
}

// refusalReason returns why a call is refused on arrival, or an empty string.
func (g *Gate) refusalReason(w *waiter, now time.Time) string {
	if g.stopped {
		return "stopping"
	}
	if g.config.Plain {
		return ""
	}
	threshold := g.threshold(w.lane)
	if threshold.Admits(w.work.Priority) || g.hasIdleSlot(w, threshold, now) {
		return ""
	}
	return "threshold"
}

// hasIdleSlot reports whether a call below the threshold can use a free slot for which no
// call of its lane is queued. Refusing it would waste the slot and the work already done
// upstream. While critical work is shed, only critical work may use such slots.
func (g *Gate) hasIdleSlot(w *waiter, threshold lagoonbarrow.Threshold, now time.Time) bool {
	if threshold > lagoonbarrow.CriticalThreshold && !w.critical() {
		return false
	}
	return w.lane.queue.length == 0 && g.mayRun(w, now)
}

// laneFor returns the long lane for calls that are declared or measured as long.
func (g *Gate) laneFor(w *waiter) *lane {
	if g.config.Plain {
		return &g.short
	}
	if w.work.Long || w.op.long {
		return &g.long
	}
	return &g.short
}

// missesDeadline reports whether a call that starts now and runs for the expected time
// can't end before its deadline.
func (g *Gate) missesDeadline(w *waiter, now time.Time, expected time.Duration) bool {
	if w.work.Deadline.IsZero() {
		return false
	}
	return !now.Add(expected).Before(w.work.Deadline)
}

// queuedMissesDeadline applies missesDeadline with the operation's expected time. Only
// queued calls are checked against it: calls that find a free slot run, and they keep
// the measurements up to date.
func (g *Gate) queuedMissesDeadline(w *waiter, now time.Time) bool {
	if g.config.Plain {
		return g.missesDeadline(w, now, 0)
	}
	return g.missesDeadline(w, now, w.op.expected(now))
}

// reservedSlots returns the number of slots that only critical work may use.
func (g *Gate) reservedSlots(now time.Time) int {
	if g.config.Plain || now.Sub(g.lastCritical) >= reserveTTL {
		return 0
	}
	if g.limiter.limit < minReservedLimit {
		return 0
	}
	return max(1, int(g.config.CriticalReserve*float64(g.limiter.limit)))
}

// laneLimit returns the highest number of calls that a lane may run. Short work may
// use all slots, long work its share but at least one slot.
func (g *Gate) laneLimit(l *lane) int {
	if !l.long {
		return g.limiter.limit
	}
	return max(1, int(g.config.LongShare*float64(g.limiter.limit)))
}

func (g *Gate) mayRun(w *waiter, now time.Time) bool {
	if g.running >= g.limiter.limit {
		return false
	}
	if w.lane.running >= g.laneLimit(w.lane) && !g.mayExceedShare(w) {
		return false
	}
	if w.critical() {
		return true
	}
	critical := g.runningByLevel[lagoonbarrow.ImportanceCritical]
	return g.running-critical < g.limiter.limit-g.reservedSlots(now)
}

// mayExceedShare reports whether a call may exceed the share of long work. Critical calls
// may while the lane's queue is full or one of them waits longer than the target delay,
// because no critical call may be refused while less important short work is admitted.
func (g *Gate) mayExceedShare(w *waiter) bool {
	queueFull := w.lane.queue.length >= queueFactor*g.laneLimit(w.lane)
	return w.critical() && (queueFull || w.lane.criticalLate)
}

// enqueue queues a call. If the queue is full, it sheds the call that would be served last,
// or returns false if that call has at least the same priority. For critical long work the
// bound is that of the short lane.
func (g *Gate) enqueue(w *waiter) bool {
	queue := &w.lane.queue
	bound := queueFactor * g.laneLimit(w.lane)
	if w.critical() {
		bound = queueFactor * g.limiter.limit
	}
	if queue.length >= bound {
		last := queue.tail()
		if last.rank >= w.rank {
			return false
		}
		queue.remove(last)
		g.shed(last, "more important work took its place in the queue")
	}
	queue.push(w)
	return true
}

// grant gives a call a slot.
func (g *Gate) grant(w *waiter, now time.Time) {
	g.sequence++
	granted := &permit{
		gate:     g,
		work:     w.work,
		lane:     w.lane,
		op:       w.op,
		start:    now,
		sequence: g.sequence,
		cancel:   w.cancel,
	}
	level := w.level()
	if !w.critical() {
		g.lastNonCritical = now
	}
	g.running++
	g.runningByLevel[level]++
	w.lane.running++
	w.lane.runningByLevel[level].push(granted)
	g.limiter.peakRunning = max(g.limiter.peakRunning, g.running)
	g.counts.admitted[level]++
	g.metrics.admitted[level].Inc(1)
	g.metrics.queueDelay(w.lane).RecordDuration(now.Sub(w.arrivedAt))
	w.onDecision(granted, nil)
}

// dispatch gives free slots to queued calls.
func (g *Gate) dispatch(now time.Time) {
	for {
		w := g.next(now)
		if w == nil {
			return
		}
		w.lane.queue.remove(w)
		if g.queuedMissesDeadline(w, now) {
			g.expire(w)
			continue
		}
		g.grant(w, now)
	}
}

// next returns the queued call that gets the next free slot, or nil. It prefers the more
// important of the lanes' heads and, at the same level, the lane that uses less of its share.
func (g *Gate) next(now time.Time) *waiter {
	short := g.runnableHead(&g.short, now)
	long := g.runnableHead(&g.long, now)
	if short == nil {
		return long
	}
	if long == nil {
		return short
	}
	if short.level() != long.level() {
		if short.level() > long.level() {
			return short
		}
		return long
	}
	longLimit := g.laneLimit(&g.long)
	shortLimit := max(1, g.limiter.limit-longLimit)
	if g.long.running*shortLimit < g.short.running*longLimit {
		return long
	}
	return short
}

func (g *Gate) runnableHead(l *lane, now time.Time) *waiter {
	head := l.queue.head()
	if head == nil || !g.mayRun(head, now) {
		return nil
	}
	return head
}

// release frees a permit's slot. It returns false if the slot was already freed.
func (g *Gate) release(p *permit, served bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.released {
		return false
	}
	p.released = true
	now := g.config.Clock.Now()
	level := p.work.Priority.Importance()
	g.running--
	g.runningByLevel[level]--
	p.lane.running--
	p.lane.control.RecordRelease()
	if p.preempted {
		g.preempted.remove(p)
	} else {
		p.lane.runningByLevel[level].remove(p)
	}
	if served && !p.preempted {
		g.observe(p, now)
	}
	g.dispatch(now)
	return true
}

// observe records the measurements of a call that returned an answer.
func (g *Gate) observe(p *permit, now time.Time) {
	slotTime, serverTime := p.durations(now)
	g.limiter.served++
	if p.lane.long || !p.op.long {
		p.lane.observeSlotTime(slotTime)
	}
	p.op.observe(now, slotTime, g.operations.shortMedian)
	if p.op.latencyComparable(now) {
		p.op.latency.add(now, serverTime)
	}
	g.metrics.serviceTime.RecordDuration(slotTime)
}

// threshold returns the lowest priority that a lane admits. The lane's threshold changes only
// at the end of a window. If less important work has arrived in either lane since then,
// the threshold is capped at the critical level, because no critical call may be refused.
func (g *Gate) threshold(l *lane) lagoonbarrow.Threshold {
	if l.control.Threshold() > lagoonbarrow.CriticalThreshold && g.hasNonCriticalWork(g.config.Clock.Now()) {
		return lagoonbarrow.CriticalThreshold
	}
	return l.control.Threshold()
}

// hasNonCriticalWork reports whether work below the critical level is running or queued,
// or was granted a slot within the last window length.
func (g *Gate) hasNonCriticalWork(now time.Time) bool {
	if now.Sub(g.lastNonCritical) < g.config.Window {
		return true
	}
	nonCritical := g.running - g.runningByLevel[lagoonbarrow.ImportanceCritical]
	return nonCritical+g.short.queue.nonCritical()+g.long.queue.nonCritical() > 0
}

// Threshold returns the lowest priority that the short lane admits.
func (g *Gate) Threshold() lagoonbarrow.Threshold {
	return g.LaneThreshold(false)
}

// LaneThreshold returns the lowest priority that the lane of long or short work admits.
func (g *Gate) LaneThreshold(long bool) lagoonbarrow.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	if long {
		return g.threshold(&g.long)
	}
	return g.threshold(&g.short)
}

// Load returns the limit and the numbers of running and queued calls.
func (g *Gate) Load() lagoonbarrow.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lagoonbarrow.Load{
		Limit:   g.limiter.limit,
		Running: g.running,
		Queued:  g.short.queue.length + g.long.queue.length,
	}
}
