package roster

import (
	"math/bits"
	"slices"
	"sync"
)

// minUpdateBytes and maxUpdateBytes bound the bytes of updates in one message.
// With a probe a second over new connections, minUpdateBytes keeps a node's
// traffic within the default budget: 1,140 + 2 x (100 + 280) = 1,900 bytes. Up to
// maxUpdateBytes are sent while unused budget is left. Such a message still fits
// one TCP segment.
const (
	minUpdateBytes = 280
	maxUpdateBytes = 1100
)

// retransmitMultiplier, multiplied by log2 of the fleet's size, is the number of
// times that one node sends the same update.
const retransmitMultiplier = 3

// updateKey identifies a queued update. Full records are queued apart from
// statuses, so a status that changes soon after a join is not sent as a full
// record again.
type updateKey struct {
	ref reference
	// full selects the whole record instead of its status.
	full bool
}

// queuedUpdate is an update in the queue with the number of times it was sent.
type queuedUpdate struct {
	updateKey
	sendCount int
}

// updateQueue holds the updates that this node still has to send, with the number
// of times each was sent. The least often sent updates go first.
type updateQueue struct {
	mutex   sync.Mutex
	entries map[updateKey]int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{
		entries: map[updateKey]int{},
	}
}

// add queues an update for a member and restarts its count. A full record replaces
// a queued status.
func (q *updateQueue) add(ref reference, full bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if full {
		delete(q.entries, updateKey{
			ref: ref,
		})
	}
	q.entries[updateKey{
		ref:  ref,
		full: full,
	}] = 0
}

func (q *updateQueue) len() int {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.entries)
}

// inSendOrder returns copies of the queued updates, the least often sent first.
func (q *updateQueue) inSendOrder() []queuedUpdate {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	list := make([]queuedUpdate, 0, len(q.entries))
	for key, sent := range q.entries {
		list = append(list, queuedUpdate{
			updateKey: key,
			sendCount: sent,
		})
	}
	// Updates that were sent equally often stay in the map's random order.
	slices.SortFunc(list, func(a, b queuedUpdate) int {
		return a.sendCount - b.sendCount
	})
	return list
}

// markSent counts a transmission and removes updates that reached the limit.
func (q *updateQueue) markSent(keys []updateKey, fleetSize int) {
	limit := retransmitLimit(fleetSize)
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

func (q *updateQueue) remove(ref reference) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	delete(q.entries, updateKey{
		ref: ref,
	})
	delete(q.entries, updateKey{
		ref:  ref,
		full: true,
	})
}

func retransmitLimit(fleetSize int) int {
	return retransmitMultiplier * max(bits.Len(uint(fleetSize)), 1)
}
