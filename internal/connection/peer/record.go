package peer

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// eventsPerSecond bounds the events about connections. Anyone who reaches the
	// port can cause them, and the time line's ring must not lose others over it.
	eventsPerSecond = 10
	// eventBurst is how many events may come at once.
	eventBurst = 50
)

// limitedRecorder records events about connections at a bounded rate.
type limitedRecorder struct {
	recorder lagoonbarrow.Recorder
	dropped  tally.Counter

	mutex  sync.Mutex
	tokens float64
	filled time.Time
}

func newLimitedRecorder(recorder lagoonbarrow.Recorder, scope tally.Scope) *limitedRecorder {
	return &limitedRecorder{
		recorder: recorder,
		dropped:  scope.Counter("events-dropped"),
		tokens:   eventBurst,
		filled:   time.Now(),
	}
}

// record notes an event about a connection.
func (l *limitedRecorder) record(kind event.Kind, c *connection, err error) {
	if l.recorder == nil {
		return
	}
	if !l.allow(time.Now()) {
		l.dropped.Inc(1)
		return
	}
	peer := string(c.peer)
	if peer == "" {
		peer = c.raw.RemoteAddr().String()
	}
	fields := event.Fields{
		Peer:   peer,
		Detail: err.Error(),
	}
	l.recorder.Record(kind, fields)
}

func (l *limitedRecorder) allow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.tokens = min(eventBurst, l.tokens+eventsPerSecond*now.Sub(l.filled).Seconds())
	l.filled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
