// Package retry bounds the repeated sends to a service over all nodes together.
package retry

import (
	"sync"
	"time"

	"lagoonbarrow"
)

// usedPart is the part of the allowance that nodes use. The rest covers repeats
// that nodes don't know of, such as those of a process that was restarted.
const usedPart = 0.8

// Config configures a Budget.
type Config struct {
	Bounds
	// Nodes returns the number of nodes that share the slack.
	Nodes func() int
	// Now tells the time; time.Now by default.
	Now func() time.Time
}

// Bounds state how many repeats are allowed.
type Bounds struct {
	// Ratio is the number of repeats allowed for each request of a client.
	Ratio float64
	// Slack is the number of repeats allowed besides in each window, over all nodes.
	Slack float64
	// Window is the time over which repeats are counted.
	Window time.Duration
}

// Budget holds this node's part of the allowance for each service. Any window
// sees at most what a full bucket holds and what is earned meanwhile, each of which
// is half of the allowance.
type Budget struct {
	config Config

	mu       sync.Mutex
	services map[lagoonbarrow.ServiceName]*bucket
}

// bucket is the allowance for one service.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// rate is the moving average of clients' requests a second.
	rate float64
}

// New returns a budget whose buckets are full.
func New(config Config) *Budget {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Budget{
		config:   config,
		services: map[lagoonbarrow.ServiceName]*bucket{},
	}
}

// SetBounds changes the bounds. Tokens that nodes hold already stay.
func (b *Budget) SetBounds(bounds Bounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config.Bounds = bounds
}

// Sent notes a request of a client for the service.
func (b *Budget) Sent(service lagoonbarrow.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := b.bucket(service)
	present.rate += 1 / b.config.Window.Seconds()
}

// Take takes a repeat and reports whether it is allowed.
func (b *Budget) Take(service lagoonbarrow.ServiceName) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	present := b.bucket(service)
	if present.tokens < 1 {
		return false
	}
	present.tokens--
	return true
}

// bucket returns the service's bucket at the present time. The caller holds the mutex.
func (b *Budget) bucket(service lagoonbarrow.ServiceName) *bucket {
	now := b.config.Now()
	present, known := b.services[service]
	if !known {
		present = &bucket{
			updatedAt: now,
		}
		present.tokens = b.capacity(present)
		b.services[service] = present
		return present
	}
	passed := min(now.Sub(present.updatedAt), b.config.Window)
	part := passed.Seconds() / b.config.Window.Seconds()
	capacity := b.capacity(present)
	present.tokens = min(capacity, present.tokens+capacity*part)
	present.rate *= 1 - part
	present.updatedAt = now
	return present
}

// capacity is half of this node's allowance in one window.
func (b *Budget) capacity(present *bucket) float64 {
	slack := b.config.Slack / float64(max(1, b.config.Nodes()))
	earned := b.config.Ratio * present.rate * b.config.Window.Seconds()
	return usedPart * (slack + earned) / 2
}
