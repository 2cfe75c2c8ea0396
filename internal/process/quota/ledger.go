package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonbarrow"
)

// sweepInterval bounds how often all holders of a customer are passed over. At
// 7,800 holders that report once a second, passing over all of them at each
// report would take 60 million steps a second.
const sweepInterval = 250 * time.Millisecond

// The parts of the free rate that are handed out. A holder's first report may
// be the first of many that arrive within milliseconds: with half of the free
// rate, the fourth of four nodes with a tenth of the rate each was refused
// requests for 2 s, until the others gave shares back. With 0.9 instead of 0.6
// for the established ones, the pool of the burst filled too slowly for demand
// that moves each second.
const (
	newcomerRoom    = 0.25
	establishedRoom = 0.6
)

// shrinkStep is the part by which a share must be too large to be made smaller.
const shrinkStep = 0.2

// holder is a process that shares are granted to.
type holder struct {
	instance lagoonbarrow.InstanceID
	process  processID
}

// grant is a share that its holder may be using.
type grant struct {
	id    grantID
	share lagoonbarrow.WorkUnits
	until time.Time
}

// claim is what an owner knows of one holder and one customer.
type claim struct {
	demand   byLevel
	reported time.Time
	sequence uint64
	// grants are the one that the holder said to be using, and the last one.
	grants []grant
}

// account is what an owner knows of one customer. The sums are over all
// claims; ended grants count until the next sweep.
type account struct {
	claims      map[holder]*claim
	demand      byLevel
	outstanding lagoonbarrow.WorkUnits
	swept       time.Time
	pool        pool
}

// ledger holds the shares that this process granted as the owner of customers.
type ledger struct {
	life    time.Duration
	started time.Time
	// mutex guards the fields below.
	mutex    sync.Mutex
	next     grantID
	accounts map[lagoonbarrow.CustomerID]*account
}

func newLedger(life time.Duration, started time.Time) *ledger {
	return &ledger{
		life:     life,
		started:  started,
		next:     grantID(rand.Uint64() >> 1),
		accounts: map[lagoonbarrow.CustomerID]*account{},
	}
}

// grant answers one entry of a report. It returns false for a report that was
// overtaken by a later one.
func (l *ledger) grant(now time.Time, from holder, sequence uint64, entry reportEntry, terms lagoonbarrow.Contract) (answerEntry, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate := terms.WorkUnitsPerSecond
	customer := l.account(entry.Customer)
	customer.refill(now, l.started, terms)
	customer.sweep(now, l.life)
	present := customer.claim(from)
	if sequence <= present.sequence {
		return answerEntry{}, false
	}
	established := present.sequence > 0
	present.sequence = sequence
	present.reported = now
	customer.pool.give(entry.Returned)
	customer.replaceDemand(present.demand, entry.Demand)
	present.demand = entry.Demand
	customer.outstanding -= present.largest()
	present.keepOnly(entry.Held, entry.Using)
	wanted := steady(present.largest(), customer.target(entry.Demand, rate, established))
	next := grant{
		id:    l.next,
		share: max(0, min(wanted, rate-customer.outstanding)),
		until: now.Add(l.life),
	}
	l.next++
	present.grants = append(present.grants, next)
	customer.outstanding += present.largest()
	return answerEntry{
		Customer: entry.Customer,
		Grant:    next.id,
		Share:    next.share,
		Credit:   customer.takeCredit(entry.Missing),
	}, true
}

// steady keeps the share in use when it is little above the target. A smaller
// share counts as outstanding at its former size until the holder has confirmed
// it; with each change by chance, about a tenth of the rate would be lost.
func steady(held, target lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if target < held && target >= held*(1-shrinkStep) {
		return held
	}
	return target
}

func (l *ledger) account(customer lagoonbarrow.CustomerID) *account {
	present := l.accounts[customer]
	if present == nil {
		present = &account{
			claims: map[holder]*claim{},
		}
		l.accounts[customer] = present
	}
	return present
}

func (a *account) claim(from holder) *claim {
	present := a.claims[from]
	if present == nil {
		present = &claim{}
		a.claims[from] = present
	}
	return present
}

// sweep drops what has ended and computes the sums anew, which also removes
// rounding errors.
func (a *account) sweep(now time.Time, life time.Duration) {
	if now.Sub(a.swept) < sweepInterval {
		return
	}
	a.swept = now
	a.demand = byLevel{}
	a.outstanding = 0
	for from, present := range a.claims {
		present.expire(now)
		if len(present.grants) == 0 && now.Sub(present.reported) > life {
			delete(a.claims, from)
			continue
		}
		a.replaceDemand(byLevel{}, present.demand)
		a.outstanding += present.largest()
	}
}

func (c *claim) expire(now time.Time) {
	valid := c.grants[:0]
	for _, present := range c.grants {
		if now.Before(present.until) {
			valid = append(valid, present)
		}
	}
	c.grants = valid
}

// keepOnly drops the grants that the holder does not use, and the part of the
// one in use that it gave up.
func (c *claim) keepOnly(held grantID, using lagoonbarrow.WorkUnits) {
	kept := c.grants[:0]
	for _, present := range c.grants {
		if present.id == held {
			present.share = min(present.share, using)
			kept = append(kept, present)
		}
	}
	c.grants = kept
}

// largest returns what the holder may be using at most: until it reports
// again, any of the grants.
func (c *claim) largest() lagoonbarrow.WorkUnits {
	largest := lagoonbarrow.WorkUnits(0)
	for _, present := range c.grants {
		largest = max(largest, present.share)
	}
	return largest
}

func (a *account) replaceDemand(before, after byLevel) {
	for index := range a.demand {
		// Rounding must not leave a sum below the part that is looked at.
		a.demand[index] = max(a.demand[index]-before[index]+after[index], after[index])
	}
}

// target returns the share for a demand. More important demand is served
// first, so that a node with critical work is not held short by browsing on
// other nodes; within a level the rate is split in proportion. Of what nobody
// asked for, most is handed out as room for growth, half in equal parts and
// half in proportion. A part is kept for nodes that report next.
func (a *account) target(demand byLevel, rate lagoonbarrow.WorkUnits, established bool) lagoonbarrow.WorkUnits {
	share := lagoonbarrow.WorkUnits(0)
	left := rate
	for index, total := range a.demand {
		if total <= 0 {
			continue
		}
		served := min(total, left)
		share += served * (demand[index] / total)
		left -= served
	}
	total := a.demand.sum()
	if total <= 0 {
		return share
	}
	room := left * newcomerRoom
	if established {
		room = left * establishedRoom
	}
	return share + room/2*(demand.sum()/total) + room/2/lagoonbarrow.WorkUnits(len(a.claims))
}

// clean drops customers without holders and returns the number left.
func (l *ledger) clean(now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for customer, present := range l.accounts {
		if !present.pool.last.IsZero() {
			present.fill(now)
		}
		present.sweep(now, l.life)
		if len(present.claims) == 0 && present.poolFull() {
			delete(l.accounts, customer)
		}
	}
	return len(l.accounts)
}
