package budget

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
)

type fakeClock struct {
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	return c.now
}

func openAccount(tokens lagoonbarrow.Tokens) lagoonbarrow.Account {
	return New(Config{}).Open(&lagoonbarrow.Call{
		ID:     "c",
		Tokens: tokens,
	}, time.Time{})
}

// Guards against tokens that are created or lost by a sequence of operations.
func TestTokensAreConserved(t *testing.T) {
	account := openAccount(5)
	if got := account.Share(); got != 3 {
		t.Errorf("first share %d of 5", got)
	}
	if got := account.Share(); got != 1 {
		t.Errorf("second share %d of 2", got)
	}
	account.Return(100)
	account.Return(-1)
	if !account.Spend() {
		t.Error("no token to spend")
	}
	if left := account.Close(); left != 4 {
		t.Errorf("%d tokens left of 5 after one was spent", left)
	}
	if account.Close() != 0 || account.Share() != 0 || account.Spend() {
		t.Error("a closed account gave tokens")
	}
	if left := openAccount(-3).Close(); left != 0 {
		t.Errorf("%d tokens left of -3", left)
	}
}

// Guards against repeats that are not charged, distinct calls that cost a token, and
// writes that could run twice.
func TestApplicationRepeats(t *testing.T) {
	const done, notRun, unknown = lagoonbarrow.OutcomeDone, lagoonbarrow.OutcomeNotRun, lagoonbarrow.OutcomeUnknown
	type end struct {
		outcome lagoonbarrow.Outcome
		failed  bool
	}
	cases := []struct {
		name       string
		method     string
		atMostOnce bool
		// first is the end of the first call, or nil while it is running.
		first *end
		// key distinguishes the second call.
		key  string
		cost lagoonbarrow.Tokens
		err  error
	}{
		{
			name:   "read again after success",
			method: "GET",
			first: &end{
				outcome: done,
			},
		},
		{
			name:   "read again while running",
			method: "GET",
			cost:   1,
		},
		{
			name:   "read again after failure",
			method: "GET",
			first: &end{
				outcome: done,
				failed:  true,
			},
			cost: 1,
		},
		{
			name:   "read again, unknown outcome",
			method: "GET",
			first: &end{
				outcome: unknown,
				failed:  true,
			},
			cost: 1,
		},
		{
			name:   "separate read while running",
			method: "GET",
			key:    "2",
		},
		{
			name:   "write again after success",
			method: "POST",
			first: &end{
				outcome: done,
			},
		},
		{
			name:   "write again while running",
			method: "POST",
			err:    lagoonbarrow.ErrOutcomeUnknown,
		},
		{
			name:   "separate write while running",
			method: "POST",
			key:    "2",
		},
		{
			name:   "write again, unknown outcome",
			method: "POST",
			first: &end{
				outcome: unknown,
				failed:  true,
			},
			err: lagoonbarrow.ErrOutcomeUnknown,
		},
		{
			name:   "write again, not run",
			method: "POST",
			first: &end{
				outcome: notRun,
				failed:  true,
			},
			cost: 1,
		},
		{
			name:   "write again after an error response",
			method: "POST",
			first: &end{
				outcome: done,
				failed:  true,
			},
			cost: 1,
		},
		{
			name:       "at-most-once write again, not run",
			method:     "POST",
			atMostOnce: true,
			first: &end{
				outcome: notRun,
				failed:  true,
			},
			cost: 1,
		},
		{
			name:       "at-most-once write again after an error response",
			method:     "POST",
			atMostOnce: true,
			first: &end{
				outcome: done,
				failed:  true,
			},
			err: lagoonbarrow.ErrOutcomeUnknown,
		},
	}
	for _, entry := range cases {
		account := openAccount(2)
		call := &lagoonbarrow.Call{
			Service:    "registry",
			Method:     entry.method,
			Path:       "/resolutions",
			Body:       []byte("a"),
			AtMostOnce: entry.atMostOnce,
		}
		first, err := account.Begin(call)
		if err != nil {
			t.Fatal(err)
		}
		if entry.first != nil {
			first.End(entry.first.outcome, entry.first.failed)
			first.End(done, false)
		}
		if entry.key != "" {
			call.Header = []lagoonbarrow.HeaderField{{
				Name:  "lagoonbarrow-call-key",
				Value: entry.key,
			}}
		}
		_, err = account.Begin(call)
		if !errors.Is(err, entry.err) {
			t.Errorf("%s: %v", entry.name, err)
		}
		if cost := 2 - account.Close(); cost != entry.cost {
			t.Errorf("%s: cost %d", entry.name, cost)
		}
	}
}

