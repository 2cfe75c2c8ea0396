package caller

import (
	"sync"
	"time"
)

// avoidDuration is how long other addresses are preferred to one that could not
// be reached. Nodes avoid an instance for the same time after its first failure.
const avoidDuration = time.Second

// entries chooses among the entry addresses round-robin.
type entries struct {
	mu   sync.Mutex
	all  []entry
	next int
	now  func() time.Time
}

type entry struct {
	address string
	// avoidUntil is the time until which other addresses are preferred.
	avoidUntil time.Time
	// notBefore is the end of the wait that the node requested with Retry-After.
	notBefore time.Time
}

func newEntries(addresses []string, now func() time.Time) *entries {
	list := &entries{
		now: now,
	}
	for _, address := range addresses {
		list.all = append(list.all, entry{
			address: address,
		})
	}
	return list
}

// pick returns the next address that is not avoided. If all are avoided, it
// returns the one whose requested wait ends first, and the end of that wait.
func (e *entries) pick() (string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	best := -1
	for offset := range e.all {
		position := (e.next + offset) % len(e.all)
		if !now.Before(e.all[position].avoidUntil) {
			best = position
			break
		}
		if best < 0 || e.all[position].notBefore.Before(e.all[best].notBefore) {
			best = position
		}
	}
	e.next = (best + 1) % len(e.all)
	return e.all[best].address, e.all[best].notBefore
}

// avoid makes pick prefer other addresses for avoidDuration, or for retryAfter if
// that is longer. No request is sent to the address before retryAfter has passed.
func (e *entries) avoid(address string, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for position := range e.all {
		if e.all[position].address != address {
			continue
		}
		e.all[position].avoidUntil = now.Add(max(avoidDuration, retryAfter))
		e.all[position].notBefore = now.Add(retryAfter)
	}
}

// hasAvailable reports whether there is an address that is not avoided.
func (e *entries) hasAvailable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for position := range e.all {
		if !now.Before(e.all[position].avoidUntil) {
			return true
		}
	}
	return false
}
