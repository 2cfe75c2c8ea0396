package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/pkg/event"
)

const (
	// urgentDelay collects customers that become urgent at about the same time in
	// one report.
	urgentDelay = 20 * time.Millisecond
	// ownerAttempts is the number of instances that a report is sent to before the
	// floor applies.
	ownerAttempts = 2
	// idleAfter is the time after which an unused bucket that is full is dropped.
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
			failedUntil: map[lagoonbarrow.InstanceID]time.Time{},
		},
	}
}

// batch is one report that is sent to one owner.
type batch struct {
	owner  lagoonbarrow.Instance
	sentAt time.Time
	report report
}

func (q *Quota) run(ctx context.Context) {
	defer q.done.Done()
	ticker := time.NewTicker(q.minReportInterval())
	defer ticker.Stop()
	for count := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			q.onTimer(ctx, count)
			count++
		case <-q.urgent:
			q.reportUrgent(ctx)
		}
	}
}

// onTimer sends the regular reports at the end of each report interval, and
// urgent reports in between.
func (q *Quota) onTimer(ctx context.Context, count int) {
	if count%checksPerInterval == 0 {
		q.endInterval(ctx)
		return
	}
	q.sendReports(ctx, q.dueEntries(true))
}

// endInterval updates the members, sends the regular reports and drops unused
// state.
func (q *Quota) endInterval(ctx context.Context) {
	q.updateMembers()
	q.dropIdleBuckets()
	q.sendReports(ctx, q.dueEntries(false))
	q.metrics.owned.Update(float64(q.ledger.dropUnused(q.config.Now())))
}

// reportUrgent sends urgent reports after urgentDelay.
func (q *Quota) reportUrgent(ctx context.Context) {
	timer := time.NewTimer(urgentDelay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	q.sendReports(ctx, q.dueEntries(true))
}

func (q *Quota) updateMembers() {
	live := q.config.Roster.Live()
	q.liveNodes.Store(int64(len(live)))
	q.reporting.Lock()
	defer q.reporting.Unlock()
	q.reporter.owners.update(live)
	q.reporter.owners.dropExpiredFailures(q.config.Now())
}

// dueEntries measures and returns the demand that must be reported now. It skips
// customers without requests for the life of a share.
func (q *Quota) dueEntries(urgentOnly bool) []reportEntry {
	now := q.config.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	var entries []reportEntry
	for customer, b := range q.buckets {
		if now.Sub(b.lastUsed) > q.config.ShareLife {
			continue
		}
		if urgentOnly && !q.isUrgent(b, now) || !urgentOnly && q.canSkipReport(b, now) {
			continue
		}
		b.demand.countReport(now, urgentOnly)
		b.demand.measure(now, q.minReportInterval())
		b.demand.reportedAt = now
		entry := reportEntry{
			Customer: customer,
			Demand:   b.demand.perSecond,
		}
		if record, found := q.config.Contracts.Lookup(customer); found && record.Contract != nil {
			b.refill(now, q.limitsOf(record))
			entry.Shortfall = b.shortfall(now, q.limitsOf(record))
		}
		entries = append(entries, entry)
	}
	return entries
}

// sendReports sends entries to their owners. Entries whose owner does not answer
// are sent to the next instance in rank. If that fails too, the floor applies.
func (q *Quota) sendReports(ctx context.Context, entries []reportEntry) {
	for range ownerAttempts {
		batches := q.buildBatches(entries)
		entries = q.sendBatches(ctx, batches)
		if len(entries) == 0 {
			return
		}
	}
	q.recordFloorUse(entries)
}

// buildBatches groups entries by owner and adds the grants in use. It must not be
// called while an earlier batch waits for its answer.
func (q *Quota) buildBatches(entries []reportEntry) []*batch {
	q.reporting.Lock()
	defer q.reporting.Unlock()
	now := q.config.Now()
	byOwner := map[lagoonbarrow.InstanceID]*batch{}
	var batches []*batch
	for _, entry := range entries {
		owner, found := q.reporter.owners.ownerOf(now, entry.Customer)
		if !found {
			continue
		}
		current := byOwner[owner.ID]
		if current == nil || len(current.report.Entries) == maxEntries {
			q.reporter.sequence++
			current = &batch{
				owner:  owner,
				sentAt: now,
				report: report{
					Process:  q.reporter.process,
					Sequence: q.reporter.sequence,
				},
			}
			byOwner[owner.ID] = current
			batches = append(batches, current)
		}
		q.releaseSurplus(now, &entry)
		current.report.Entries = append(current.report.Entries, entry)
	}
	return batches
}

// releaseSurplus gives up the part of the share that exceeds the demand, and enters
// the rest in the report. The owner can then grant that part to other nodes at
// once, instead of after this node has confirmed a smaller share.
func (q *Quota) releaseSurplus(now time.Time, entry *reportEntry) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	b := q.buckets[entry.Customer]
	if b == nil || !now.Before(b.granted.until) {
		return
	}
	if record, found := q.config.Contracts.Lookup(entry.Customer); found && record.Contract != nil {
		b.refill(now, q.limitsOf(record))
	}
	b.granted.share = min(b.granted.share, entry.Demand.sum())
	if record, found := q.config.Contracts.Lookup(entry.Customer); found && record.Contract != nil {
		entry.Returned = b.removeExcess(q.limitsOf(record))
	}
	entry.Grant = b.granted.grant
	entry.ShareInUse = b.granted.share
}

