package memory

import (
	"context"
	"time"
)

const (
	// referenceRate is the rate in bytes a second at which a client reads that doesn't
	// fall behind. Callers inside the deployment read many times faster.
	referenceRate = 1 << 20
	// abortLag is how far a client has fallen behind when its response may be aborted.
	abortLag = time.Second
)

// Holder is the memory of the complete responses of one request, until the response to
// the request has been written. Its methods must not be called concurrently.
type Holder struct {
	limiter *Limiter

	// The limiter's mutex guards the fields below.
	bytes    int64
	progress progress
	// abort makes the write fail. It is nil until the response is being written.
	abort func()
	// aborted is set once abort has been called.
	aborted bool
}

// progress is how far a response has been written.
type progress struct {
	started time.Time
	written int64
	// atMostOnce is set for the response to a request that must not be repeated.
	atMostOnce bool
}

// lag returns how far the client is behind one that reads at the reference rate.
func (p progress) lag(now time.Time) time.Duration {
	due := time.Duration(float64(p.written) / referenceRate * float64(time.Second))
	return now.Sub(p.started) - due
}

// before reports whether the response is aborted before another one: responses that can
// be requested again first, and of these the one whose client has fallen furthest behind.
// It is for the load of many clients that read slowly or not at all.
func (p progress) before(other progress, now time.Time) bool {
	if p.atMostOnce != other.atMostOnce {
		return !p.atMostOnce
	}
	return p.lag(now) > other.lag(now)
}

// holderKey is the context key of the holder.
type holderKey struct{}

// NewHolder returns a holder and a context with it. Responses that are received with the
// context stay counted until the holder is released.
func (l *Limiter) NewHolder(ctx context.Context) (context.Context, *Holder) {
	holder := &Holder{
		limiter: l,
	}
	return context.WithValue(ctx, holderKey{}, holder), holder
}

// Keep passes the memory of a complete response to the holder of the context. Without a
// holder, the usage keeps it.
func (u *Usage) Keep(ctx context.Context) {
	if u.bytes == 0 {
		return
	}
	holder, ok := ctx.Value(holderKey{}).(*Holder)
	if !ok || holder.limiter != u.limiter {
		return
	}
	l := u.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	holder.bytes += u.bytes
	aborted := u.aborted
	u.forget()
	if aborted {
		// Others wait for the memory of this body. They have to choose another one.
		l.broadcast()
	}
}

// Write marks the response as being written to a client. abort is called, from another
// goroutine, if it is given up in favour of others. It must not block. atMostOnce is set
// if the client must not repeat the request.
func (h *Holder) Write(atMostOnce bool, abort func()) {
	if h.bytes == 0 {
		return
	}
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	h.abort = abort
	h.progress = progress{
		started:    time.Now(),
		atMostOnce: atMostOnce,
	}
	h.limiter.writing[h] = struct{}{}
	h.limiter.updateGauges()
}

// Held returns the size of the responses.
func (h *Holder) Held() int64 {
	return h.bytes
}

// Aborted reports whether the response was given up.
func (h *Holder) Aborted() bool {
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	return h.aborted
}

// Wrote counts bytes that the system has accepted for the client.
func (h *Holder) Wrote(bytes int) {
	h.limiter.mu.Lock()
	defer h.limiter.mu.Unlock()
	h.progress.written += int64(bytes)
}

// ReleaseUnlessWriting is Release for a response that is not being written.
func (h *Holder) ReleaseUnlessWriting() {
	if h.abort == nil {
		h.Release()
	}
}

// Release returns the memory of the responses. It may be called more than once.
func (h *Holder) Release() {
	if h.bytes == 0 {
		return
	}
	l := h.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= h.bytes
	l.garbage += h.bytes
	h.bytes = 0
	delete(l.writing, h)
	if h.aborted {
		l.aborted--
	}
	l.broadcast()
}

// slowestWriting returns the response that is aborted first, or nil if no client has
// fallen behind. The caller holds the mutex.
func (l *Limiter) slowestWriting(now time.Time) *Holder {
	var slowest *Holder
	for holder := range l.writing {
		if holder.aborted || holder.progress.lag(now) < abortLag {
			continue
		}
		if slowest == nil || holder.progress.before(slowest.progress, now) {
			slowest = holder
		}
	}
	return slowest
}

// AbortSlowest aborts the response whose client has fallen furthest behind, for a reason
// other than memory. It reports false if no client has fallen behind.
func (l *Limiter) AbortSlowest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	slowest := l.slowestWriting(time.Now())
	if slowest == nil {
		return false
	}
	slowest.giveUp()
	return true
}

// abortHolder aborts a response that is being written, for its memory. The caller holds the mutex.
func (l *Limiter) abortHolder(holder *Holder) {
	l.log(placeWriting, holder.bytes)
	holder.giveUp()
}

// giveUp makes the write fail. The caller holds the mutex.
func (h *Holder) giveUp() {
	h.aborted = true
	h.limiter.aborted++
	h.abort()
}
