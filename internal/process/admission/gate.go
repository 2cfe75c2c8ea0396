// Package admission decides which calls the backend server beside a node runs:
// a concurrency limit, bounded priority queues for short and long work, and a
// threshold on priorities that follows the queueing delay.
package admission

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// queueFactor bounds a lane's queue to this many times its limit.
	queueFactor = 4
	// samplesPerWindow is the number of control steps in a window. A step
	// samples the queues, drops expired calls and preempts for critical work.
	samplesPerWindow = 10
	// pauseWindows is the number of windows without a control step after which the
	// process was paused. What was counted then says nothing of the load.
	pauseWindows = 10
	// reserveMemory is how long critical work keeps its reserve after the last critical call.
	// Without critical work the reserve would idle a tenth of the slots.
	reserveMemory = 10 * time.Second
	// leastReservedLimit is the least limit with a reserve. One reserved slot of two
	// would refuse other work at 60 % load; there critical work relies on preemption.
	leastReservedLimit = 5
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
	// runningBy counts the calls that hold a slot by importance, preempted ones included.
	runningBy [levels]int
	// preempted lists the preempted calls that still hold a slot, in the order of their
	// preemption.
	preempted    permitList
	sequence     uint64
	operations   operations
	lastCritical time.Time
	// lastLower is the last time at which work below the critical level got a slot.
	lastLower   time.Time
	windowStart time.Time
	counts      counts
	recorded    recorded

	stop    chan struct{}
	stopper sync.Once
	done    sync.WaitGroup
}

var _ lagoonbarrow.Admission = (*Gate)(nil)

// New returns a gate; it returns ErrInvalid for a bad Config.
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
		lastCritical: now.Add(-reserveMemory),
		windowStart:  now,
		stop:         make(chan struct{}),
	}, nil
}

// Start begins the periodic control, which runs until Stop.
func (g *Gate) Start() {
	g.done.Add(1)
	go g.run()
}

