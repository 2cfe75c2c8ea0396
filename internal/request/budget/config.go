package budget

import "time"

// Defaults of Config.
const (
	// DefaultAccounts is far above the calls that one backend server runs at once.
	DefaultAccounts = 16384
	// DefaultKeyed is the number of keyed requests of about two minutes at 128 requests/s.
	DefaultKeyed = 16384
	// DefaultKeepKeyed covers a caller's re-sends with delays of some seconds.
	DefaultKeepKeyed = 60 * time.Second
	// DefaultCallsPerAccount bounds the application's calls that are remembered for one running call.
	DefaultCallsPerAccount = 1024
)

// Clock tells the time; tests replace it.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Config configures a Ledger. Zero values select the defaults.
type Config struct {
	// Accounts bounds the running calls that Lookup finds. When full, accounts
	// past their deadline make room; without any, a new account works but is not
	// found by Lookup, so its downstream calls are refused.
	Accounts int
	// Keyed bounds the keyed requests that are remembered. When full, the
	// request that ended longest ago is forgotten. Running requests are never forgotten;
	// when all are running, OpenKeyed returns ErrExhausted.
	Keyed int
	// KeepKeyed is how long a keyed request is remembered after its end.
	KeepKeyed time.Duration
	// CallsPerAccount bounds the calls of the application that are running or
	// have failed within one account. When full, a new safe call costs a token and
	// any other is refused with ErrExhausted, because its repeat would not be recognised.
	CallsPerAccount int
	// Clock defaults to the system's clock.
	Clock Clock
}

func (c Config) withDefaults() Config {
	if c.Accounts <= 0 {
		c.Accounts = DefaultAccounts
	}
	if c.Keyed <= 0 {
		c.Keyed = DefaultKeyed
	}
	if c.KeepKeyed <= 0 {
		c.KeepKeyed = DefaultKeepKeyed
	}
	if c.CallsPerAccount <= 0 {
		c.CallsPerAccount = DefaultCallsPerAccount
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	return c
}
