package budget

import "time"

// Defaults of Config.
const (
	// DefaultAccounts is far above the number of calls that one backend server runs at once.
	DefaultAccounts = 16384
	// DefaultKeyed holds the keyed requests of about two minutes at 128 requests/s.
	DefaultKeyed = 16384
	// DefaultKeyedRetention covers a caller's re-sends with delays of a few seconds.
	DefaultKeyedRetention = 60 * time.Second
	// DefaultCallsPerAccount bounds the downstream calls that are tracked for one running call.
	DefaultCallsPerAccount = 1024
)

// Clock returns the current time. Tests replace it.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Config configures a Ledger. Zero values select the defaults.
type Config struct {
	// Accounts bounds the running calls that Lookup finds. At the bound, accounts
	// past their deadline are removed. If there are none, Lookup does not find the
	// new account, and its downstream calls are refused.
	Accounts int
	// Keyed bounds the keyed requests in the ledger. At the bound, the request that
	// ended longest ago is removed. Running requests are never removed: when all are
	// running, OpenKeyed returns ErrExhausted.
	Keyed int
	// KeyedRetention is how long a keyed request is kept after its end.
	KeyedRetention time.Duration
	// CallsPerAccount bounds the calls of the application that are running or
	// have failed within one account. At the bound, a new safe call costs a token and
	// any other is refused with ErrExhausted, because its repeat would not be detected.
	CallsPerAccount int
	// Clock defaults to the system clock.
	Clock Clock
}

func (c Config) withDefaults() Config {
	if c.Accounts <= 0 {
		c.Accounts = DefaultAccounts
	}
	if c.Keyed <= 0 {
		c.Keyed = DefaultKeyed
	}
	if c.KeyedRetention <= 0 {
		c.KeyedRetention = DefaultKeyedRetention
	}
	if c.CallsPerAccount <= 0 {
		c.CallsPerAccount = DefaultCallsPerAccount
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	return c
}
