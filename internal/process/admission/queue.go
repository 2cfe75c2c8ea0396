package admission

import (
	"math/bits"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/threshold"
)

const (
	priorities    = threshold.Priorities
	bitsPerWord   = 64
	priorityWords = priorities / bitsPerWord
)

// waiter is a call that requests a slot.
type waiter struct {
	work lagoonbarrow.Work
	// rank is the priority in the queue, 0 for all calls in plain mode.
	rank      lagoonbarrow.Priority
	lane      *lane
	op        *operation
	arrivedAt time.Time
	// onDecision receives the decision. It is called exactly once, with the gate
	// locked, and must not block.
	onDecision func(*permit, error)
	// cancel cancels the context of the call.
	cancel func(cause error)

	queued     bool
	prev, next *waiter
}

func (w *waiter) level() lagoonbarrow.Importance {
	return w.work.Priority.Importance()
}

func (w *waiter) critical() bool {
	return w.level() >= lagoonbarrow.ImportanceCritical
}

// queue orders waiters by priority, those of equal priority by arrival. Operations take
// constant time unless they visit every waiter. Gate.enqueue bounds its length.
type queue struct {
	first, last [priorities]*waiter
	// occupied is a bitmap of the priorities that have waiters.
	occupied [priorityWords]uint64
	length   int
	byLevel  [levels]int
}

func (q *queue) push(w *waiter) {
	priority := w.rank
	w.queued = true
	w.prev = q.last[priority]
	if w.prev == nil {
		q.first[priority] = w
	} else {
		w.prev.next = w
	}
	q.last[priority] = w
	q.occupied[priority/bitsPerWord] |= 1 << (priority % bitsPerWord)
	q.length++
	q.byLevel[w.level()]++
}

func (q *queue) remove(w *waiter) {
	priority := w.rank
	if w.prev == nil {
		q.first[priority] = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		q.last[priority] = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev = nil
	w.next = nil
	w.queued = false
	if q.first[priority] == nil {
		q.occupied[priority/bitsPerWord] &^= 1 << (priority % bitsPerWord)
	}
	q.length--
	q.byLevel[w.level()]--
}

// head returns the waiter that is served first, or nil.
func (q *queue) head() *waiter {
	for word := priorityWords - 1; word >= 0; word-- {
		if q.occupied[word] != 0 {
			return q.first[word*bitsPerWord+bits.Len64(q.occupied[word])-1]
		}
	}
	return nil
}

// tail returns the waiter that is served last, or nil.
func (q *queue) tail() *waiter {
	for word, occupied := range q.occupied {
		if occupied != 0 {
			return q.last[word*bitsPerWord+bits.TrailingZeros64(occupied)]
		}
	}
	return nil
}

// each visits the waiters in the order in which they are served. visit may remove
// the waiter passed to it.
func (q *queue) each(visit func(*waiter)) {
	for word := priorityWords - 1; word >= 0; word-- {
		for remaining := q.occupied[word]; remaining != 0; {
			bit := bits.Len64(remaining) - 1
			remaining &^= 1 << bit
			q.eachAtPriority(word*bitsPerWord+bit, visit)
		}
	}
}

func (q *queue) eachAtPriority(priority int, visit func(*waiter)) {
	for w := q.first[priority]; w != nil; {
		next := w.next
		visit(w)
		w = next
	}
}

// oldestArrival returns the arrival time of the longest waiting call.
func (q *queue) oldestArrival() time.Time {
	var oldest time.Time
	q.each(func(w *waiter) {
		if oldest.IsZero() || w.arrivedAt.Before(oldest) {
			oldest = w.arrivedAt
		}
	})
	return oldest
}

// nonCritical returns the number of waiters below the critical level.
func (q *queue) nonCritical() int {
	return q.length - q.byLevel[lagoonbarrow.ImportanceCritical]
}

// addCounts adds the number of waiters of each priority to counts.
func (q *queue) addCounts(counts *[priorities]float64) {
	q.each(func(w *waiter) {
		counts[w.rank]++
	})
}
