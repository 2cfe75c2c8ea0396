package execute

import (
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// openAfter is the number of requests in a row without an answer after which a
	// server gets only probes. One that loses half of its answers has such a row once
	// in a thousand requests.
	openAfter = 10
	// probeInterval is the time between two requests to a server that gives no
	// answers. One that is down and accepts connections fails each of them at once,
	// and looks idle to those who choose among servers.
	probeInterval = 250 * time.Millisecond
)

// breaker keeps requests from a server that gives no answers, until it gives one.
// It answers the load of a server that resets or hangs while its heartbeats are good.
type breaker struct {
	mu     sync.Mutex
	server lagoonbarrow.ServerID
	// unanswered counts the requests in a row without an answer.
	unanswered int
	probedAt   time.Time
}

// allows reports whether a request may be sent to the server.
func (b *breaker) allows(server lagoonbarrow.ServerID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serves(server)
	if b.unanswered < openAfter {
		return true
	}
	if now.Sub(b.probedAt) < probeInterval {
		return false
	}
	b.probedAt = now
	return true
}

// note takes the end of a request and reports whether the breaker opened or closed
// by it.
func (b *breaker) note(server lagoonbarrow.ServerID, answer *lagoonbarrow.Answer, now time.Time) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serves(server)
	if answer.Status != 0 {
		closed = b.unanswered >= openAfter
		b.unanswered = 0
		return false, closed
	}
	broken := answer.Reason == lagoonbarrow.ReasonBackend || answer.Reason == lagoonbarrow.ReasonDeadline
	if !answer.Offered || !broken {
		return false, false
	}
	b.unanswered++
	if b.unanswered != openAfter {
		return false, false
	}
	b.probedAt = now
	return true, false
}

// serves begins anew for another server. The caller holds the mutex.
func (b *breaker) serves(server lagoonbarrow.ServerID) {
	if server != b.server {
		b.server = server
		b.unanswered = 0
	}
}
