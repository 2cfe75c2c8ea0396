// Package memory bounds the memory that the bodies of requests and responses take in the
// process, from the first byte received to the last byte written. When it is used up,
// bodies are given up in the order that docs/design/slow-clients.md describes.
package memory

import (
	"context"
	"runtime"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/logging"
)

// uncountedBytes is the size up to which a body isn't counted. Most bodies are smaller,
// and connections have read buffers of this size anyway.
const uncountedBytes = 16 << 10

const (
	// garbageDivisor is the part of MaxBytes that released bodies may take before garbage is
	// collected for a new body. The sidecar's limit leaves that much below the soft limit of
	// the runtime.
	garbageDivisor = 4
	// maxWait bounds how long a response waits for memory. It is below the time in which
	// a node has to receive a response from another node.
	maxWait = 2 * time.Second
	// checkInterval is the time between two searches of a waiting response for one that
	// may be aborted, since clients fall behind without any event.
	checkInterval = 50 * time.Millisecond
)

var (
	// errFull is returned for a body that doesn't fit beside others now.
	errFull = errors.Wrap(lagoonbarrow.ErrShed, "memory: bodies in progress use up the memory")
	// errCancelled is returned for a response that nobody waits for any more.
	errCancelled = errors.Wrap(lagoonbarrow.ErrShed, "memory: cancelled while waiting for memory")
	// errNeverFits is returned for a body that is larger than the memory for all bodies.
	errNeverFits = errors.Wrap(lagoonbarrow.ErrTooLarge, "memory: body is larger than the memory")
)

// Config configures a Limiter.
type Config struct {
	// MaxBytes bounds the size of all counted bodies together.
	MaxBytes int64
	// MaxRequestBytes bounds the size of all counted requests together; to MaxBytes by
	// default. The rest is left to the responses of requests that wait for them.
	MaxRequestBytes int64
	Logger          hclog.Logger
	Scope           tally.Scope
}

// Limiter counts the bytes of the bodies that are held in the process.
type Limiter struct {
	config Config

	mu   sync.Mutex
	used int64
	// garbage is the memory of bodies that were released since garbage was last collected
	// for a body.
	garbage int64
	// usedByRequests is the part of used that is taken by requests.
	usedByRequests int64
	usages         map[*Usage]struct{}
	// writing holds the responses that are being written to clients.
	writing map[*Holder]struct{}
	// aborted is the number of bodies that were given up and not yet released.
	aborted int
	// changed is closed when memory is released or a body is given up, and then replaced.
	changed  chan struct{}
	throttle logging.Throttle
	metrics  limiterMetrics
	// collection is locked while garbage is collected.
	collection sync.RWMutex
}

// limiterMetrics holds the metrics of a limiter.
type limiterMetrics struct {
	used, usedByRequests, writing tally.Gauge
	// collections counts the garbage collections for bodies.
	collections tally.Counter
	// givenUp counts the bodies that were given up, by where they were.
	givenUp map[place]tally.Counter
}

// place is where a body was when it was given up.
type place string

const (
	placeRefused   place = "refused"
	placeReceiving place = "receiving"
	placeWriting   place = "writing"
)

func newLimiterMetrics(scope tally.Scope) limiterMetrics {
	metrics := limiterMetrics{
		used:           scope.Gauge("body-bytes"),
		usedByRequests: scope.Gauge("request-body-bytes"),
		writing:        scope.Gauge("long-responses-being-written"),
		collections:    scope.Counter("body-garbage-collections"),
		givenUp:        map[place]tally.Counter{},
	}
	for _, at := range []place{placeRefused, placeReceiving, placeWriting} {
		metrics.givenUp[at] = scope.Tagged(map[string]string{
			"place": string(at),
		}).Counter("bodies-given-up")
	}
	return metrics
}

// New returns a limiter.
func New(config Config) *Limiter {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	if config.MaxRequestBytes == 0 {
		config.MaxRequestBytes = config.MaxBytes
	}
	return &Limiter{
		config:  config,
		usages:  map[*Usage]struct{}{},
		writing: map[*Holder]struct{}{},
		changed: make(chan struct{}),
		metrics: newLimiterMetrics(config.Scope),
	}
}

