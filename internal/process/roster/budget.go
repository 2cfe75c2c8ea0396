package roster

import (
	"sync"
	"time"
)

// connectionBytes is the cost of an exchange over a new connection beyond the
// message bodies, both directions together: 400 bytes of handshake, frame
// headers and envelopes (measured at the peer server), and about 740 bytes of
// TCP and IP headers for set-up, close, five frames and acknowledgements
// (counted by hand at 52 bytes a segment). exchangeBytes is the same over an
// open connection: 110 bytes measured and three segments.
const (
	connectionBytes = 1140
	exchangeBytes   = 270
	// connectionIdle is how long a connection without traffic is assumed to
	// stay open; the peer package closes control connections after 5 s.
	connectionIdle = 5 * time.Second
	// budgetBurst is how many seconds' worth of unused budget can be saved up, and
	// of overdrawn budget remembered. The table of 7,800 members that a joining
	// node reads (about 850 KB) would otherwise stop its seed's probes for minutes.
	budgetBurst = 4
)

// budget counts the bytes that this package sends. It only counts; the probe
// loop skips its turns while the balance is negative.
type budget struct {
	mutex   sync.Mutex
	rate    float64
	balance float64
	total   int64
	last    time.Time
}

// newBudget returns a budget for an interval. Probe intervals under the
// default ask for more traffic, so they raise the budget in proportion.
func newBudget(bytesPerSecond int, interval time.Duration) *budget {
	rate := float64(bytesPerSecond)
	if interval < DefaultProbeInterval {
		rate *= float64(DefaultProbeInterval) / float64(interval)
	}
	return &budget{
		rate:    rate,
		balance: rate * budgetBurst,
		last:    time.Now(),
	}
}

func (b *budget) refill() {
	now := time.Now()
	b.balance += b.rate * now.Sub(b.last).Seconds()
	b.balance = min(b.balance, b.rate*budgetBurst)
	b.last = now
}

// charge takes bytes off the balance, which may become negative.
func (b *budget) charge(bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	b.balance = max(b.balance-float64(bytes), -b.rate*budgetBurst)
	b.total += int64(bytes)
}

// left returns the balance in seconds' worth of budget.
func (b *budget) left() float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.refill()
	return b.balance / b.rate
}

// spent returns the bytes charged so far.
func (b *budget) spent() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total
}
