package quota

import (
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// extraBurstTime and extraBurst raise the capacity of a bucket above the burst, because
	// nodes take several tokens at once. Both, and the tokens of tokenLife that were granted
	// before a window of 5 s, fit into the tolerance of 10 % and 20 requests.
	extraBurstTime = 100 * time.Millisecond
	extraBurst     = 4
	// minWholeShare is the least share with a capacity of one token. Several keepers of a
	// group have at most its inverse of such tokens together.
	minWholeShare = 0.125
	// reserveTime is the part of the rate, as a time, below which tokens are rationed while the
	// demand exceeds the rate.
	reserveTime = 50 * time.Millisecond
	// aheadReserve is the fraction of the capacity that is not granted ahead. Tokens granted
	// ahead may expire unused, which must not take the burst from requests within the rate.
	aheadReserve = 0.5
	// limitedInterval is the time between two messages of a node whose customer exceeds its
	// rate. It is shorter than tokenLife, because the granted tokens are for this time.
	limitedInterval = 200 * time.Millisecond
	// maxHold bounds the time in which a node refuses requests without asking again.
	maxHold = time.Second
	// minHold bounds the messages for a customer with few tokens left.
	minHold = 10 * time.Millisecond
)

// customerAccount is the bucket of one customer at its keeper. It addresses the load of a customer
// that sends more than its rate through many nodes.
type customerAccount struct {
	rate   float64
	burst  float64
	tokens float64
	// filledAt is the sum of shares over time, in seconds, up to which the bucket is filled.
	filledAt float64
	used     average
	demand   average
	// carry is the fraction of a token that rationing has not granted yet.
	carry float64
}

// capacity returns the most tokens that the bucket holds at a share of the votes.
func (a *customerAccount) capacity(share float64) float64 {
	capacity := (a.burst + a.rate*extraBurstTime.Seconds() + extraBurst) * share
	if share >= minWholeShare {
		return max(capacity, 1)
	}
	return capacity
}

// settle fills the bucket up to the sum of shares over time. Without votes it is empty.
func (a *customerAccount) settle(filled, share float64) {
	a.tokens += a.rate * (filled - a.filledAt)
	a.filledAt = filled
	a.tokens = min(a.tokens, a.capacity(share))
}

// configure applies the limit in force. A lower one applies to the tokens in the bucket too.
func (a *customerAccount) configure(customer *lagoonbarrow.Customer, share float64) {
	a.rate = customer.RequestsPerSecond
	a.burst = customer.BurstRequests
	a.tokens = min(a.tokens, a.capacity(share))
}

// restore adds tokens that a node has not used.
func (a *customerAccount) restore(now time.Duration, returned int, share float64) {
	a.used.add(now, -float64(returned))
	a.tokens = min(a.tokens+float64(returned), a.capacity(share))
}

// pressure returns the demand as a fraction of the rate at a share. Without votes it is not
// known, and 0.
func (a *customerAccount) pressure(now time.Duration, share float64) float64 {
	if share <= 0 {
		return 0
	}
	return a.demand.perSecond(now) / (a.rate * share)
}

// grant grants tokens for waiting requests, and for those that are expected ahead. If not
// all waiting ones get a token, it returns the time after which the node may ask again.
func (a *customerAccount) grant(now time.Duration, share float64, waiting, ahead int) (int, time.Duration) {
	reserve := a.rate * share * reserveTime.Seconds()
	pressure := a.pressure(now, share)
	allowed := float64(waiting) + min(float64(ahead), max(0, a.tokens-float64(waiting)-a.capacity(share)*aheadReserve))
	rationed := pressure > 1 && a.tokens < float64(waiting+ahead)+reserve
	if rationed {
		// Each node gets the same fraction of what it asks for, whichever asks first.
		allowed = min(float64(waiting+ahead), float64(waiting+ahead)/pressure+a.carry)
	}
	granted := math.Floor(max(0, min(allowed, a.tokens)))
	a.carry = 0
	if rationed {
		a.carry = min(allowed-granted, 1)
	}
	a.tokens -= granted
	a.used.add(now, granted)
	if int(granted) >= waiting {
		return int(granted), 0
	}
	return int(granted), a.hold(share, rationed)
}

// hold returns the time until the next token, at most maxHold.
func (a *customerAccount) hold(share float64, rationed bool) time.Duration {
	hold := maxHold.Seconds()
	if filling := a.rate * share; filling > 0 {
		hold = (1 - a.tokens) / filling
	}
	if rationed {
		hold = max(hold, limitedInterval.Seconds())
	}
	return min(max(time.Duration(min(hold, maxHold.Seconds())*float64(time.Second)), minHold), maxHold)
}