// Used returns the size of all counted bodies.
func (l *Limiter) Used() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.used
}

// Usage is the memory of one body. Its methods must not be called concurrently.
type Usage struct {
	limiter *Limiter
	// abort makes a read in progress fail.
	abort func()
	// response is set for the body of a response, whose request has been run.
	response bool
	// cancelled is closed when nobody waits for the response any more.
	cancelled <-chan struct{}

	// The limiter's mutex guards the fields below. Only the body's own goroutine writes
	// bytes.
	bytes int64
	// growing is set for a body whose length is not known before it is received.
	growing  bool
	complete bool
	aborted  bool
}

// Track returns the usage of a request's body that is about to be received. abort is
// called, from another goroutine, if the body is given up in favour of others. It must
// not block.
func (l *Limiter) Track(abort func()) *Usage {
	return &Usage{
		limiter: l,
		abort:   abort,
	}
}

// TrackResponse is Track for the body of a response. When ctx ends, the response no longer
// waits for memory.
func (l *Limiter) TrackResponse(ctx context.Context, abort func()) *Usage {
	usage := l.Track(abort)
	usage.response = true
	usage.cancelled = ctx.Done()
	return usage
}

// Resize sets the memory of the body. It returns ErrTooLarge if that can never fit, and
// ErrShed if it doesn't fit now or if the body was given up in favour of others. A
// response waits for memory, up to maxWait.
func (u *Usage) Resize(bytes int) error {
	return u.resize(int64(bytes), true)
}

// Reserve is Resize for a body of a declared length, before it is received.
func (u *Usage) Reserve(bytes int) error {
	return u.resize(int64(bytes), false)
}

// resize sets the memory of the body, and collects garbage before the caller allocates it
// if that is needed.
func (u *Usage) resize(size int64, growing bool) error {
	collect, err := u.take(size, growing)
	if err != nil {
		return err
	}
	u.limiter.collectGarbage(collect)
	return nil
}

// take counts the memory of the body. It reports whether garbage has to be collected.
func (u *Usage) take(size int64, growing bool) (collect bool, err error) {
	if size <= uncountedBytes {
		return false, nil
	}
	if size > int64(u.maxBytes()) {
		return false, errNeverFits
	}
	l := u.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := u.waitForRoom(size); err != nil {
		return false, err
	}
	l.garbage += u.bytes
	l.used += size - u.bytes
	if !u.response {
		l.usedByRequests += size - u.bytes
	}
	u.bytes = size
	u.growing = growing
	l.usages[u] = struct{}{}
	l.updateGauges()
	if l.used+l.garbage <= l.config.MaxBytes+l.config.MaxBytes/garbageDivisor {
		return false, nil
	}
	l.garbage = 0
	return true, nil
}

// collectGarbage collects garbage, or waits while another body does. The runtime collects
// concurrently, and a large body that is allocated meanwhile would exceed the memory.
func (l *Limiter) collectGarbage(collect bool) {
	if !collect {
		l.collection.RLock()
		defer l.collection.RUnlock()
		return
	}
	l.collection.Lock()
	defer l.collection.Unlock()
	runtime.GC()
	l.metrics.collections.Inc(1)
}

// waitForRoom gives up other bodies until the size fits. The caller holds the mutex.
func (u *Usage) waitForRoom(size int64) error {
	l := u.limiter
	var started time.Time
	for !u.aborted && !u.fits(size) {
		now := time.Now()
		if started.IsZero() {
			started = now
		}
		expired := now.Sub(started) >= maxWait
		if l.aborted == 0 && !l.makeRoom(u, size, expired) && (!u.response || expired) {
			l.log(placeRefused, size)
			return errFull
		}
		if !l.wait(u.cancelled) {
			return errCancelled
		}
	}
	if u.aborted {
		return errFull
	}
	return nil
}

// fits reports whether the body may take the size. The caller holds the mutex.
func (u *Usage) fits(size int64) bool {
	l := u.limiter
	if l.used-u.bytes+size > l.config.MaxBytes {
		return false
	}
	return u.response || l.usedByRequests-u.bytes+size <= l.config.MaxRequestBytes
}

