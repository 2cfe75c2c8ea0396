package roster

import (
	"fmt"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// eventsPerSecond bounds the events of one kind, because the loss of an
// availability zone would otherwise push all others out of the event ring.
const eventsPerSecond = 20

// limitedEvents records membership events and counts those over the limit.
type limitedEvents struct {
	recorder lagoonbarrow.Recorder
	mutex    sync.Mutex
	kinds    map[int]*eventWindow
}

type eventWindow struct {
	start   time.Time
	count   int
	omitted int
}

func newLimitedEvents(recorder lagoonbarrow.Recorder) *limitedEvents {
	return &limitedEvents{
		recorder: recorder,
		kinds:    map[int]*eventWindow{},
	}
}

func (l *limitedEvents) record(kind event.Kind, fields event.Fields) {
	omitted, pass := l.admit(kind)
	if !pass {
		return
	}
	if omitted > 0 {
		fields.Detail = fmt.Sprintf("%d earlier events of this kind omitted", omitted)
	}
	l.recorder.Record(kind, fields)
}

func (l *limitedEvents) admit(kind event.Kind) (omitted int, pass bool) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	window, found := l.kinds[kind.Number]
	if !found {
		window = &eventWindow{}
		l.kinds[kind.Number] = window
	}
	if now.Sub(window.start) >= time.Second {
		window.start = now
		window.count = 0
	}
	window.count++
	if window.count > eventsPerSecond {
		window.omitted++
		return 0, false
	}
	omitted = window.omitted
	window.omitted = 0
	return omitted, true
}
