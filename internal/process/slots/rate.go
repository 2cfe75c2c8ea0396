package slots

import (
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// burstTime is the time without requests after which a server gets the requests of
	// that time at once. Clients' requests come in small groups, and would wait otherwise.
	// While a longer burst is used up, nothing waits, and the threshold falls too low.
	burstTime = 200 * time.Millisecond
	// minRate is the lowest rate in requests a second. A server that accepts none must get
	// some requests, as only its answers show that it accepts more again.
	minRate = 0.8
	// usageTime is the time over which the use of the limit is averaged.
	usageTime = time.Second
	// minGrantDelay is the shortest time until the next requests are granted by a timer.
	minGrantDelay = time.Millisecond
)

// rateLimit is a token bucket for a server that names the requests a second that it
// accepts. Its zero value has no limit.
type rateLimit struct {
	limited bool
	// perSecond is the rate at which tokens are added.
	perSecond float64
	tokens    float64
	// granted is the moving average of the requests a second.
	granted   float64
	updatedAt time.Time
}

// set changes the limit. A server that was not limited before gets one request at once.
func (r *rateLimit) set(limited bool, limit lagoonbarrow.RequestsPerSecond, now time.Time) {
	r.update(now)
	if !r.limited {
		r.tokens = 1
	}
	r.limited = limited
	r.perSecond = max(minRate, float64(limit))
	r.tokens = min(r.tokens, r.burst())
}

// burst returns the capacity of the bucket.
func (r *rateLimit) burst() float64 {
	return max(1, r.perSecond*burstTime.Seconds())
}

// update adds the tokens for the time since the last update.
func (r *rateLimit) update(now time.Time) {
	elapsed := max(0, now.Sub(r.updatedAt).Seconds())
	r.updatedAt = now
	r.granted *= math.Exp(-elapsed / usageTime.Seconds())
	if r.limited {
		r.tokens = min(r.burst(), r.tokens+elapsed*r.perSecond)
	}
}

// available reports whether a request may be sent now.
func (r *rateLimit) available(now time.Time) bool {
	r.update(now)
	return !r.limited || r.tokens >= 1
}

// take uses the token of a request.
func (r *rateLimit) take(now time.Time) {
	r.update(now)
	r.tokens--
	r.granted += 1 / usageTime.Seconds()
}

// giveBack returns the token of a request that was not sent.
func (r *rateLimit) giveBack(now time.Time) {
	r.update(now)
	r.tokens = min(r.burst(), r.tokens+1)
	r.granted = max(0, r.granted-1/usageTime.Seconds())
}

// wait returns the time until a request with the given number of others ahead of it may be
// sent.
func (r *rateLimit) wait(ahead int, now time.Time) time.Duration {
	r.update(now)
	if !r.limited {
		return 0
	}
	seconds := max(0, float64(ahead+1)-r.tokens) / r.perSecond
	// Rounded up, as a request would still have to wait at a time that was rounded down.
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// usage returns the fraction of the limit that is in use, with the queued requests. It is 1
// at least while a request would have to wait.
func (r *rateLimit) usage(queued int, now time.Time) float64 {
	if !r.limited {
		return 0
	}
	available := r.available(now)
	usage := (r.granted + float64(queued)/usageTime.Seconds()) / r.perSecond
	if !available {
		usage = max(1, usage)
	}
	return usage
}
