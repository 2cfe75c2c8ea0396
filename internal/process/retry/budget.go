// Package retry bounds the repeated calls that a service receives. Each node holds the
// share of the backend server beside it and refuses repeats above that share as not
// run. The calling nodes therefore need no agreement.
package retry

import (
	"sync"
	"time"

	"lagoonbarrow"
)

// usedFraction is the fraction of the allowance that is used. The rest covers nodes that
// count the service's instances differently.
const usedFraction = 0.8

// reserves holds the fraction of a full budget that calls of each importance leave to
// more important ones. A write that fails because one of its calls was lost is lost
// permanently, while clients repeat their reads.
var reserves = [...]float64{
	lagoonbarrow.ImportanceNone:       0.5,
	lagoonbarrow.ImportanceDeferrable: 0.5,
	lagoonbarrow.ImportanceNormal:     0.25,
	lagoonbarrow.ImportanceCritical:   0,
}

// Config configures a Budget.
type Config struct {
	Bounds
	// Instances returns the number of instances of the service, which share the
	// slack; 0 while it is unknown.
	Instances func() int
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Bounds limits the repeats that a service receives.
type Bounds struct {
	// Ratio is the number of repeats allowed for each client request.
	Ratio float64
	// Slack is the number of repeats allowed in addition in each window, over all
	// instances of the service.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// Budget is a token bucket of the repeats that the backend server beside this node may
// receive. It is empty at the start, because an earlier process may have used it up.
type Budget struct {
	config Config

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
	// requestRate is the moving average of client requests per second.
	requestRate float64
}

// New returns an empty budget.
func New(config Config) *Budget {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Budget{
		config:    config,
		updatedAt: config.Now(),
	}
}

// SetBounds changes the bounds. The budget keeps its tokens.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Bounds = bounds
}

// RecordRequest counts a client request that is sent to the server for the first time.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.requestRate += 1 / b.config.Window.Seconds()
}

// Spend uses a token for a repeat of a call of the importance. It returns false if the
// budget doesn't allow the repeat.
func (b *Budget) Spend(importance lagoonbarrow.Importance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	needed := 1 + reserves[importance]*max(0, b.refill()-1)
	if b.tokens < needed {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last refill and returns the capacity
// of the budget, which is half of the allowance per window. The other half is refilled
// within a window. The caller holds the mutex.
func (b *Budget) refill() float64 {
	now := b.config.Now()
	elapsed := min(now.Sub(b.updatedAt), b.config.Window)
	fraction := elapsed.Seconds() / b.config.Window.Seconds()
	capacity := b.capacity()
	b.tokens = min(capacity, b.tokens+capacity*fraction)
	b.requestRate *= 1 - fraction
	b.updatedAt = now
	return capacity
}

func (b *Budget) capacity() float64 {
	instances := b.config.Instances()
	if instances == 0 {
		return 0
	}
	slack := b.config.Slack / float64(instances)
	earned := b.config.Ratio * b.requestRate * b.config.Window.Seconds()
	return usedFraction * (slack + earned) / 2
}
