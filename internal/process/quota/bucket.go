package quota

import (
	"time"

	"lagoonbarrow"
)

// maxWait bounds the wait that is returned for a refused request. The share may
// grow in the meantime.
const maxWait = 10 * time.Second

// minCeilingGrowth is the fraction of the share by which the ceiling rises at
// least. It builds up the reserves even while demand exceeds the share.
const minCeilingGrowth = 0.125

// limits holds the limits of a contract, and the floor for the number of live
// nodes.
type limits struct {
	rate  lagoonbarrow.WorkUnits
	burst lagoonbarrow.WorkUnits
	floor lagoonbarrow.WorkUnits
}

// grantedShare is a share that an owner granted to this node.
type grantedShare struct {
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

// bucket is a token bucket that fills at the node's current share. Its capacity
// is the same fraction of the contract's burst as the share is of the rate. The
// fill level that a request requires depends on its importance and not on its
// cost, and one request may take the bucket into debt. Otherwise frequent cheap
// requests would keep the level too low for an expensive one forever.
type bucket struct {
	tokens lagoonbarrow.WorkUnits
	// ceiling is the level that the reserves are fractions of. When the share
	// grows, it rises to the new capacity only as fast as the tokens can under
	// the measured demand, because a larger share must not cause refusals.
	ceiling  lagoonbarrow.WorkUnits
	filledAt time.Time
	granted  grantedShare
	// credits are in the order of their expiry.
	credits []credit
	demand  demand
	// exceededAt is when a refusal was last recorded as an event.
	exceededAt time.Time
	// lastUsed is the time of the last request, admitted or refused.
	lastUsed time.Time
}

func newBucket(now time.Time, allowed limits) *bucket {
	return &bucket{
		tokens:   allowed.capacity(allowed.floor),
		ceiling:  allowed.capacity(allowed.floor),
		filledAt: now,
		demand: demand{
			measuredSince: now,
		},
	}
}

// capacity returns the most work that a bucket holds. It is the share's fraction
// of the burst or of one second of the rate, whichever is more, but at most the
// burst. One second is needed because shares follow the demand no faster. Over
// all nodes that adds up to at most the larger of the two.
func (l limits) capacity(share lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if l.rate <= 0 {
		return 0
	}
	part := min(share/l.rate, 1)
	return min(l.burst, max(l.burst, l.rate)*part)
}

// share returns the share at a time, or the floor without a valid share. A
// contract with a lower rate takes effect at once.
func (b *bucket) share(now time.Time, allowed limits) lagoonbarrow.WorkUnits {
	if now.Before(b.granted.until) {
		return min(b.granted.share, allowed.rate)
	}
	return allowed.floor
}

// refill adds the tokens for the time since the last refill and drops expired
// credit. A share that expired in between counts until then.
func (b *bucket) refill(now time.Time, allowed limits) {
	if b.granted.until.After(b.filledAt) && b.granted.until.Before(now) {
		b.addTokens(b.granted.until, min(b.granted.share, allowed.rate), allowed)
	}
	b.addTokens(now, b.share(now, allowed), allowed)
	for len(b.credits) > 0 && !now.Before(b.credits[0].until) {
		b.credits = b.credits[1:]
	}
}

func (b *bucket) addTokens(now time.Time, share lagoonbarrow.WorkUnits, allowed limits) {
	if now.After(b.filledAt) {
		filled := share * lagoonbarrow.WorkUnits(now.Sub(b.filledAt).Seconds())
		surplus := max(filled-b.demand.perSecond.sum()*lagoonbarrow.WorkUnits(now.Sub(b.filledAt).Seconds()), filled*minCeilingGrowth)
		b.tokens += filled
		b.ceiling += surplus
		b.filledAt = now
	}
	// A share below the floor leaves the bucket the capacity of the floor, which
	// a node without a share has.
	capacity := allowed.capacity(max(share, allowed.floor))
	b.tokens = min(b.tokens, capacity)
	b.ceiling = min(b.ceiling, capacity)
}

// admit takes units and reports whether the bucket was full enough. If not, it
// returns the time until it will be.
func (b *bucket) admit(now time.Time, units lagoonbarrow.WorkUnits, level lagoonbarrow.Importance, allowed limits) (bool, time.Duration) {
	b.refill(now, allowed)
	b.lastUsed = now
	b.demand.record(now, level, units)
	needed := b.ceiling * reservedFraction(level)
	available := b.tokens + b.credit()
	if available > 0 && available >= needed {
		b.spend(units)
		return true, 0
	}
	return false, waitFor(needed-available, b.share(now, allowed))
}

// spend takes tokens before credit, because unused tokens are lost when the bucket
// is full. The rest becomes debt, which is repaid from the share.
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

// credit returns the sum of the credits. refill must have dropped the expired
// ones.
func (b *bucket) credit() lagoonbarrow.WorkUnits {
	sum := lagoonbarrow.WorkUnits(0)
	for _, c := range b.credits {
		sum += c.units
	}
	return sum
}

// shortfall returns the work that the bucket lacks to serve the demand for
// creditLife. A node without a share has not measured its demand yet, and counts
// the whole rate as demand.
func (b *bucket) shortfall(now time.Time, allowed limits) lagoonbarrow.WorkUnits {
	demand := b.demand.perSecond.sum()
	if !now.Before(b.granted.until) {
		demand = allowed.rate
	}
	lasting := demand * lagoonbarrow.WorkUnits(creditLife.Seconds())
	return max(0, lasting-max(b.tokens, 0)-b.credit())
}

// isLow reports whether the bucket may run empty before a later report is
// answered.
func (b *bucket) isLow() bool {
	return b.tokens+b.credit() < b.ceiling/2
}

// reservedFraction returns the fraction of the ceiling that requests of a level
// must leave for more important ones. While critical requests are refused, no
// others are admitted.
func reservedFraction(level lagoonbarrow.Importance) lagoonbarrow.WorkUnits {
	switch level {
	case lagoonbarrow.ImportanceCritical:
		return 0
	case lagoonbarrow.ImportanceNormal:
		return 0.125
	default:
		return 0.25
	}
}

// waitFor returns the time until the share covers the shortfall, at most maxWait.
func waitFor(shortfall, share lagoonbarrow.WorkUnits) time.Duration {
	if share <= 0 || float64(shortfall/share) >= maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(float64(shortfall/share) * float64(time.Second))
}

// setShare replaces the share. Tokens up to now are added at the old one.
func (b *bucket) setShare(now time.Time, granted grantedShare, allowed limits) {
	b.refill(now, allowed)
	b.granted = granted
	b.refill(now, allowed)
}

// removeExcess removes and returns the tokens above the capacity of the share, and
// the credit if the tokens suffice without it.
func (b *bucket) removeExcess(allowed limits) lagoonbarrow.WorkUnits {
	excess := max(0, b.tokens-allowed.capacity(max(b.granted.share, allowed.floor)))
	b.tokens -= excess
	if b.tokens >= b.demand.perSecond.sum()*lagoonbarrow.WorkUnits(creditLife.Seconds()) {
		excess += b.credit()
		b.credits = nil
	}
	return excess
}

// addCredit adds credit that expires after all earlier credit. Credit beyond the
// burst in total is ignored.
func (b *bucket) addCredit(now time.Time, added credit, allowed limits) {
	added.units = min(added.units, allowed.burst-b.credit())
	if added.units > 0 && now.Before(added.until) {
		b.credits = append(b.credits, added)
	}
}

// idle reports whether the bucket has no share and is as full as a new one.
func (b *bucket) idle(now time.Time, allowed limits) bool {
	b.refill(now, allowed)
	return !now.Before(b.granted.until) && b.tokens >= allowed.capacity(allowed.floor)
}
