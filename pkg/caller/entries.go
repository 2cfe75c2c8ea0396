package caller

import (
	"sync"
	"time"
)

// avoidTime is how long an address that could not be reached is asked last. It
// is the time for which nodes avoid an instance after a first failure.
const avoidTime = time.Second

// entries chooses among the entry addresses in turn.
type entries struct {
	mu   sync.Mutex
	all  []entry
	next int
	now  func() time.Time
}

type entry struct {
	address string
	// avoid is the time until which other addresses are preferred.
	avoid time.Time
	// hold is the time until which the node asked not to be sent anything.
	hold time.Time
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

// pick returns the next address that is not avoided. If all are, it returns the
// one that may be asked first and the time from which on it may.
func (e *entries) pick() (string, time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	best := -1
	for offset := range e.all {
		position := (e.next + offset) % len(e.all)
		if !now.Before(e.all[position].avoid) {
			best = position
			break
		}
		if best < 0 || e.all[position].hold.Before(e.all[best].hold) {
			best = position
		}
	}
	e.next = (best + 1) % len(e.all)
	return e.all[best].address, e.all[best].hold
}

// avoid prefers other addresses for a while. With a wait that the node named,
// the address is not asked before.
func (e *entries) avoid(address string, retryAfter time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for position := range e.all {
		if e.all[position].address != address {
			continue
		}
		e.all[position].avoid = now.Add(max(avoidTime, retryAfter))
		e.all[position].hold = now.Add(retryAfter)
	}
}

// free reports whether there is an address that is not avoided.
func (e *entries) free() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for position := range e.all {
		if !now.Before(e.all[position].avoid) {
			return true
		}
	}
	return false
}
