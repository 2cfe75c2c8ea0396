package quota

import (
	"time"

	"lagoonbarrow"
)

// maxWait bounds the time that a refused customer is told to wait. The share
// may have grown by then.
const maxWait = 10 * time.Second

// limits are what a contract and the number of live nodes allow.
type limits struct {
	rate  lagoonbarrow.WorkUnits
	burst lagoonbarrow.WorkUnits
	floor lagoonbarrow.WorkUnits
}

// holding is the share that a node holds.
type holding struct {
	grant grantID
	share lagoonbarrow.WorkUnits
	// until is counted from when the report was sent.
	until time.Time
}

// bucket is a token bucket that is filled at the node's present share. Its
// capacity is the same part of the contract's burst as the share is of the
// rate. What a request needs to find in it depends on its importance and not on
// its cost, and the bucket may go into debt by one request. Otherwise frequent
// cheap requests would keep it too low for an expensive one for ever.
type bucket struct {
	tokens lagoonbarrow.WorkUnits
	// ceiling is what the tokens would be if none had been taken. It follows
	// the capacity of a share that has grown only as fast as the tokens can, so
	// that a larger share never leads to refusals.
	ceiling lagoonbarrow.WorkUnits
	last    time.Time
	held    holding
	demand  demand
	// exceeded is when a refusal was last recorded as an event.
	exceeded time.Time
	// used is when the customer last asked.
	used time.Time
}

func newBucket(now time.Time, allowed limits) *bucket {
	return &bucket{
		tokens:  allowed.capacity(allowed.floor),
		ceiling: allowed.capacity(allowed.floor),
		last:    now,
		demand: demand{
			since: now,
		},
	}
}

// capacity returns the work that a bucket holds: the share's part of the burst,
// or what the share gives in a second if that is more, because shares follow
// the demand no faster. Over all nodes together that is the burst or one second
// of the rate, whichever is more.
func (l limits) capacity(share lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if l.rate <= 0 {
		return 0
	}
	part := min(share/l.rate, 1)
	return min(l.burst, max(l.burst, l.rate)*part)
}

// share returns the share in force at a time. A contract with a lower rate
// takes effect at once.
func (b *bucket) share(now time.Time, allowed limits) lagoonbarrow.WorkUnits {
	if now.Before(b.held.until) {
		return min(b.held.share, allowed.rate)
	}
	return allowed.floor
}

// refill adds what the shares in force since the last refill allow.
func (b *bucket) refill(now time.Time, allowed limits) {
	if b.held.until.After(b.last) && b.held.until.Before(now) {
		b.add(b.held.until, min(b.held.share, allowed.rate), allowed)
	}
	b.add(now, b.share(now, allowed), allowed)
}

func (b *bucket) add(now time.Time, share lagoonbarrow.WorkUnits, allowed limits) {
	if now.After(b.last) {
		filled := share * lagoonbarrow.WorkUnits(now.Sub(b.last).Seconds())
		b.tokens += filled
		b.ceiling += filled
		b.last = now
	}
	b.tokens = min(b.tokens, allowed.capacity(share))
	b.ceiling = min(b.ceiling, allowed.capacity(share))
}

// take takes units and reports whether the bucket was full enough, or when it
// will be.
func (b *bucket) take(now time.Time, units lagoonbarrow.WorkUnits, level lagoonbarrow.Importance, allowed limits) (bool, time.Duration) {
	b.refill(now, allowed)
	b.used = now
	b.demand.add(level, units)
	needed := b.ceiling * reserved(level)
	if b.tokens > 0 && b.tokens >= needed {
		b.tokens -= units
		return true, 0
	}
	return false, waitFor(needed-b.tokens, b.share(now, allowed))
}

// reserved is the part of a full bucket that is kept from a level for the more
// important ones. While a critical request is refused, no other is admitted.
func reserved(level lagoonbarrow.Importance) lagoonbarrow.WorkUnits {
	switch level {
	case lagoonbarrow.ImportanceCritical:
		return 0
	case lagoonbarrow.ImportanceNormal:
		return 0.125
	default:
		return 0.25
	}
}

func waitFor(missing, share lagoonbarrow.WorkUnits) time.Duration {
	if share <= 0 || float64(missing/share) >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(float64(missing/share) * float64(time.Second))
}

// accept puts a share in force. The tokens so far are those of the old one.
func (b *bucket) accept(now time.Time, held holding, allowed limits) {
	b.refill(now, allowed)
	b.held = held
	b.refill(now, allowed)
}

// idle reports whether the bucket is no different from a new one.
func (b *bucket) idle(now time.Time, allowed limits) bool {
	b.refill(now, allowed)
	return !now.Before(b.held.until) && b.tokens >= allowed.capacity(allowed.floor)
}
