package timeline

import (
	"testing"
	"time"

	"lagoonbarrow/pkg/event"
)

// Guards against an answer that is ordered before the call it answers because
// the callee's wall clock is behind.
func TestObserveOrdersAcrossSkewedClocks(t *testing.T) {
	now := time.Now()
	caller := NewClock(func() time.Time { return now })
	callee := NewClock(func() time.Time { return now.Add(-time.Second) })
	sent := caller.Now()
	callee.Observe(sent)
	received := callee.Now()
	if !sent.Before(received) {
		t.Fatalf("received %v is not after sent %v", received, sent)
	}
}

// Guards against one machine's wrong clock spreading to all others.
func TestObserveIgnoresStampsFarAhead(t *testing.T) {
	now := time.Now()
	clock := NewClock(func() time.Time { return now })
	clock.Observe(event.Stamp{
		Wall: now.Add(time.Hour).UnixNano(),
	})
	if clock.Now().Wall != now.UnixNano() {
		t.Fatal("the clock followed a stamp an hour ahead")
	}
}

// Guards against request events that evict the beginning of an overload.
func TestRequestEventsDoNotEvictProcessEvents(t *testing.T) {
	timeline := New(Config{
		Instance:      "a-1",
		Clock:         NewClock(time.Now),
		EventsPerRing: 4,
	})
	timeline.Record(event.OverloadBegan, event.Fields{})
	for range 100 {
		timeline.Record(event.CallRun, event.Fields{
			Request: "r",
		})
	}
	events := timeline.Events(Filter{})
	if len(events) != 5 || events[0].Name != event.OverloadBegan.Name {
		t.Fatalf("got %d events beginning with %s", len(events), events[0].Name)
	}
}
