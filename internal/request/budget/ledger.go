// Package budget tracks the retry tokens of the calls that the backend server
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

// Open registers a running call with the tokens it arrived with. For Lookup, a second
// call with the same id replaces the first.
func (l *Ledger) Open(call *lagoonbarrow.Call, deadline time.Time) lagoonbarrow.Account {
	opened := newAccount(l, call, deadline, newPool(call.Tokens))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.register(opened)
	return opened
}

// Lookup returns the account of a running call, or ErrNotFound.
func (l *Ledger) Lookup(id lagoonbarrow.CallID) (lagoonbarrow.Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found, known := l.accounts[id]
	if !known {
		return nil, errors.Wrapf(lagoonbarrow.ErrNotFound, "budget: look up call %s", id)
	}
	return found, nil
}

// Len returns the number of running calls that Lookup finds, and the number of
// keyed requests in the ledger.
func (l *Ledger) Len() (accounts, keyed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.accounts), len(l.keyed)
}

// register adds an account for Lookup unless the ledger is full. The caller holds l.mu.
func (l *Ledger) register(opened *account) {
	if len(l.accounts) >= l.config.Accounts {
		l.removeOverdue()
	}
	if len(l.accounts) >= l.config.Accounts {
		return
	}
	l.accounts[opened.call.ID] = opened
}

// removeOverdue removes the accounts past their deadline. Their downstream calls
// could not end in time anyway. The caller holds l.mu.
func (l *Ledger) removeOverdue() {
	now := l.config.Clock.Now()
	for id, entry := range l.accounts {
		if now.After(entry.deadline) {
			delete(l.accounts, id)
		}
	}
}

// unregister removes a closed account from the ledger.
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
