// Package backoff waits between failed attempts.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Config configures a Backoff.
type Config struct {
	// Initial is the upper bound of the first wait. The bound doubles with each wait.
	Initial time.Duration
	// Max is the highest upper bound of a wait.
	Max time.Duration
}

// Backoff waits with exponentially growing, random pauses.
type Backoff struct {
	config Config
	next   time.Duration
}

// New returns a backoff that starts with the initial wait.
func New(config Config) *Backoff {
	return &Backoff{
		config: config,
		next:   config.Initial,
	}
}

// The bounds for calls to the platform's store. Everything that depends on the store
// has to work again within two seconds after the store has returned.
const (
	storeInitial = 100 * time.Millisecond
	storeMax     = time.Second
)

// ForStore returns a backoff for calls to the platform's store.
func ForStore() *Backoff {
	return New(Config{
		Initial: storeInitial,
		Max:     storeMax,
	})
}

// Wait waits for a random time from half of the current bound to all of it, or until
// ctx ends.
func (b *Backoff) Wait(ctx context.Context) {
	Pause(ctx, b.next/2+rand.N(b.next/2))
	b.next = min(2*b.next, b.config.Max)
}

// Reset returns to the initial wait. It is called after a success.
func (b *Backoff) Reset() {
	b.next = b.config.Initial
}

// Pause waits for the duration or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
