package timeline

import "lagoonbarrow/pkg/event"

// ring keeps the latest events up to its capacity.
type ring struct {
	buffer   []event.Event
	capacity int
	next     int
}

func newRing(capacity int) ring {
	return ring{
		capacity: capacity,
	}
}

func (r *ring) add(occurrence event.Event) {
	if len(r.buffer) < r.capacity {
		r.buffer = append(r.buffer, occurrence)
		return
	}
	r.buffer[r.next] = occurrence
	r.next = (r.next + 1) % r.capacity
}

// events returns the kept events, the oldest first.
func (r *ring) events() []event.Event {
	ordered := make([]event.Event, 0, len(r.buffer))
	ordered = append(ordered, r.buffer[r.next:]...)
	return append(ordered, r.buffer[:r.next]...)
}
