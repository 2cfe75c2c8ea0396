package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"lagoonbarrow"
)

// sweepInterval is the least time between two passes over all holders of a
// customer. With 7,800 holders that report once a second, a pass at each report
// would take 60 million steps a second.
const sweepInterval = 250 * time.Millisecond

// Fractions of the free rate that are granted beyond the demand. A holder's first
// report may be the first of many that arrive within milliseconds. With 0.5 for
// new holders, the last of four nodes with a tenth of the rate each was refused
// requests for 2 s, until the others gave up shares. With 0.9 for known holders,
// the credit pool filled too slowly for demand that moves each second.
const (
	newHolderHeadroom   = 0.25
	knownHolderHeadroom = 0.6
)

// minShrink is the fraction by which a share must exceed its target before it is
// reduced.
const minShrink = 0.2

// holder is a process that shares are granted to.
type holder struct {
	instance lagoonbarrow.InstanceID
	process  processID
}

// grant is a share that its holder may be using until it expires.
type grant struct {
	id    grantID
	share lagoonbarrow.WorkUnits
	until time.Time
}

// holderState is an owner's record of one holder's demand and grants for one
// customer.
type holderState struct {
	demand     byLevel
	reportedAt time.Time
	sequence   uint64
	// grants holds the grant in use according to the last report, and the grant
	// that answered it.
	grants []grant
}

// account is an owner's record of one customer. demand and outstanding are sums
// over all holders, in which expired grants count until the next sweep.
type account struct {
	holders     map[holder]*holderState
	demand      byLevel
	outstanding lagoonbarrow.WorkUnits
	sweptAt     time.Time
	pool        creditPool
}

// ledger holds the shares that this process granted as the owner of customers.
type ledger struct {
	shareLife time.Duration
	started   time.Time
	// mutex guards the fields below.
	mutex     sync.Mutex
	nextGrant grantID
	accounts  map[lagoonbarrow.CustomerID]*account
}

func newLedger(shareLife time.Duration, started time.Time) *ledger {
	return &ledger{
		shareLife: shareLife,
		started:   started,
		nextGrant: grantID(rand.Uint64() >> 1),
		accounts:  map[lagoonbarrow.CustomerID]*account{},
	}
}

// grant answers one entry of a report. It returns false if a later report of the
// same holder arrived first.
func (l *ledger) grant(now time.Time, from holder, sequence uint64, entry reportEntry, contract lagoonbarrow.Contract) (answerEntry, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	rate := contract.WorkUnitsPerSecond
	acct := l.account(entry.Customer)
	acct.updatePool(now, l.started, contract)
	acct.sweep(now, l.shareLife)
	state := acct.holderState(from)
	if sequence <= state.sequence {
		return answerEntry{}, false
	}
	known := state.sequence > 0
	state.sequence = sequence
	state.reportedAt = now
	acct.pool.addReturned(entry.Returned)
	acct.replaceDemand(state.demand, entry.Demand)
	state.demand = entry.Demand
	acct.outstanding -= state.maxShare()
	state.keepGrant(entry.Grant, entry.ShareInUse)
	wanted := stableShare(state.maxShare(), acct.targetShare(entry.Demand, rate, known))
	next := grant{
		id:    l.nextGrant,
		share: max(0, min(wanted, rate-acct.outstanding)),
		until: now.Add(l.shareLife),
	}
	l.nextGrant++
	state.grants = append(state.grants, next)
	acct.outstanding += state.maxShare()
	return answerEntry{
		Customer: entry.Customer,
		Grant:    next.id,
		Share:    next.share,
		Credit:   acct.grantCredit(entry.Shortfall),
	}, true
}

// stableShare returns the current share while it is only a little above the
// target. A reduced share counts as outstanding at its former size until the
// holder confirms it. Reductions at each random change would lose about a tenth
// of the rate.
func stableShare(current, target lagoonbarrow.WorkUnits) lagoonbarrow.WorkUnits {
	if target < current && target >= current*(1-minShrink) {
		return current
	}
	return target
}