// Stop ends the periodic control and refuses all queued and further calls with
// ErrShed. Running calls keep their slots until they are released.
func (g *Gate) Stop() {
	g.stopper.Do(func() {
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

// decision is what became of a waiter.
type decision struct {
	permit *permit
	err    error
}

// Admit waits for a slot. It returns ErrShed when the threshold or a full queue
// refuses the call, and ErrDeadline when the deadline can't be met or ctx ends first.
// In both cases the call was not run.
func (g *Gate) Admit(ctx context.Context, work lagoonbarrow.Work) (lagoonbarrow.Permit, error) {
	if ctx.Err() != nil {
		return nil, errors.Wrapf(lagoonbarrow.ErrDeadline, "admission: admit %s", work.Operation)
	}
	held, cancel := context.WithCancelCause(ctx)
	decided := make(chan decision, 1)
	w := &waiter{
		work:   work,
		cancel: cancel,
		settle: func(granted *permit, err error) {
			decided <- decision{
				permit: granted,
				err:    err,
			}
		},
	}
	g.arrive(w)
	made := g.await(ctx, w, decided)
	if made.err != nil {
		cancel(made.err)
		return nil, errors.Wrapf(made.err, "admission: admit %s", work.Operation)
	}
	made.permit.ctx = held
	return made.permit, nil
}

func (g *Gate) await(ctx context.Context, w *waiter, decided <-chan decision) decision {
	select {
	case made := <-decided:
		return made
	default:
	}
	select {
	case made := <-decided:
		return made
	case <-ctx.Done():
	}
	if g.abandon(w) {
		return decision{
			err: lagoonbarrow.ErrDeadline,
		}
	}
	return <-decided
}

// abandon takes a waiter out of its queue and reports whether it was still there.
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

// Offer asks for a slot without waiting for the decision. decide takes it exactly
// once, with the errors of Admit. preempt is called when more important work takes the
// slot. Both are called with the gate locked and must not call it. Simulations
// use Offer and Step where processes use Admit and Start.
func (g *Gate) Offer(work lagoonbarrow.Work, decide func(lagoonbarrow.Permit, error), preempt func(lagoonbarrow.Permit)) {
	var held *permit
	g.arrive(&waiter{
		work: work,
		settle: func(granted *permit, err error) {
			if err != nil {
				decide(nil, err)
				return
			}
			held = granted
			held.ctx = context.Background()
			decide(granted, nil)
		},
		cancel: func(cause error) {
			if errors.Is(cause, lagoonbarrow.ErrPreempted) {
				preempt(held)
			}
		},
	})
}

// arrive decides on a call or queues it.
func (g *Gate) arrive(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.config.Clock.Now()
	w.since = now
	w.op = g.operations.get(w.work.Operation)
	w.lane = g.laneOf(w)
	if !g.config.Plain {
		w.rank = w.work.Priority
	}
	w.lane.control.Arrived(w.rank)
	if w.critical() {
		g.lastCritical = now
	}
	if reason := g.refusal(w, now); reason != "" {
		g.shed(w, reason)
		return
	}
	if g.overdue(w, now, 0) {
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

// refusal returns why a call is refused at once, or an empty string.
func (g *Gate) refusal(w *waiter, now time.Time) string {
	if g.stopped {
		return "stopping"
	}
	if g.config.Plain {
		return ""
	}
	threshold := g.threshold(w.lane)
	if threshold.Admits(w.work.Priority) || g.findsIdleSlot(w, threshold, now) {
		return ""
	}
	return "threshold"
}

// findsIdleSlot reports whether a call below the threshold finds a slot that
// nobody waits for. Refusing it would only waste the slot and what the call has cost upstream.
// While critical work is shed, only critical work gets such slots.
func (g *Gate) findsIdleSlot(w *waiter, threshold lagoonbarrow.Threshold, now time.Time) bool {
	if threshold > lagoonbarrow.CriticalThreshold && !w.critical() {
		return false
	}
	return w.lane.queue.length == 0 && g.mayRun(w, now)
}

// laneOf chooses the lane by the class's declaration and by measurement.
func (g *Gate) laneOf(w *waiter) *lane {
	if g.config.Plain {
		return &g.short
	}
	if w.work.Long || w.op.long {
		return &g.long
	}
	return &g.short
}

// overdue reports whether a call can't end before its deadline when it runs now for
// the given time.
func (g *Gate) overdue(w *waiter, now time.Time, expected time.Duration) bool {
	if w.work.Deadline.IsZero() {
		return false
	}
	return !now.Add(expected).Before(w.work.Deadline)
}

// overdueQueued judges a queued call by its operation's expected time. Calls that
// find a free slot are not judged by it, so there are always new measurements.
func (g *Gate) overdueQueued(w *waiter, now time.Time) bool {
	if g.config.Plain {
		return g.overdue(w, now, 0)
	}
	return g.overdue(w, now, w.op.expected(now))
}

// reserve is the number of slots that only critical work may use.
func (g *Gate) reserve(now time.Time) int {
	if g.config.Plain || now.Sub(g.lastCritical) >= reserveMemory {
		return 0
	}
	if g.limiter.limit < leastReservedLimit {
		return 0
	}
	return max(1, int(g.config.CriticalReserve*float64(g.limiter.limit)))
}

// laneLimit is the highest number of calls that a lane may run. Short work may
// use all slots, long work its share and at least one slot.
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
	critical := g.runningBy[lagoonbarrow.ImportanceCritical]
	return g.running-critical < g.limiter.limit-g.reserve(now)
}

// mayExceedShare reports whether a call may use more than the share of long
// work: critical work, while some of it waits longer than the target delay or fills a
// queue. It must not be refused while less important short work is admitted.
func (g *Gate) mayExceedShare(w *waiter) bool {
	crowded := w.lane.queue.length >= queueFactor*g.laneLimit(w.lane)
	return w.critical() && (crowded || w.lane.criticalLate)
}

// enqueue queues a call. When the queue is full, the call that would be served last
// makes room if it is less important; otherwise enqueue reports false. Critical long work may
// fill a queue of the short lane's length.
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
		g.lastLower = now
	}
	g.running++
	g.runningBy[level]++
	w.lane.running++
	w.lane.runningBy[level].push(granted)
	g.limiter.peak = max(g.limiter.peak, g.running)
	g.counts.admitted[level]++
	g.metrics.admitted[level].Inc(1)
	g.metrics.queueDelay(w.lane).RecordDuration(now.Sub(w.since))
	w.settle(granted, nil)
}

// dispatch gives free slots to queued calls.
func (g *Gate) dispatch(now time.Time) {
	for {
		w := g.next(now)
		if w == nil {
			return
		}
		w.lane.queue.remove(w)
		if g.overdueQueued(w, now) {
			g.expire(w)
			continue
		}
		g.grant(w, now)
	}
}

// next returns the queued call that gets the next free slot, or nil. The more
// important of the lanes' heads comes first; at the same level, the lane that
// uses less of its share.
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

// release frees a permit's slot and reports whether the permit held one.
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
	g.runningBy[level]--
	p.lane.running--
	p.lane.control.Freed()
	if p.preempted {
		g.preempted.remove(p)
	} else {
		p.lane.runningBy[level].remove(p)
	}
	if served && !p.preempted {
		g.observe(p, now)
	}
	g.dispatch(now)
	return true
}

// observe takes the measurements of a call that gave an answer.
func (g *Gate) observe(p *permit, now time.Time) {
	held, own := p.times(now)
	g.limiter.served++
	if p.lane.long || !p.op.long {
		p.lane.observeHold(held)
	}
	p.op.observe(now, held, g.operations.shortMedian)
	if p.op.settled(now) {
		p.op.latency.add(now, own)
	}
	g.metrics.serviceTime.RecordDuration(held)
}

// threshold is the lowest priority that a lane admits. Between two windows, work
// below the critical level may have come to the other lane; then no critical call is refused.
func (g *Gate) threshold(l *lane) lagoonbarrow.Threshold {
	if l.control.Threshold() > lagoonbarrow.CriticalThreshold && g.lowerBusy(g.config.Clock.Now()) {
		return lagoonbarrow.CriticalThreshold
	}
	return l.control.Threshold()
}

// lowerBusy reports whether work below the critical level is running or queued,
// or was admitted in the last window.
func (g *Gate) lowerBusy(now time.Time) bool {
	if now.Sub(g.lastLower) < g.config.Window {
		return true
	}
	lower := g.running - g.runningBy[lagoonbarrow.ImportanceCritical]
	return lower+g.short.queue.lower()+g.long.queue.lower() > 0
}

// Threshold returns the lowest priority that the short lane admits.
func (g *Gate) Threshold() lagoonbarrow.Threshold {
	return g.ThresholdOf(false)
}

// ThresholdOf returns the lowest priority that the lane of long or short work admits.
func (g *Gate) ThresholdOf(long bool) lagoonbarrow.Threshold {
	g.mu.Lock()
	defer g.mu.Unlock()
	if long {
		return g.threshold(&g.long)
	}
	return g.threshold(&g.short)
}

// Load returns the gate's limit, running and queued calls.
func (g *Gate) Load() lagoonbarrow.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lagoonbarrow.Load{
		Limit:   g.limiter.limit,
		Running: g.running,
		Queued:  g.short.queue.length + g.long.queue.length,
	}
}
