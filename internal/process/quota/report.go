package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// urgentDelay gathers the customers that arrive at about the same time into
	// one report.
	urgentDelay = 20 * time.Millisecond
	// attempts is the number of instances asked for a share in one round.
	attempts = 2
	// idleAfter is when an unused bucket that is full again is dropped.
	idleAfter = time.Minute
)

// reporter is the state of this process as a holder of shares.
type reporter struct {
	process  processID
	sequence uint64
	owners   owners
}

func newReporter() reporter {
	return reporter{
		process: processID(rand.Uint64()),
		owners: owners{
			failed: map[lagoonbarrow.InstanceID]time.Time{},
		},
	}
}

// batch is one report that is sent to one owner.
type batch struct {
	owner  lagoonbarrow.Instance
	sent   time.Time
	report report
}

func (q *Quota) run(ctx context.Context) {
	defer q.done.Done()
	ticker := time.NewTicker(q.shortest())
	defer ticker.Stop()
	for count := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.step(ctx, count)
			count++
		case <-q.urgent:
			q.reportUrgent(ctx)
		}
	}
}

// step is a tick at the end of each report interval, and looks for urgent
// reports in between.
func (q *Quota) step(ctx context.Context, count int) {
	if count%quarters == 0 {
		q.tick(ctx)
		return
	}
	q.round(ctx, q.due(true))
}

// tick updates the members and reports the demand of all customers.
func (q *Quota) tick(ctx context.Context) {
	q.updateMembers()
	q.dropIdle()
	q.round(ctx, q.due(false))
	q.metrics.owned.Update(float64(q.ledger.clean(q.config.Now())))
}

// reportUrgent reports customers without a share ahead of the next tick.
func (q *Quota) reportUrgent(ctx context.Context) {
	timer := time.NewTimer(urgentDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	q.round(ctx, q.due(true))
}

func (q *Quota) updateMembers() {
	live := q.config.Roster.Live()
	q.live.Store(int64(len(live)))
	q.reporting.Lock()
	defer q.reporting.Unlock()
	q.reporter.owners.update(live)
	q.reporter.owners.forget(q.config.Now())
}

// due measures and returns the demand that is to be reported now: that of
// customers who asked within the life of a share.
func (q *Quota) due(urgentOnly bool) []reportEntry {
	now := q.config.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var entries []reportEntry
	for customer, present := range q.buckets {
		if now.Sub(present.used) > q.config.ShareLife {
			continue
		}
		if urgentOnly && !q.isUrgent(present, now) || !urgentOnly && q.mayWait(present, now) {
			continue
		}
		present.demand.plan(now, urgentOnly)
		present.demand.measure(now, q.shortest())
		present.demand.reported = now
		entry := reportEntry{
			Customer: customer,
			Demand:   present.demand.perSecond,
		}
		if record, found := q.config.Contracts.Lookup(customer); found && record.Contract != nil {
			present.refill(now, q.limitsOf(record))
			entry.Missing = present.missing(now, q.limitsOf(record))
		}
		entries = append(entries, entry)
	}
	return entries
}

// round reports entries to their owners. Entries whose owner does not answer
// go to the next instance in rank; then the floor applies.
func (q *Quota) round(ctx context.Context, entries []reportEntry) {
	for range attempts {
		batches := q.prepare(entries)
		entries = q.exchange(ctx, batches)
		if len(entries) == 0 {
			return
		}
	}
	q.noteFloor(entries)
}

// prepare groups entries by owner and states the grants in use. It must only
// be called when no earlier batch is waiting for its answer any more.
func (q *Quota) prepare(entries []reportEntry) []*batch {
	q.reporting.Lock()
	defer q.reporting.Unlock()
	now := q.config.Now()
	open := map[lagoonbarrow.InstanceID]*batch{}
	var batches []*batch
	for _, entry := range entries {
		owner, found := q.reporter.owners.of(now, entry.Customer)
		if !found {
			continue
		}
		current := open[owner.ID]
		if current == nil || len(current.report.Entries) == maxEntries {
			q.reporter.sequence++
			current = &batch{
				owner: owner,
				sent:  now,
				report: report{
					Process:  q.reporter.process,
					Sequence: q.reporter.sequence,
				},
			}
			open[owner.ID] = current
			batches = append(batches, current)
		}
		q.release(now, &entry)
		current.report.Entries = append(current.report.Entries, entry)
	}
	return batches
}

// release gives up what the held share exceeds the demand by, and states what
// remains. So the owner can hand it to other nodes at once, and not only when
// it has heard that a smaller share arrived.
func (q *Quota) release(now time.Time, entry *reportEntry) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	present := q.buckets[entry.Customer]
	if present == nil || !now.Before(present.held.until) {
		return
	}
	if record, found := q.config.Contracts.Lookup(entry.Customer); found && record.Contract != nil {
		present.refill(now, q.limitsOf(record))
	}
	present.held.share = min(present.held.share, entry.Demand.sum())
	if record, found := q.config.Contracts.Lookup(entry.Customer); found && record.Contract != nil {
		entry.Returned = present.removeExcess(q.limitsOf(record))
	}
	entry.Held = present.held.grant
	entry.Using = present.held.share
}

