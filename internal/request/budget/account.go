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
	// keyed is set when re-sends of the request share the pool.
	keyed *keyedRequest

	mu     sync.Mutex
	closed bool
	// outstanding counts the shared tokens that have not been returned. Return
	// accepts no more than this, so a faulty callee can't raise the bound.
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

// Share takes half of the tokens, rounded up. It returns 0 after Close.
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

// Return adds shared tokens back to the pool, at most those outstanding. Tokens
// returned after Close are lost.
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

// Spend takes one token and reports whether one was left. It returns false after Close.
func (a *account) Spend() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.closed && a.pool.spend()
}

// Close ends the account and returns the tokens left. A second Close returns 0,
// as does the Close of a keyed account, whose tokens stay for re-sends.
func (a *account) Close() lagoonbarrow.Tokens {
	left, wasOpen := a.markClosed()
	if wasOpen {
		a.ledger.unregister(a)
	}
	return left
}

// markClosed closes the account and reports whether it was open.
func (a *account) markClosed() (left lagoonbarrow.Tokens, wasOpen bool) {
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

// Begin registers a downstream call by the application. It returns ErrNotFound
// when the account is closed.
func (a *account) Begin(call *lagoonbarrow.Call) (lagoonbarrow.DownstreamCall, error) {
	key := newFingerprint(call)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil, errors.Wrapf(lagoonbarrow.ErrNotFound, "budget: begin a call of ended call %s", a.call.ID)
	}
	state, err := a.charge(key, call)
	if err != nil {
		return nil, errors.Wrapf(err, "budget: begin %s %s%s", call.Method, call.Service, call.Path)
	}
	if state != nil {
		state.running++
	}
	return &downstreamCall{
		account: a,
		key:     key,
		state:   state,
	}, nil
}

// charge takes a token if the call is a repeat. It returns the state to update.
// If the table is full, it charges a safe call a token and returns no state.
func (a *account) charge(key fingerprint, call *lagoonbarrow.Call) (*callState, error) {
	state, known := a.calls[key]
	if known {
		if state.mayRunTwice(call) {
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
	a.calls[key] = state
	return state, nil
}

// downstreamCall implements lagoonbarrow.DownstreamCall.
type downstreamCall struct {
	account *account
	key     fingerprint
	state   *callState
	ended   sync.Once
}

// End records the outcome of the call. Only the first End has an effect.
func (d *downstreamCall) End(outcome lagoonbarrow.Outcome, failed bool) {
	d.ended.Do(func() {
		d.account.endCall(d.key, d.state, outcome, failed)
	})
}

func (a *account) endCall(key fingerprint, state *callState, outcome lagoonbarrow.Outcome, failed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == nil || a.closed {
		return
	}
	state.end(outcome, failed)
	if state.settled() {
		delete(a.calls, key)
	}
}
