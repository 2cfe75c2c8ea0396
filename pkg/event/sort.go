package event

import "sort"

// Sort orders events by stamp, and by instance where stamps are equal. Every
// merge of the same events therefore returns the same order.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].Stamp == events[j].Stamp {
			return events[i].Instance < events[j].Instance
		}
		return events[i].Stamp.Before(events[j].Stamp)
	})
}
