// Package budget keeps the retry tokens of the calls that the backend server
// beside a node is running.
package budget

import (
	"container/list"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Ledger implements lagoonbarrow.Ledger. It is safe for concurrent use.
type Ledger struct {
	config Config

	mu       sync.Mutex
	accounts map[lagoonbarrow.CallID]*account
	keyed    map[requestKey]*keyedRequest
	// ended lists the keyed requests without a running call, the earliest end first.
	ended *list.List
}

var _ lagoonbarrow.Ledger = (*Ledger)(nil)

// New returns an empty ledger.
func New(config Config) *Ledger {
	return &Ledger{
		config:   config.withDefaults(),
		accounts: map[lagoonbarrow.CallID]*account{},
		keyed:    map[requestKey]*keyedRequest{},
		ended:    list.New(),
	}
}

// Open registers a running call with the tokens it arrived with. A second call with the
// same id replaces the first one for Lookup.
func (l *Ledger) Open(call *lagoonbarrow.Call, deadline time.Time) lagoonbarrow.Account {
	opened := newAccount(l, call, deadline, newPool(call.Tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.register(opened)
	return opened
}

// Lookup returns ErrNotFound when no such call is running.
func (l *Ledger) Lookup(id lagoonbarrow.CallID) (lagoonbarrow.Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, known := l.accounts[id]
	if !known {
		return nil, errors.Wrapf(lagoonbarrow.ErrNotFound, "budget: look up call %s", id)
	}
	return found, nil
}

// Len returns the number of running calls that Lookup finds and of keyed
// requests that are remembered.
func (l *Ledger) Len() (accounts, keyed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts), len(l.keyed)
}

// register makes an account known to Lookup. The caller holds l.mu.
func (l *Ledger) register(opened *account) {
	if len(l.accounts) >= l.config.Accounts {
		l.removeOverdue()
	}
	if len(l.accounts) >= l.config.Accounts {
		return
	}
	l.accounts[opened.call.ID] = opened
}

// removeOverdue forgets accounts past their deadline; their calls no longer
// make downstream calls that could end in time.
func (l *Ledger) removeOverdue() {
	now := l.config.Clock.Now()
	for id, entry := range l.accounts {
		if now.After(entry.deadline) {
			delete(l.accounts, id)
		}
	}
}

// unregister ends an account's entries.
func (l *Ledger) unregister(closed *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accounts[closed.call.ID] == closed {
		delete(l.accounts, closed.call.ID)
	}
	if closed.keyed != nil {
		l.endKeyed(closed.keyed)
	}
}
