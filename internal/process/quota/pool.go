package quota

import (
	"time"

	"lagoonbarrow"
)

// creditPart is the part of the pool that one answer may take, so that a swing
// that reaches many nodes does not leave the last ones without credit. With 0.4,
// two pairs of nodes that swing in turn were refused 2.8 times as much as with
// 0.15.
const creditPart = 0.15

// pool is the part of a customer's burst that its owner grants as credit. It is
// filled at the rate that is not granted in shares, so that shares and credit
// together never exceed the rate in the long run.
type pool struct {
	units lagoonbarrow.WorkUnits
	last  time.Time
	rate  lagoonbarrow.WorkUnits
	burst lagoonbarrow.WorkUnits
}

// refill adds the rate that was not outstanding since the last report. A pool
// that is new holds no more than the process could have filled since it
// started, so that restarts don't give the burst anew.
func (a *account) refill(now, started time.Time, terms lagoonbarrow.Contract) {
	rate := min(a.pool.rate, terms.WorkUnitsPerSecond)
	if a.pool.last.IsZero() {
		a.pool.last = started
		rate = terms.WorkUnitsPerSecond
	}
	a.pool.rate = rate
	a.pool.burst = terms.BurstWorkUnits
	a.fill(now)
	a.pool.rate = terms.WorkUnitsPerSecond
}

func (p *pool) give(returned lagoonbarrow.WorkUnits) {
	p.units = min(p.units+returned, p.burst)
}

func (a *account) takeCredit(missing lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if a.pool.rate <= 0 {
		return 0
	}
	credit := min(missing, a.pool.units*creditPart)
	a.pool.units -= credit
	return credit
}

// fill adds the rate that was not outstanding since the last time. It comes before
// shares that have expired meanwhile are taken out: they were in use until then.
func (a *account) fill(now time.Time) {
	free := max(0, a.pool.rate-a.outstanding)
	if elapsed := now.Sub(a.pool.last).Seconds(); elapsed > 0 {
		a.pool.units += free * lagoonbarrow.WorkUnits(elapsed)
	}
	a.pool.units = min(a.pool.units, a.pool.burst)
	a.pool.last = now
}

// poolFull reports whether the pool, filled just now, is no different from that of
// a new account.
func (a *account) poolFull() bool {
	return a.pool.rate <= 0 || a.pool.units >= a.pool.burst
}
