package event

import "sort"

// Sort orders events by their stamps; events with equal stamps are ordered by
// instance, so that every merge gives the same order.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].Stamp == events[j].Stamp {
			return events[i].Instance < events[j].Instance
		}
		return events[i].Stamp.Before(events[j].Stamp)
	})
}
