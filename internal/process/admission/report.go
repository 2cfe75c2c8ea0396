package admission

import (
	"fmt"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// eventsPerWindow limits the shed, expired and preempted events of one window. Without
	// it, overload would displace all other events from the timeline. The counters include
	// every call.
	eventsPerWindow = 16
	// minRecordedChange is the fraction of the last recorded limit that a change must exceed
	// to be recorded.
	minRecordedChange = 0.2
)

// delayBuckets range from 1 ms to 16 s.
var delayBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// eventState holds the number of call events recorded in the current window and the
// last recorded limit.
type eventState struct {
	calls int
	limit int
}

// metrics holds the gate's metrics. The scope adds the prefix for admission.
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
	m := metrics{
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
		m.admitted[level] = tagged.Counter("admitted")
		m.shed[level] = tagged.Counter("shed")
		m.expired[level] = tagged.Counter("expired")
		m.preempted[level] = tagged.Counter("preempted")
	}
	return m
}

func (m *metrics) queueDelay(l *lane) tally.Histogram {
	if l.long {
		return m.longDelay
	}
	return m.shortDelay
}

// reportWindow updates the gauges and resets the count of recorded call events.
func (g *Gate) reportWindow() {
	g.events.calls = 0
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
		Detail: fmt.Sprintf("lane=%s threshold=%d standing-delay=%s", l.name, after, l.control.StandingDelay()),
	})
}

func (g *Gate) recordLimit() {
	limit := g.limiter.limit
	change := limit - g.events.limit
	if change == 0 {
		return
	}
	atBound := limit == g.limiter.slots
	if !atBound && float64(max(change, -change)) <= minRecordedChange*float64(g.events.limit) {
		return
	}
	before := g.events.limit
	g.events.limit = limit
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
	return g.config.Recorder != nil && g.events.calls < eventsPerWindow
}

func (g *Gate) recordCall(kind event.Kind, work lagoonbarrow.Work, detail string) {
	g.events.calls++
	g.config.Recorder.Record(kind, event.Fields{
		Request:  string(work.Request),
		Customer: string(work.Customer),
		Class:    string(work.Class),
		Detail:   detail,
	})
}
