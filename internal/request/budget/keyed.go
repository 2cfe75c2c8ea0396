package budget

import (
	"container/list"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// requestKey identifies a request over its re-sends. Service and depth tell it
// apart from calls further down the chain that carry the same caller's key.
type requestKey struct {
	customer lagoonbarrow.CustomerID
	key      string
	service  lagoonbarrow.ServiceName
	depth    int
}

// keyedRequest is a request whose caller may re-send it. Ledger.mu guards all
// fields but pool, which has its own lock.
type keyedRequest struct {
	key     requestKey
	request lagoonbarrow.RequestID
	pool    *pool
	running int
	endedAt time.Time
	// element is the entry in Ledger.ended while running is 0.
	element *list.Element
}

// OpenKeyed registers a call under its caller's key. The first call brings the
// tokens. Each re-send costs one of them and its own tokens are ignored; it
// returns ErrExhausted when none is left or when all entries are running.
// A call of the same request id is a retry that its sender has paid for.
//
// The tokens left at Close stay with the key for re-sends and are not returned.
func (l *Ledger) OpenKeyed(call *lagoonbarrow.Call, deadline time.Time) (lagoonbarrow.Account, error) {
	if call.Key == "" {
		return l.Open(call, deadline), nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forgetExpired()
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
	if len(l.keyed) >= l.config.Keyed && !l.forgetOldest() {
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

// endKeyed notes the end of one call of a keyed request. The caller holds l.mu.
func (l *Ledger) endKeyed(entry *keyedRequest) {
	entry.running--
	if entry.running > 0 {
		return
	}
	entry.endedAt = l.config.Clock.Now()
	entry.element = l.ended.PushBack(entry)
	l.forgetExpired()
}

func (l *Ledger) forgetExpired() {
	oldest := l.config.Clock.Now().Add(-l.config.KeepKeyed)
	for front := l.ended.Front(); front != nil; front = l.ended.Front() {
		if front.Value.(*keyedRequest).endedAt.After(oldest) {
			return
		}
		l.forgetOldest()
	}
}

// forgetOldest removes the keyed request that ended longest ago and reports
// whether there was one. A later re-send under that key counts as a new request.
func (l *Ledger) forgetOldest() bool {
	front := l.ended.Front()
	if front == nil {
		return false
	}
	l.ended.Remove(front)
	delete(l.keyed, front.Value.(*keyedRequest).key)
	return true
}
