package roster

import (
	"sync"
	"time"
)

// newConnectionBytes is the cost of an exchange over a new connection besides the
// message bodies, in both directions together: 400 bytes of handshake, frame
// headers and envelopes, and about 740 bytes of TCP and IP headers for set-up,
// close, five frames and acknowledgements, at 52 bytes a segment.
// openConnectionBytes is the same for an open connection: 110 bytes, and the TCP
// and IP headers of three segments.
const (
	newConnectionBytes  = 1140
	openConnectionBytes = 270
	// connectionIdleTimeout is how long a connection without traffic is assumed to
	// stay open. The peer package closes idle control connections after 5 s.
	connectionIdleTimeout = 5 * time.Second
	// budgetBurstSeconds bounds the balance in both directions, in seconds' worth
	// of budget. Without a lower bound the table of 7,800 members that a joining
	// node reads (about 850 KB) would stop its seed's probes for minutes.
	budgetBurstSeconds = 4
)

// budget counts the bytes that this package sends. It never blocks a sender: the
// probe loop skips its turns while the balance is negative.
type budget struct {
	mutex      sync.Mutex
	rate       float64
	balance    float64
	total      int64
	lastRefill time.Time
}

// newBudget returns a budget for a probe interval. Intervals below the default
// need more traffic, so they raise the budget in proportion.
func newBudget(bytesPerSecond int, interval time.Duration) *budget {
	rate := float64(bytesPerSecond)
	if interval < DefaultProbeInterval {
		rate *= float64(DefaultProbeInterval) / float64(interval)
	}
	return &budget{
		rate:       rate,
		balance:    rate * budgetBurstSeconds,
		lastRefill: time.Now(),
	}
}

func (b *budget) refill() {
	now := time.Now()
	b.balance += b.rate * now.Sub(b.lastRefill).Seconds()
	b.balance = min(b.balance, b.rate*budgetBurstSeconds)
	b.lastRefill = now
}

// charge subtracts bytes from the balance, which may become negative.
func (b *budget) charge(bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	b.balance = max(b.balance-float64(bytes), -b.rate*budgetBurstSeconds)
	b.total += int64(bytes)
}

// balanceSeconds returns the balance in seconds' worth of budget.
func (b *budget) balanceSeconds() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	return b.balance / b.rate
}

// totalCharged returns the bytes charged so far.
func (b *budget) totalCharged() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total
}
