package budget

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// account implements lagoonbarrow.Account. Lock order: account, then pool.
type account struct {
	ledger   *Ledger
	call     *lagoonbarrow.Call
	deadline time.Time
	pool     *pool
	// keyed is set when the pool is shared by the re-sends of a request.
	keyed *keyedRequest

	mu     sync.Mutex
	closed bool
	// outstanding are the shared tokens that have not come back. Answers can't
	// return more than this, so a faulty callee never raises the bound.
	outstanding lagoonbarrow.Tokens
	calls       map[fingerprint]*callState
}

var _ lagoonbarrow.Account = (*account)(nil)

func newAccount(ledger *Ledger, call *lagoonbarrow.Call, deadline time.Time, tokens *pool) *account {
	return &account{
		ledger:   ledger,
		call:     call,
		deadline: deadline,
		pool:     tokens,
		calls:    map[fingerprint]*callState{},
	}
}

// Call returns the running call.
func (a *account) Call() *lagoonbarrow.Call {
	return a.call
}

// Deadline returns the running call's deadline.
func (a *account) Deadline() time.Time {
	return a.deadline
}

// Share takes half of the tokens, rounded up; 0 after Close.
func (a *account) Share() lagoonbarrow.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0
	}
	taken := a.pool.share()
	a.outstanding += taken
	return taken
}

// Return gives back shared tokens, at most those outstanding. Tokens that come
// back after Close are lost.
func (a *account) Return(tokens lagoonbarrow.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || tokens <= 0 {
		return
	}
	returned := min(tokens, a.outstanding)
	a.outstanding -= returned
	a.pool.add(returned)
}

// Spend takes one token and reports whether there was one; false after Close.
func (a *account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed && a.pool.spend()
}

// Close ends the account and returns the tokens left. A second Close returns 0,
// as does the Close of a keyed account, whose tokens stay for re-sends.
func (a *account) Close() lagoonbarrow.Tokens {
	left, first := a.end()
	if first {
		a.ledger.unregister(a)
	}
	return left
}

func (a *account) end() (left lagoonbarrow.Tokens, first bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return 0, false
	}
	a.closed = true
	a.calls = nil
	if a.keyed != nil {
		return 0, true
	}
	return a.pool.drain(), true
}

// Begin notes a call by the application. ErrNotFound means that the account is closed.
func (a *account) Begin(call *lagoonbarrow.Call) (lagoonbarrow.Meant, error) {
	sum := newFingerprint(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, errors.Wrapf(lagoonbarrow.ErrNotFound, "budget: begin a call of ended call %s", a.call.ID)
	}
	state, err := a.charge(sum, call)
	if err != nil {
		return nil, errors.Wrapf(err, "budget: begin %s %s%s", call.Method, call.Service, call.Path)
	}
	if state != nil {
		state.running++
	}
	return &meant{
		account: a,
		sum:     sum,
		state:   state,
	}, nil
}

// charge takes a token if the call is a repeat. It returns the state to update,
// or nil for a paid call that is not remembered because the table is full.
func (a *account) charge(sum fingerprint, call *lagoonbarrow.Call) (*callState, error) {
	state, known := a.calls[sum]
	if known {
		if state.mayDouble(call) {
			return nil, lagoonbarrow.ErrOutcomeUnknown
		}
		if !a.pool.spend() {
			return nil, lagoonbarrow.ErrExhausted
		}
		return state, nil
	}
	if len(a.calls) >= a.ledger.config.CallsPerAccount {
		if !call.Safe() || !a.pool.spend() {
			return nil, lagoonbarrow.ErrExhausted
		}
		return nil, nil
	}
	state = &callState{}
	a.calls[sum] = state
	return state, nil
}

// meant implements lagoonbarrow.Meant.
type meant struct {
	account *account
	sum     fingerprint
	state   *callState
	ended   sync.Once
}

// End notes what became of the call; only the first End counts.
func (m *meant) End(outcome lagoonbarrow.Outcome, failed bool) {
	m.ended.Do(func() {
		m.account.endCall(m.sum, m.state, outcome, failed)
	})
}

func (a *account) endCall(sum fingerprint, state *callState, outcome lagoonbarrow.Outcome, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == nil || a.closed {
		return
	}
	state.end(outcome, failed)
	if state.settled() {
		delete(a.calls, sum)
	}
}