// sendBatches sends all batches and returns the entries of those that failed.
func (q *Quota) sendBatches(ctx context.Context, batches []*batch) []reportEntry {
	failures := make([]bool, len(batches))
	var pending sync.WaitGroup
	for index, current := range batches {
		pending.Add(1)
		task := func() {
			defer pending.Done()
			failures[index] = !q.sendBatch(ctx, current)
		}
		if err := q.workers.Go(task); err != nil {
			failures[index] = true
			pending.Done()
		}
	}
	pending.Wait()
	var failed []reportEntry
	for index, current := range batches {
		if failures[index] {
			q.markOwnerFailed(current)
			failed = append(failed, current.report.Entries...)
		}
	}
	return failed
}

// sendBatch sends a batch, applies the answer and reports whether there was one.
func (q *Quota) sendBatch(ctx context.Context, current *batch) bool {
	if current.owner.ID == q.config.Roster.Self().ID {
		q.applyAnswer(current, q.grantShares(current.owner.ID, current.report))
		return true
	}
	message, err := frame.EncodeMessage(KindShareRequest, current.report)
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
	received, err := decodeAnswer(reply)
	if err != nil {
		return false
	}
	q.applyAnswer(current, received)
	return true
}

func (q *Quota) markOwnerFailed(current *batch) {
	q.metrics.failedReports.Inc(1)
	q.reporting.Lock()
	defer q.reporting.Unlock()
	q.reporter.owners.markFailed(q.config.Now(), current.owner.ID)
}

// applyAnswer applies the granted shares. Their validity starts when the report was
// sent, which is before the owner starts to count.
func (q *Quota) applyAnswer(current *batch, received answer) {
	now := q.config.Now()
	inReport := map[lagoonbarrow.CustomerID]bool{}
	for _, entry := range current.report.Entries {
		inReport[entry.Customer] = true
	}
	for _, entry := range received.Entries {
		if inReport[entry.Customer] {
			q.applyShare(now, entry, current.sentAt)
		}
	}
}

func (q *Quota) applyShare(now time.Time, entry answerEntry, sent time.Time) {
	record, found := q.config.Contracts.Lookup(entry.Customer)
	if !found || record.Contract == nil {
		return
	}
	allowed := q.limitsOf(record)
	q.mutex.Lock()
	b := q.buckets[entry.Customer]
	if b == nil {
		q.mutex.Unlock()
		return
	}
	before := b.share(now, allowed)
	b.setShare(now, grantedShare{
		grant: entry.Grant,
		share: entry.Share,
		until: sent.Add(q.config.ShareLife),
	}, allowed)
	b.addCredit(now, credit{
		units: entry.Credit,
		until: sent.Add(creditLife),
	}, allowed)
	after := b.share(now, allowed)
	q.mutex.Unlock()
	q.recordShareChange(record, before, after)
}

// recordShareChange records an event for a share that differs by more than a fifth
// from the previous one. Smaller changes happen every second.
func (q *Quota) recordShareChange(record lagoonbarrow.ContractRecord, before, after lagoonbarrow.WorkUnits) {
	if after >= before*0.8 && after <= before*1.2 {
		return
	}
	q.recordEvent(event.QuotaShare, event.Fields{
		Customer:        string(record.Customer),
		ContractVersion: uint64(record.Version),
		Detail:          formatRate(after),
	})
}

// recordFloorUse records an event for each customer without a valid share.
func (q *Quota) recordFloorUse(entries []reportEntry) {
	now := q.config.Now()
	for _, entry := range entries {
		q.mutex.Lock()
		b := q.buckets[entry.Customer]
		floor := b != nil && !now.Before(b.granted.until)
		q.mutex.Unlock()
		if floor {
			q.recordEvent(event.QuotaFloor, event.Fields{
				Customer: string(entry.Customer),
			})
		}
	}
}

// dropIdleBuckets drops unused buckets that equal new ones or whose customer has
// no contract.
func (q *Quota) dropIdleBuckets() {
	now := q.config.Now()
	q.mutex.Lock()
	defer q.mutex.Unlock()
	for customer, b := range q.buckets {
		if now.Sub(b.lastUsed) < idleAfter {
			continue
		}
		record, found := q.config.Contracts.Lookup(customer)
		if !found || record.Contract == nil || b.idle(now, q.limitsOf(record)) {
			delete(q.buckets, customer)
		}
	}
	q.metrics.customers.Update(float64(len(q.buckets)))
}

// Kinds returns the kinds of messages that HandleMessage serves.
func (q *Quota) Kinds() []string {
	return []string{
		KindShareRequest,
	}
}

// HandleMessage answers a report of another node with shares. It returns
// ErrUnavailable before the contracts are loaded, and the node then sends the
// report to the next instance in rank.
func (q *Quota) HandleMessage(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	if message.Kind != KindShareRequest {
		return lagoonbarrow.Message{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "quota: unknown message kind %q", message.Kind)
	}
	if !q.config.Contracts.Ready() {
		return lagoonbarrow.Message{}, errors.Wrap(lagoonbarrow.ErrUnavailable, "quota: contracts not loaded")
	}
	received, err := decodeReport(message)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	return frame.EncodeMessage(KindShareAnswer, q.grantShares(from, received))
}

// grantShares grants shares as the owner. It omits customers without a contract in
// the registry.
func (q *Quota) grantShares(from lagoonbarrow.InstanceID, received report) answer {
	now := q.config.Now()
	var shares answer
	sender := holder{
		instance: from,
		process:  received.Process,
	}
	for _, entry := range received.Entries {
		record, found := q.config.Contracts.Lookup(entry.Customer)
		if !found || record.Contract == nil {
			continue
		}
		share, granted := q.ledger.grant(now, sender, received.Sequence, entry, *record.Contract)
		if !granted {
			continue
		}
		q.metrics.grants.Inc(1)
		shares.Entries = append(shares.Entries, share)
	}
	return shares
}
