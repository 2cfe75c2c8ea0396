package peer

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// eventsPerSecond bounds the rate of events about connections. Anyone who can
	// reach the port can cause them, and they must not displace other events from
	// the ring buffer of the timeline.
	eventsPerSecond = 10
	// eventBurst is the size of the token bucket.
	eventBurst = 50
)

// rateLimitedRecorder records events about connections and drops those over the rate.
type rateLimitedRecorder struct {
	recorder lagoonbarrow.Recorder
	dropped  tally.Counter

	mutex      sync.Mutex
	tokens     float64
	lastRefill time.Time
}

func newRateLimitedRecorder(recorder lagoonbarrow.Recorder, scope tally.Scope) *rateLimitedRecorder {
	return &rateLimitedRecorder{
		recorder:   recorder,
		dropped:    scope.Counter("events-dropped"),
		tokens:     eventBurst,
		lastRefill: time.Now(),
	}
}

// record records an event about a connection, or counts it as dropped.
func (l *rateLimitedRecorder) record(kind event.Kind, c *connection, err error) {
	if l.recorder == nil {
		return
	}
	if !l.allow(time.Now()) {
		l.dropped.Inc(1)
		return
	}
	peer := string(c.peer)
	if peer == "" {
		peer = c.netConn.RemoteAddr().String()
	}
	fields := event.Fields{
		Peer:   peer,
		Detail: err.Error(),
	}
	l.recorder.Record(kind, fields)
}

// allow takes a token from the bucket and reports whether there was one.
func (l *rateLimitedRecorder) allow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tokens = min(eventBurst, l.tokens+eventsPerSecond*now.Sub(l.lastRefill).Seconds())
	l.lastRefill = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
