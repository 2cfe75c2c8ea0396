// Package retry bounds the repeated calls that a service gets. Each node holds the
// part of the backend server beside it, so that the nodes which call need no
// agreement: a repeat that its server's part doesn't allow is refused as not run.
package retry

import (
	"sync"
	"time"

	"lagoonbarrow"
)

// usedPart is the part of the allowance that is used. The rest covers nodes that
// count the service's instances differently.
const usedPart = 0.8

// reserves is the part of a full budget that calls of each importance leave to more
// important ones. A write that fails because a call of it was lost is lost for good,
// while a client repeats its reads.
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
	// slack; 0 while it is not known.
	Instances func() int
	// Now tells the time; time.Now by default.
	Now func() time.Time
}

// Bounds state how many repeats a service may get.
type Bounds struct {
	// Ratio is the number of repeats allowed for each request of a client.
	Ratio float64
	// Slack is the number of repeats allowed besides in each window, over all
	// instances of the service.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// Budget holds the repeats that the backend server beside this node may get. It is
// empty at the start, since an earlier process may have used it up.
type Budget struct {
	config Config

	mu        sync.Mutex
	tokens    float64
	updatedAt time.Time
	// rate is the moving average of clients' requests a second.
	rate float64
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

// SetBounds changes the bounds. Tokens that the budget holds already stay.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Bounds = bounds
}

// Arrived notes a client's request that is sent to the server for the first time.
func (b *Budget) Arrived() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	b.rate += 1 / b.config.Window.Seconds()
}

// Take takes a repeat of a call of the importance and reports whether it is allowed.
func (b *Budget) Take(importance lagoonbarrow.Importance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	needed := 1 + reserves[importance]*max(0, b.refill()-1)
	if b.tokens < needed {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens of the time that has passed and returns the most that the
// budget holds: half of the allowance in one window. The other half is refilled
// within a window. The caller holds the mutex.
func (b *Budget) refill() float64 {
	now := b.config.Now()
	passed := min(now.Sub(b.updatedAt), b.config.Window)
	part := passed.Seconds() / b.config.Window.Seconds()
	full := b.full()
	b.tokens = min(full, b.tokens+full*part)
	b.rate *= 1 - part
	b.updatedAt = now
	return full
}

func (b *Budget) full() float64 {
	instances := b.config.Instances()
	if instances == 0 {
		return 0
	}
	slack := b.config.Slack / float64(instances)
	earned := b.config.Ratio * b.rate * b.config.Window.Seconds()
	return usedPart * (slack + earned) / 2
}
