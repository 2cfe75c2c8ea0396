package roster

import (
	"fmt"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// eventsPerSecond limits the events of one kind. Without it the loss of an
// availability zone would push all other events out of the event ring.
const eventsPerSecond = 20

// limitedEvents records membership events and counts those above the limit.
type limitedEvents struct {
	recorder lagoonbarrow.Recorder
	mutex    sync.Mutex
	windows  map[int]*eventWindow
}

type eventWindow struct {
	start   time.Time
	count   int
	omitted int
}

func newLimitedEvents(recorder lagoonbarrow.Recorder) *limitedEvents {
	return &limitedEvents{
		recorder: recorder,
		windows:  map[int]*eventWindow{},
	}
}

func (l *limitedEvents) record(kind event.Kind, fields event.Fields) {
	omitted, allowed := l.admit(kind)
	if !allowed {
		return
	}
	if omitted > 0 {
		fields.Detail = fmt.Sprintf("%d earlier events of this kind omitted", omitted)
	}
	l.recorder.Record(kind, fields)
}

func (l *limitedEvents) admit(kind event.Kind) (omitted int, allowed bool) {
	now := time.Now()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	window, found := l.windows[kind.Number]
	if !found {
		window = &eventWindow{}
		l.windows[kind.Number] = window
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
