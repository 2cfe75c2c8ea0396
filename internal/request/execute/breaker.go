package execute

import (
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// failureThreshold is the number of consecutive unanswered requests after which a
	// server gets only probes. A server that loses half of its answers reaches it once
	// in a thousand requests.
	failureThreshold = 10
	// probeInterval is the time between requests to an unresponsive server. A server
	// that is down but accepts connections fails each request at once, so it looks
	// idle to the nodes that balance load.
	probeInterval = 250 * time.Millisecond
)

// breaker is a circuit breaker that opens when a server stops answering and closes
// at the next answer. It covers servers that reset connections or hang while their
// heartbeats are still good.
type breaker struct {
	mu     sync.Mutex
	server lagoonbarrow.ServerID
	// consecutiveFailures counts the unanswered requests since the last answer.
	consecutiveFailures int
	probedAt            time.Time
}

// allow reports whether a request may be sent to the server.
func (b *breaker) allow(server lagoonbarrow.ServerID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetIfReplaced(server)
	if b.consecutiveFailures < failureThreshold {
		return true
	}
	if now.Sub(b.probedAt) < probeInterval {
		return false
	}
	b.probedAt = now
	return true
}

// record records the result of a request and reports whether it opened or closed
// the breaker.
func (b *breaker) record(server lagoonbarrow.ServerID, answer *lagoonbarrow.Answer, now time.Time) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resetIfReplaced(server)
	if answer.Status != 0 {
		closed = b.consecutiveFailures >= failureThreshold
		b.consecutiveFailures = 0
		return false, closed
	}
	unanswered := answer.Reason == lagoonbarrow.ReasonBackend || answer.Reason == lagoonbarrow.ReasonDeadline
	if !answer.SentToServer || !unanswered {
		return false, false
	}
	b.consecutiveFailures++
	if b.consecutiveFailures != failureThreshold {
		return false, false
	}
	b.probedAt = now
	return true, false
}

// resetIfReplaced resets the count for a new server. The caller holds the mutex.
func (b *breaker) resetIfReplaced(server lagoonbarrow.ServerID) {
	if server != b.server {
		b.server = server
		b.consecutiveFailures = 0
	}
}
