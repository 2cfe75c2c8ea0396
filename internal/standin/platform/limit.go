package platform

import (
	"sync"
	"time"
)

// limiter is a token bucket that holds up to one second's worth of tokens.
type limiter struct {
	mutex      sync.Mutex
	perSecond  float64
	tokens     float64
	lastRefill time.Time
}

func newLimiter(perSecond int) *limiter {
	return &limiter{
		perSecond:  float64(perSecond),
		tokens:     float64(perSecond),
		lastRefill: time.Now(),
	}
}

// allow removes the tokens and returns true if there are enough. A limit of 0 allows
// every request.
func (l *limiter) allow(count int) bool {
	if l.perSecond <= 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.tokens = min(l.perSecond, l.tokens+now.Sub(l.lastRefill).Seconds()*l.perSecond)
	l.lastRefill = now
	if l.tokens < float64(count) {
		return false
	}
	l.tokens -= float64(count)
	return true
}
