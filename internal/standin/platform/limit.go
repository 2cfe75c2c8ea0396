package platform

import (
	"sync"
	"time"
)

// limiter is a token bucket that holds up to one second's worth of tokens.
type limiter struct {
	mutex     sync.Mutex
	perSecond float64
	tokens    float64
	filled    time.Time
}

func newLimiter(perSecond int) *limiter {
	return &limiter{
		perSecond: float64(perSecond),
		tokens:    float64(perSecond),
		filled:    time.Now(),
	}
}

// take takes tokens and reports whether they were there. A limit of 0 always allows.
func (l *limiter) take(count int) bool {
	if l.perSecond <= 0 {
		return true
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.tokens = min(l.perSecond, l.tokens+now.Sub(l.filled).Seconds()*l.perSecond)
	l.filled = now
	if l.tokens < float64(count) {
		return false
	}
	l.tokens -= float64(count)
	return true
}
