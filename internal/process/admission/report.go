package admission

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// eventsPerWindow bounds the shed, expired and preempted events of one window,
	// so that overload does not push all other events out of the time line. The
	// counters are complete.
	eventsPerWindow = 16
	// limitChangePart: a limit change is recorded when it exceeds this part of
	// the limit recorded last.
	limitChangePart = 0.2
)

// delayBuckets reach from 1 ms to 16 s.
var delayBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// recorded is what the time line was told last.
type recorded struct {
	events int
	limit  int
}

// metrics are the gate's metrics. The scope's name tells that they belong to admission.
type metrics struct {
	limit       tally.Gauge
	running     tally.Gauge
	threshold   tally.Gauge
	shortQueued tally.Gauge
	longQueued  tally.Gauge
	shortDelay  tally.Histogram
	longDelay   tally.Histogram
	serviceTime tally.Histogram
	admitted    [levels]tally.Counter
	shed        [levels]tally.Counter
	expired     [levels]tally.Counter
	preempted   [levels]tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	made := metrics{
		limit:       scope.Gauge("limit"),
		running:     scope.Gauge("running"),
		threshold:   scope.Gauge("threshold"),
		shortQueued: scope.Gauge("short-queued"),
		longQueued:  scope.Gauge("long-queued"),
		shortDelay:  scope.Histogram("short-queue-delay", delayBuckets),
		longDelay:   scope.Histogram("long-queue-delay", delayBuckets),
		serviceTime: scope.Histogram("service-time", delayBuckets),
	}
	for level, name := range levelNames {
		tagged := scope.Tagged(map[string]string{"importance": name})
		made.admitted[level] = tagged.Counter("admitted")
		made.shed[level] = tagged.Counter("shed")
		made.expired[level] = tagged.Counter("expired")
		made.preempted[level] = tagged.Counter("preempted")
	}
	return made
}

func (m *metrics) queueDelay(l *lane) tally.Histogram {
	if l.long {
		return m.longDelay
	}
	return m.shortDelay
}

// publish updates the gauges and opens the next window's room for events.
func (g *Gate) publish() {
	g.recorded.events = 0
	g.metrics.limit.Update(float64(g.limiter.limit))
	g.metrics.running.Update(float64(g.running))
	g.metrics.threshold.Update(float64(g.short.control.Threshold()))
	g.metrics.shortQueued.Update(float64(g.short.queue.length))
	g.metrics.longQueued.Update(float64(g.long.queue.length))
}

func (g *Gate) recordThreshold(l *lane, before lagoonbarrow.Threshold) {
	after := l.control.Threshold()
	if g.config.Recorder == nil || (before == 0) == (after == 0) {
		return
	}
	kind := event.OverloadBegan
	if after == 0 {
		kind = event.OverloadEnded
	}
	g.config.Recorder.Record(kind, event.Fields{
		Detail: fmt.Sprintf("lane=%s threshold=%d standing-delay=%s", l.name, after, l.control.Standing()),
	})
}

func (g *Gate) recordLimit() {
	limit := g.limiter.limit
	change := limit - g.recorded.limit
	if change == 0 {
		return
	}
	atBound := limit == g.limiter.slots
	if !atBound && float64(max(change, -change)) <= limitChangePart*float64(g.recorded.limit) {
		return
	}
	before := g.recorded.limit
	g.recorded.limit = limit
	if g.config.Recorder == nil {
		return
	}
	g.config.Recorder.Record(event.LimitChanged, event.Fields{
		Detail: fmt.Sprintf("limit=%d before=%d reason=%q", limit, before, g.limiter.reason),
	})
}

func (g *Gate) recordShed(w *waiter, reason string) {
	if !g.mayRecordCall() {
		return
	}
	g.recordCall(event.CallShed, w.work, fmt.Sprintf("lane=%s priority=%d threshold=%d reason=%q",
		w.lane.name, w.work.Priority, w.lane.control.Threshold(), reason))
}

func (g *Gate) recordExpired(w *waiter, waited time.Duration) {
	if !g.mayRecordCall() {
		return
	}
	g.recordCall(event.CallExpired, w.work, fmt.Sprintf("lane=%s waited=%s", w.lane.name, waited))
}

func (g *Gate) recordPreempted(p *permit) {
	if !g.mayRecordCall() {
		return
	}
	g.recordCall(event.CallPreempted, p.work, fmt.Sprintf("lane=%s priority=%d", p.lane.name, p.work.Priority))
}

func (g *Gate) mayRecordCall() bool {
	return g.config.Recorder != nil && g.recorded.events < eventsPerWindow
}

func (g *Gate) recordCall(kind event.Kind, work lagoonbarrow.Work, detail string) {
	g.recorded.events++
	g.config.Recorder.Record(kind, event.Fields{
		Request:  string(work.Request),
		Customer: string(work.Customer),
		Class:    string(work.Class),
		Detail:   detail,
	})
}
