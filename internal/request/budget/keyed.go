package budget

import (
	"container/list"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// requestKey identifies a request across re-sends. Service and depth distinguish it
// from calls further down the chain that carry the same caller's key.
type requestKey struct {
	customer lagoonbarrow.CustomerID
	key      string
	service  lagoonbarrow.ServiceName
	depth    int
}

// keyedRequest is a request that its caller may re-send. Ledger.mu guards all
// fields except pool, which has its own lock.
type keyedRequest struct {
	key     requestKey
	request lagoonbarrow.RequestID
	pool    *pool
	running int
	endedAt time.Time
	// element is the entry in Ledger.ended while running is 0.
	element *list.Element
}

// OpenKeyed registers a call under its caller's key. The first call supplies the
// tokens. Each re-send costs one of them, and the tokens it carries are ignored.
// A call with the same request id is a retry that its sender has already paid for.
// OpenKeyed returns ErrExhausted when no token is left, or when the ledger is full
// of running requests.
//
// Close does not return the remaining tokens. They stay with the key for re-sends.
func (l *Ledger) OpenKeyed(call *lagoonbarrow.Call, deadline time.Time) (lagoonbarrow.Account, error) {
	if call.Key == "" {
		return l.Open(call, deadline), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeExpired()
	entry, err := l.keyedEntry(call)
	if err != nil {
		return nil, errors.Wrapf(err, "budget: open call %s under its key", call.ID)
	}
	if entry.element != nil {
		l.ended.Remove(entry.element)
		entry.element = nil
	}
	entry.running++
	opened := newAccount(l, call, deadline, entry.pool)
	opened.keyed = entry
	l.register(opened)
	return opened, nil
}

// keyedEntry finds or creates the entry of a call and charges a re-send.
func (l *Ledger) keyedEntry(call *lagoonbarrow.Call) (*keyedRequest, error) {
	key := requestKey{
		customer: call.Customer,
		key:      call.Key,
		service:  call.Service,
		depth:    call.Depth,
	}
	if entry, known := l.keyed[key]; known {
		if entry.request != call.Request && !entry.pool.spend() {
			return nil, lagoonbarrow.ErrExhausted
		}
		return entry, nil
	}
	if len(l.keyed) >= l.config.Keyed && !l.removeOldest() {
		return nil, lagoonbarrow.ErrExhausted
	}
	entry := &keyedRequest{
		key:     key,
		request: call.Request,
		pool:    newPool(call.Tokens),
	}
	l.keyed[key] = entry
	return entry, nil
}

// endKeyed records the end of one call of a keyed request. The caller holds l.mu.
func (l *Ledger) endKeyed(entry *keyedRequest) {
	entry.running--
	if entry.running > 0 {
		return
	}
	entry.endedAt = l.config.Clock.Now()
	entry.element = l.ended.PushBack(entry)
	l.removeExpired()
}

// removeExpired removes the keyed requests that ended longer ago than the retention.
// The caller holds l.mu.
func (l *Ledger) removeExpired() {
	oldest := l.config.Clock.Now().Add(-l.config.KeyedRetention)
	for front := l.ended.Front(); front != nil; front = l.ended.Front() {
		if front.Value.(*keyedRequest).endedAt.After(oldest) {
			return
		}
		l.removeOldest()
	}
}

// removeOldest removes the keyed request that ended longest ago and reports
// whether there was one. A later re-send under that key counts as a new request.
func (l *Ledger) removeOldest() bool {
	front := l.ended.Front()
	if front == nil {
		return false
	}
	l.ended.Remove(front)
	delete(l.keyed, front.Value.(*keyedRequest).key)
	return true
}
