package timeline

import "lagoonbarrow/pkg/event"

// ring keeps the latest events up to its capacity.
type ring struct {
	kept     []event.Event
	capacity int
	next     int
}

func newRing(capacity int) ring {
	return ring{
		capacity: capacity,
	}
}

func (r *ring) add(occurrence event.Event) {
	if len(r.kept) < r.capacity {
		r.kept = append(r.kept, occurrence)
		return
	}
	r.kept[r.next] = occurrence
	r.next = (r.next + 1) % r.capacity
}

// events returns the kept events, the oldest first.
func (r *ring) events() []event.Event {
	ordered := make([]event.Event, 0, len(r.kept))
	ordered = append(ordered, r.kept[r.next:]...)
	return append(ordered, r.kept[:r.next]...)
}