// exchange sends all batches and returns the entries of those that failed.
func (q *Quota) exchange(ctx context.Context, batches []*batch) []reportEntry {
	failures := make([]bool, len(batches))
	var pending sync.WaitGroup
	for index, current := range batches {
		pending.Add(1)
		task := func() {
			defer pending.Done()
			failures[index] = !q.deliver(ctx, current)
		}
		if err := q.pool.Go(task); err != nil {
			failures[index] = true
			pending.Done()
		}
	}
	pending.Wait()
	var failed []reportEntry
	for index, current := range batches {
		if failures[index] {
			q.reportFailed(current)
			failed = append(failed, current.report.Entries...)
		}
	}
	return failed
}

func (q *Quota) deliver(ctx context.Context, current *batch) bool {
	if current.owner.ID == q.config.Roster.Self().ID {
		q.accept(current, q.answer(current.owner.ID, current.report))
		return true
	}
	message, err := encode(KindRequest, current.report)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, q.config.ReportTimeout)
	defer cancel()
	q.metrics.reports.Inc(1)
	reply, err := q.config.Transport.Send(ctx, current.owner.Peer, message)
	if err != nil {
		return false
	}
	got, err := decodeAnswer(reply)
	if err != nil {
		return false
	}
	q.accept(current, got)
	return true
}

func (q *Quota) reportFailed(current *batch) {
	q.metrics.failedReports.Inc(1)
	q.reporting.Lock()
	defer q.reporting.Unlock()
	q.reporter.owners.fail(q.config.Now(), current.owner.ID)
}

// accept puts the granted shares in force. Their validity is counted from when
// the report was sent, which is before the owner starts to count.
func (q *Quota) accept(current *batch, got answer) {
	now := q.config.Now()
	asked := map[lagoonbarrow.CustomerID]bool{}
	for _, entry := range current.report.Entries {
		asked[entry.Customer] = true
	}
	for _, entry := range got.Entries {
		if asked[entry.Customer] {
			q.acceptShare(now, entry, current.sent)
		}
	}
}

func (q *Quota) acceptShare(now time.Time, entry answerEntry, sent time.Time) {
	record, found := q.config.Contracts.Lookup(entry.Customer)
	if !found || record.Contract == nil {
		return
	}
	allowed := q.limitsOf(record)
	q.mutex.Lock()
	present := q.buckets[entry.Customer]
	if present == nil {
		q.mutex.Unlock()
		return
	}
	before := present.share(now, allowed)
	present.accept(now, holding{
		grant: entry.Grant,
		share: entry.Share,
		until: sent.Add(q.config.ShareLife),
	}, allowed)
	present.acceptCredit(now, credit{
		units: entry.Credit,
		until: sent.Add(creditLife),
	}, allowed)
	after := present.share(now, allowed)
	q.mutex.Unlock()
	q.noteShare(record, before, after)
}

// noteShare records shares that differ by more than a fifth from the one
// before; smaller steps happen every second.
func (q *Quota) noteShare(record lagoonbarrow.ContractRecord, before, after lagoonbarrow.WorkUnits) {
	if after >= before*0.8 && after <= before*1.2 {
		return
	}
	q.recordEvent(event.QuotaShare, event.Fields{
		Customer:        string(record.Customer),
		ContractVersion: uint64(record.Version),
		Detail:          unitsText(after),
	})
}

func (q *Quota) noteFloor(entries []reportEntry) {
	now := q.config.Now()
	for _, entry := range entries {
		q.mutex.Lock()
		present := q.buckets[entry.Customer]
		floor := present != nil && !now.Before(present.held.until)
		q.mutex.Unlock()
		if floor {
			q.recordEvent(event.QuotaFloor, event.Fields{
				Customer: string(entry.Customer),
			})
		}
	}
}

// dropIdle drops buckets that are no different from new ones.
func (q *Quota) dropIdle() {
	now := q.config.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for customer, present := range q.buckets {
		if now.Sub(present.used) < idleAfter {
			continue
		}
		record, found := q.config.Contracts.Lookup(customer)
		if !found || record.Contract == nil || present.idle(now, q.limitsOf(record)) {
			delete(q.buckets, customer)
		}
	}
	q.metrics.customers.Update(float64(len(q.buckets)))
}

// Kinds returns the kinds of messages that HandleMessage serves.
func (q *Quota) Kinds() []string {
	return []string{
		KindRequest,
	}
}

// HandleMessage answers a report of another node with shares. It returns
// ErrUnavailable before the contracts are loaded, so that the node asks the
// next instance in rank.
func (q *Quota) HandleMessage(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	if message.Kind != KindRequest {
		return lagoonbarrow.Message{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: unknown message kind %q", message.Kind)
	}
	if !q.config.Contracts.Ready() {
		return lagoonbarrow.Message{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "quota: contracts not loaded")
	}
	got, err := decodeReport(message)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	return encode(KindAnswer, q.answer(from, got))
}

// answer grants shares as the owner. Customers whose contract is not known
// here are left out.
func (q *Quota) answer(from lagoonbarrow.InstanceID, got report) answer {
	now := q.config.Now()
	var shares answer
	by := holder{
		instance: from,
		process:  got.Process,
	}
	for _, entry := range got.Entries {
		record, found := q.config.Contracts.Lookup(entry.Customer)
		if !found || record.Contract == nil {
			continue
		}
		share, granted := q.ledger.grant(now, by, got.Sequence, entry, *record.Contract)
		if !granted {
			continue
		}
		q.metrics.grants.Inc(1)
		shares.Entries = append(shares.Entries, share)
	}
	return shares
}
