package quota

import (
	"time"

	"lagoonbarrow"
)

// maxWait bounds the time that a refused customer is told to wait. The share
// may have grown by then.
const maxWait = 10 * time.Second

// slowCeiling is the part of the share by which the ceiling rises at least, so
// that the reserves are built up also while demand exceeds the share.
const slowCeiling = 0.125

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

// credit is work that may be admitted once.
type credit struct {
	units lagoonbarrow.WorkUnits
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
	// ceiling is what the reserves are a part of. It follows the capacity of a
	// share that has grown only as fast as the tokens can beside the measured
	// demand, so that a larger share never leads to refusals.
	ceiling lagoonbarrow.WorkUnits
	last    time.Time
	held    holding
	// credits are work of the burst that the owner granted for a short time.
	credits []credit
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
	for len(b.credits) > 0 && !now.Before(b.credits[0].until) {
		b.credits = b.credits[1:]
	}
}

func (b *bucket) add(now time.Time, share lagoonbarrow.WorkUnits, allowed limits) {
	if now.After(b.last) {
		filled := share * lagoonbarrow.WorkUnits(now.Sub(b.last).Seconds())
		surplus := max(filled-b.demand.perSecond.sum()*lagoonbarrow.WorkUnits(now.Sub(b.last).Seconds()), filled*slowCeiling)
		b.tokens += filled
		b.ceiling += surplus
		b.last = now
	}
	// A share below the floor does not take away what a node without any share
	// may hold.
	capacity := allowed.capacity(max(share, allowed.floor))
	b.tokens = min(b.tokens, capacity)
	b.ceiling = min(b.ceiling, capacity)
}

// take takes units and reports whether the bucket was full enough, or when it
// will be.
func (b *bucket) take(now time.Time, units lagoonbarrow.WorkUnits, level lagoonbarrow.Importance, allowed limits) (bool, time.Duration) {
	b.refill(now, allowed)
	b.used = now
	b.demand.add(now, level, units)
	needed := b.ceiling * reserved(level)
	available := b.tokens + b.credit()
	if available > 0 && available >= needed {
		b.spend(units)
		return true, 0
	}
	return false, waitFor(needed-available, b.share(now, allowed))
}

// spend takes tokens before credit. Tokens that are not taken are lost when the
// bucket is full, and the debt of one request is repaid from the share.
func (b *bucket) spend(units lagoonbarrow.WorkUnits) {
	fromTokens := min(units, max(b.tokens, 0))
	b.tokens -= fromTokens
	units -= fromTokens
	for index := range b.credits {
		part := min(units, b.credits[index].units)
		b.credits[index].units -= part
		units -= part
	}
	b.tokens -= units
}

// credit is the sum of the credits, of which refill has dropped the ended ones.
func (b *bucket) credit() lagoonbarrow.WorkUnits {
	sum := lagoonbarrow.WorkUnits(0)
	for _, present := range b.credits {
		sum += present.units
	}
	return sum
}

// missing is the work that the bucket lacks to last for creditLife. A node
// without a share has not measured its demand yet, and asks for the whole rate.
func (b *bucket) missing(now time.Time, allowed limits) lagoonbarrow.WorkUnits {
	demand := b.demand.perSecond.sum()
	if !now.Before(b.held.until) {
		demand = allowed.rate
	}
	lasting := demand * lagoonbarrow.WorkUnits(creditLife.Seconds())
	return max(0, lasting-max(b.tokens, 0)-b.credit())
}

// low reports whether the bucket may run dry before a later report is answered.
func (b *bucket) low() bool {
	return b.tokens+b.credit() < b.ceiling/2
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

// removeExcess takes out the tokens above the capacity of the share, and the
// credit if the tokens last without it.
func (b *bucket) removeExcess(allowed limits) lagoonbarrow.WorkUnits {
	excess := max(0, b.tokens-allowed.capacity(max(b.held.share, allowed.floor)))
	b.tokens -= excess
	if b.tokens >= b.demand.perSecond.sum()*lagoonbarrow.WorkUnits(creditLife.Seconds()) {
		excess += b.credit()
		b.credits = nil
	}
	return excess
}

// acceptCredit adds credit, which ends after all earlier credit. More than the
// burst in all is no valid credit.
func (b *bucket) acceptCredit(now time.Time, added credit, allowed limits) {
	added.units = min(added.units, allowed.burst-b.credit())
	if added.units > 0 && now.Before(added.until) {
		b.credits = append(b.credits, added)
	}
}

// idle reports whether the bucket is no different from a new one.
func (b *bucket) idle(now time.Time, allowed limits) bool {
	b.refill(now, allowed)
	return !now.Before(b.held.until) && b.tokens >= allowed.capacity(allowed.floor)
}
