package quota

import (
	"time"

	"lagoonbarrow"
)

// maxCreditFraction is the fraction of the pool that one answer may grant. It
// leaves credit for the last of many nodes whose demand rises together. With 0.4,
// demand that alternated between two pairs of nodes was refused 2.8 times as much
// as with 0.15.
const maxCreditFraction = 0.15

// creditPool is the part of a customer's burst that its owner grants as credit.
// It fills at the rate that is not granted in shares, which keeps shares and
// credit together within the rate in the long run.
type creditPool struct {
	units    lagoonbarrow.WorkUnits
	filledAt time.Time
	rate     lagoonbarrow.WorkUnits
	burst    lagoonbarrow.WorkUnits
}

// updatePool applies the contract and fills the pool. A new pool holds no more
// than the process could have filled since it started, because a restart must
// not grant the burst again.
func (a *account) updatePool(now, started time.Time, contract lagoonbarrow.Contract) {
	rate := min(a.pool.rate, contract.WorkUnitsPerSecond)
	if a.pool.filledAt.IsZero() {
		a.pool.filledAt = started
		rate = contract.WorkUnitsPerSecond
	}
	a.pool.rate = rate
	a.pool.burst = contract.BurstWorkUnits
	a.fillPool(now)
	a.pool.rate = contract.WorkUnitsPerSecond
}

// addReturned adds work that a holder returned with its report.
func (p *creditPool) addReturned(returned lagoonbarrow.WorkUnits) {
	p.units = min(p.units+returned, p.burst)
}

// grantCredit takes credit for a shortfall from the pool and returns it.
func (a *account) grantCredit(shortfall lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if a.pool.rate <= 0 {
		return 0
	}
	credit := min(shortfall, a.pool.units*maxCreditFraction)
	a.pool.units -= credit
	return credit
}

// fillPool adds the part of the rate that was not granted in shares since the last
// fill. It must run before expired shares are removed, because they were in use
// in the meantime.
func (a *account) fillPool(now time.Time) {
	free := max(0, a.pool.rate-a.outstanding)
	if elapsed := now.Sub(a.pool.filledAt).Seconds(); elapsed > 0 {
		a.pool.units += free * lagoonbarrow.WorkUnits(elapsed)
	}
	a.pool.units = min(a.pool.units, a.pool.burst)
	a.pool.filledAt = now
}

// poolFull reports whether the pool equals that of a new account. The pool must
// have been filled just before.
func (a *account) poolFull() bool {
	return a.pool.rate <= 0 || a.pool.units >= a.pool.burst
}
