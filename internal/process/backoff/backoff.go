// Package backoff waits between failed attempts.
package backoff

import (
	"context"
	"math/rand/v2"
	"time"
)

// Config configures a Backoff.
type Config struct {
	// First and Last bound the waits; each is up to twice as long as the one before.
	First time.Duration
	Last  time.Duration
}

// Backoff waits with exponentially growing, random pauses.
type Backoff struct {
	config Config
	next   time.Duration
}

// New returns a backoff whose next wait is the first.
func New(config Config) *Backoff {
	return &Backoff{
		config: config,
		next:   config.First,
	}
}

// The bounds for calls to the platform's store. What depends on it has to be back
// within two seconds of its return.
const (
	storeFirst = 100 * time.Millisecond
	storeLast  = time.Second
)

// ForStore returns a backoff for calls to the platform's store.
func ForStore() *Backoff {
	return New(Config{
		First: storeFirst,
		Last:  storeLast,
	})
}

// Wait waits until the next attempt is due or ctx ends.
func (b *Backoff) Wait(ctx context.Context) {
	Pause(ctx, b.next/2+rand.N(b.next/2))
	b.next = min(2*b.next, b.config.Last)
}

// Reset makes the next wait the first again, after a success.
func (b *Backoff) Reset() {
	b.next = b.config.First
}

// Pause waits for the duration or until ctx ends.
func Pause(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