// Guards against a call table that exceeds its bound, or that admits undetected
// repeats when it is full.
func TestFullCallTable(t *testing.T) {
	account := New(Config{
		CallsPerAccount: 2,
	}).Open(&lagoonbarrow.Call{
		Tokens: 1,
	}, time.Time{})
	for i, want := range []error{nil, nil, nil, lagoonbarrow.ErrExhausted} {
		started, err := account.Begin(&lagoonbarrow.Call{
			Method: "GET",
			Path:   fmt.Sprint(i),
		})
		if !errors.Is(err, want) {
			t.Errorf("call %d: %v", i, err)
		}
		if err == nil {
			started.End(lagoonbarrow.OutcomeDone, true)
		}
	}
}

// Guards against running calls that can't be found, ended calls that can, and a table
// that exceeds its bound.
func TestLookup(t *testing.T) {
	clock := &fakeClock{}
	ledger := New(Config{
		Accounts: 1,
		Clock:    clock,
	})
	first := ledger.Open(&lagoonbarrow.Call{
		ID: "1",
	}, clock.now.Add(time.Second))
	ledger.Open(&lagoonbarrow.Call{
		ID: "2",
	}, clock.now.Add(time.Second))
	if _, err := ledger.Lookup("2"); !errors.Is(err, lagoonbarrow.ErrNotFound) {
		t.Errorf("call beyond the bound: %v", err)
	}
	if found, err := ledger.Lookup("1"); err != nil || found != first {
		t.Errorf("running call: %v", err)
	}
	clock.now = clock.now.Add(2 * time.Second)
	third := ledger.Open(&lagoonbarrow.Call{
		ID: "3",
	}, clock.now.Add(time.Second))
	if _, err := ledger.Lookup("3"); err != nil {
		t.Errorf("call after an overdue one: %v", err)
	}
	third.Close()
	if _, err := ledger.Lookup("3"); !errors.Is(err, lagoonbarrow.ErrNotFound) {
		t.Errorf("ended call: %v", err)
	}
	if _, err := third.Begin(&lagoonbarrow.Call{}); !errors.Is(err, lagoonbarrow.ErrNotFound) {
		t.Errorf("call of an ended call: %v", err)
	}
}

// Guards against charging a retry that its sender has already paid for, and against
// treating calls further down a chain as re-sends.
func TestKeyedCallsThatAreNotResends(t *testing.T) {
	ledger := New(Config{})
	call := &lagoonbarrow.Call{
		ID:      "1",
		Request: "r",
		Key:     "k",
		Service: "a",
	}
	for _, change := range []func(){
		func() {},
		func() { call.ID = "2" },
		func() { call.ID, call.Request, call.Depth = "3", "other", 2 },
	} {
		change()
		if _, err := ledger.OpenKeyed(call, time.Time{}); err != nil {
			t.Errorf("%+v: %v", call, err)
		}
	}
	call.ID, call.Request = "4", "another"
	if _, err := ledger.OpenKeyed(call, time.Time{}); !errors.Is(err, lagoonbarrow.ErrExhausted) {
		t.Errorf("re-send without tokens: %v", err)
	}
}

// Guards against data races and lost tokens when concurrent calls share an account.
func TestConcurrentAccount(t *testing.T) {
	const tokens = 64
	account := openAccount(tokens)
	var workers sync.WaitGroup
	var mu sync.Mutex
	count := lagoonbarrow.Tokens(0)
	for worker := range 32 {
		workers.Add(1)
		go func() {
			defer workers.Done()
			started, err := account.Begin(&lagoonbarrow.Call{
				Method: "GET",
				Path:   fmt.Sprint(worker),
			})
			if err != nil {
				t.Error(err)
				return
			}
			defer started.End(lagoonbarrow.OutcomeDone, false)
			account.Return(account.Share())
			if account.Spend() {
				mu.Lock()
				count++
				mu.Unlock()
			}
		}()
	}
	workers.Wait()
	if left := account.Close(); left+count != tokens {
		t.Errorf("%d left and %d spent of %d", left, count, tokens)
	}
}