// wait releases the mutex until memory is released or checkInterval has passed. It
// returns false if cancelled is closed.
func (l *Limiter) wait(cancelled <-chan struct{}) bool {
	changed := l.changed
	l.mu.Unlock()
	defer l.mu.Lock()
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-cancelled:
		return false
	}
	return true
}

// broadcast wakes all bodies that wait. The caller holds the mutex.
func (l *Limiter) broadcast() {
	l.updateGauges()
	close(l.changed)
	l.changed = make(chan struct{})
}

// maxBytes returns the size that a body can have at most.
func (u *Usage) maxBytes() int {
	if u.response {
		return int(u.limiter.config.MaxBytes)
	}
	return int(min(u.limiter.config.MaxBytes, u.limiter.config.MaxRequestBytes))
}

// Complete marks the body as completely received, after which it is not given up. It
// reports false if abort has already been called.
func (u *Usage) Complete() bool {
	if u.bytes == 0 {
		return true
	}
	u.limiter.mu.Lock()
	defer u.limiter.mu.Unlock()
	u.complete = true
	return !u.aborted
}

// Release returns the memory of the body. It may be called more than once.
func (u *Usage) Release() {
	if u.bytes == 0 {
		return
	}
	l := u.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= u.bytes
	l.garbage += u.bytes
	u.forget()
	l.broadcast()
}

// forget removes the usage, but not its bytes from those in use. The caller holds the
// mutex.
func (u *Usage) forget() {
	l := u.limiter
	delete(l.usages, u)
	if !u.response {
		l.usedByRequests -= u.bytes
	}
	u.bytes = 0
	if u.aborted {
		l.aborted--
	}
}

// makeRoom gives up a body. It returns false if there is none that may be given up for
// the newcomer. expired is set for a response that has waited for maxWait. The caller
// holds the mutex.
func (l *Limiter) makeRoom(newcomer *Usage, size int64, expired bool) bool {
	// Without memory for further requests, aborting responses doesn't help.
	if l.used-newcomer.bytes+size > l.config.MaxBytes {
		if slowest := l.slowestWriting(time.Now()); slowest != nil {
			l.abortHolder(slowest)
			return true
		}
	}
	largest := l.largestIncomplete(newcomer, size, expired)
	if largest == nil {
		return false
	}
	largest.aborted = true
	l.aborted++
	l.log(placeReceiving, largest.bytes)
	largest.abort()
	// The body may itself be waiting for memory.
	l.broadcast()
	return true
}

// largestIncomplete returns the largest body being received that may be given up, or nil.
// Only a smaller body may take its place, except that a response may take the place of
// any request, which has not been run. A response of a declared length is given up only
// for a response that has waited, but one of unknown length may have no end.
func (l *Limiter) largestIncomplete(newcomer *Usage, size int64, expired bool) *Usage {
	var largest *Usage
	for usage := range l.usages {
		if usage == newcomer || usage.complete || usage.aborted {
			continue
		}
		// A request doesn't take the place of a response, whose request has been run.
		if usage.response && (!newcomer.response || !expired && !usage.growing) {
			continue
		}
		if usage.bytes <= size && newcomer.response == usage.response {
			continue
		}
		if largest == nil || usage.bytes > largest.bytes {
			largest = usage
		}
	}
	return largest
}

// log reports a body that was given up, and counts it. The caller holds the mutex.
func (l *Limiter) log(at place, size int64) {
	l.metrics.givenUp[at].Inc(1)
	if count, allowed := l.throttle.Next(); allowed {
		l.config.Logger.Warn("bodies were given up because the memory for them is used up", "count", count, "place", string(at),
			"last-bytes", size, "used-bytes", l.used, "request-bytes", l.usedByRequests, "writing", len(l.writing), "max-bytes", l.config.MaxBytes)
	}
}

// updateGauges updates the metrics of the memory in use. The caller holds the mutex.
func (l *Limiter) updateGauges() {
	l.metrics.used.Update(float64(l.used))
	l.metrics.usedByRequests.Update(float64(l.usedByRequests))
	l.metrics.writing.Update(float64(len(l.writing)))
}
