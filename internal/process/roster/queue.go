package roster

import (
	"math/bits"
	"slices"
	"sync"
)

// The number of bytes of news in one message. With a probe a second over new
// connections, minNewsBytes keeps a node's traffic within the default budget:
// 1,140 + 2 x (100 + 280) = 1,900 bytes. Up to maxNewsBytes are sent while
// unused budget is left; such a message still fits one TCP segment.
const (
	minNewsBytes = 280
	maxNewsBytes = 1100
)

// retransmissions multiplies log2 of the fleet's size to give the number of
// times that one node sends the same news.
const retransmissions = 3

// newsKey names queued news. Full records wait apart from statuses, so that a
// status that changes soon after a join is not sent as a full record again.
type newsKey struct {
	ref reference
	// full asks for the whole record instead of its status.
	full bool
}

// queued is news that waits to be sent.
type queued struct {
	newsKey
	sent int
}

// queue holds the news of this node. News that was sent least goes first.
type queue struct {
	mutex   sync.Mutex
	entries map[newsKey]int
}

func newQueue() *queue {
	return &queue{
		entries: map[newsKey]int{},
	}
}

// add queues news of a member, replacing older news of it. A full record makes
// a waiting status superfluous.
func (q *queue) add(ref reference, full bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if full {
		delete(q.entries, newsKey{
			ref: ref,
		})
	}
	q.entries[newsKey{
		ref:  ref,
		full: full,
	}] = 0
}

func (q *queue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.entries)
}

// pick returns copies of the waiting entries in sending order.
func (q *queue) pick() []queued {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	list := make([]queued, 0, len(q.entries))
	for key, sent := range q.entries {
		list = append(list, queued{
			newsKey: key,
			sent:    sent,
		})
	}
	// The map's random order decides between entries that were sent equally often.
	slices.SortFunc(list, func(a, b queued) int {
		return a.sent - b.sent
	})
	return list
}

// sent counts a transmission and drops news that was sent often enough.
func (q *queue) sent(keys []newsKey, fleet int) {
	limit := sendLimit(fleet)
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for _, key := range keys {
		count, found := q.entries[key]
		if !found {
			continue
		}
		q.entries[key] = count + 1
		if count+1 >= limit {
			delete(q.entries, key)
		}
	}
}

func (q *queue) drop(ref reference) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.entries, newsKey{
		ref: ref,
	})
	delete(q.entries, newsKey{
		ref:  ref,
		full: true,
	})
}

func sendLimit(fleet int) int {
	return retransmissions * max(bits.Len(uint(fleet)), 1)
}