func (l *ledger) account(customer lagoonbarrow.CustomerID) *account {
	acct := l.accounts[customer]
	if acct == nil {
		acct = &account{
			holders: map[holder]*holderState{},
		}
		l.accounts[customer] = acct
	}
	return acct
}

func (a *account) holderState(from holder) *holderState {
	state := a.holders[from]
	if state == nil {
		state = &holderState{}
		a.holders[from] = state
	}
	return state
}

// sweep drops expired grants and holders and recomputes the sums, which also
// removes rounding errors.
func (a *account) sweep(now time.Time, shareLife time.Duration) {
	if now.Sub(a.sweptAt) < sweepInterval {
		return
	}
	a.sweptAt = now
	a.demand = byLevel{}
	a.outstanding = 0
	for from, state := range a.holders {
		state.dropExpired(now)
		if len(state.grants) == 0 && now.Sub(state.reportedAt) > shareLife {
			delete(a.holders, from)
			continue
		}
		a.replaceDemand(byLevel{}, state.demand)
		a.outstanding += state.maxShare()
	}
}

func (h *holderState) dropExpired(now time.Time) {
	valid := h.grants[:0]
	for _, g := range h.grants {
		if now.Before(g.until) {
			valid = append(valid, g)
		}
	}
	h.grants = valid
}

// keepGrant drops all grants but the one in use, and reduces that to the share
// that the holder still uses.
func (h *holderState) keepGrant(id grantID, inUse lagoonbarrow.WorkUnits) {
	kept := h.grants[:0]
	for _, g := range h.grants {
		if g.id == id {
			g.share = min(g.share, inUse)
			kept = append(kept, g)
		}
	}
	h.grants = kept
}

// maxShare returns the largest share that the holder may be using. Until it
// reports again, that may be any of the grants.
func (h *holderState) maxShare() lagoonbarrow.WorkUnits {
	largest := lagoonbarrow.WorkUnits(0)
	for _, g := range h.grants {
		largest = max(largest, g.share)
	}
	return largest
}

func (a *account) replaceDemand(before, after byLevel) {
	for index := range a.demand {
		// Rounding must not leave the sum below this holder's demand.
		a.demand[index] = max(a.demand[index]-before[index]+after[index], after[index])
	}
}

// targetShare returns the share for a demand. More important demand is served
// first, because deferrable work on other nodes must not reduce the share for
// critical work. Within a level the rate is split in proportion to the demand. A
// fraction of the rate that remains is added as headroom, half of it in equal
// parts and half in proportion. The rest is kept for nodes that report next. known
// is false for the first report of a holder, for which the fraction is smaller.
func (a *account) targetShare(demand byLevel, rate lagoonbarrow.WorkUnits, known bool) lagoonbarrow.WorkUnits {
	share := lagoonbarrow.WorkUnits(0)
	remaining := rate
	for index, total := range a.demand {
		if total <= 0 {
			continue
		}
		served := min(total, remaining)
		share += served * (demand[index] / total)
		remaining -= served
	}
	total := a.demand.sum()
	if total <= 0 {
		return share
	}
	headroom := remaining * newHolderHeadroom
	if known {
		headroom = remaining * knownHolderHeadroom
	}
	return share + headroom/2*(demand.sum()/total) + headroom/2/lagoonbarrow.WorkUnits(len(a.holders))
}

// dropUnused drops accounts without holders whose pool is full, and returns the
// number of accounts left.
func (l *ledger) dropUnused(now time.Time) int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for customer, acct := range l.accounts {
		if !acct.pool.filledAt.IsZero() {
			acct.fillPool(now)
		}
		acct.sweep(now, l.shareLife)
		if len(acct.holders) == 0 && acct.poolFull() {
			delete(l.accounts, customer)
		}
	}
	return len(l.accounts)
}
