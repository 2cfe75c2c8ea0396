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

// waiter is a call that asks for a slot.
type waiter struct {
	work lagoonbarrow.Work
	// rank orders the queue: the priority, or 0 for all in plain mode.
	rank  lagoonbarrow.Priority
	lane  *lane
	op    *operation
	since time.Time
	// settle takes the decision, exactly once. It is called with the gate
	// locked and must not block.
	settle func(*permit, error)
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

// queue orders waiters by priority and, within one, by arrival. All operations
// but each take constant time. It has no bound of its own; Gate bounds it at arrival.
type queue struct {
	first, last [priorities]*waiter
	// occupied has one bit for each priority with waiters.
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

// each visits the waiters in the order in which they are served. visit may
// remove the waiter it is given.
func (q *queue) each(visit func(*waiter)) {
	for word := priorityWords - 1; word >= 0; word-- {
		for left := q.occupied[word]; left != 0; {
			bit := bits.Len64(left) - 1
			left &^= 1 << bit
			q.eachOf(word*bitsPerWord+bit, visit)
		}
	}
}

func (q *queue) eachOf(priority int, visit func(*waiter)) {
	for w := q.first[priority]; w != nil; {
		next := w.next
		visit(w)
		w = next
	}
}

// oldest returns the time at which the longest waiting call arrived.
func (q *queue) oldest() time.Time {
	var oldest time.Time
	q.each(func(w *waiter) {
		if oldest.IsZero() || w.since.Before(oldest) {
			oldest = w.since
		}
	})
	return oldest
}

// lower counts the waiters below the critical level.
func (q *queue) lower() int {
	return q.length - q.byLevel[lagoonbarrow.ImportanceCritical]
}

// countsFrom adds the waiters of each priority to counts.
func (q *queue) countsFrom(counts *[priorities]float64) {
	q.each(func(w *waiter) {
		counts[w.rank]++
	})
}
