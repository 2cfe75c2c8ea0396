package quota

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// exceededInterval is the least time between two events for a customer that
	// exceeds its rate.
	exceededInterval = 10 * time.Second
	// reportWorkers is the number of reports that are sent concurrently.
	reportWorkers = 8
	// checksPerInterval is the number of times per report interval that a node
	// checks for urgent reports.
	checksPerInterval = 4
	// lowDemandFraction is the fraction of the share below which steady demand is
	// reported only every second interval.
	lowDemandFraction = 0.5
	// minSteadyReports is the number of reports of steady demand before one is
	// skipped. Without it, the first of many nodes that served a new customer
	// kept their large shares for a second longer.
	minSteadyReports = 3
	// reportQueueSize bounds the reports that wait for a worker.
	reportQueueSize = 256
)

// Quota holds this node's shares, and the shares that it granted as an owner.
type Quota struct {
	config    Config
	metrics   metrics
	ledger    *ledger
	workers   pond.Pool
	liveNodes atomic.Int64
	// mutex guards buckets.
	mutex   sync.Mutex
	buckets map[lagoonbarrow.CustomerID]*bucket
	// reporting guards reporter.
	reporting sync.Mutex
	reporter  reporter
	// urgent wakes the report loop before its next check.
	urgent chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

var (
	_ lagoonbarrow.Quota          = (*Quota)(nil)
	_ lagoonbarrow.MessageHandler = (*Quota)(nil)
)

// New returns a Quota, which uses only floors until Start is called.
func New(config Config) *Quota {
	config = withDefaults(config)
	return &Quota{
		config:   config,
		metrics:  newMetrics(config.Scope),
		ledger:   newLedger(config.ShareLife, config.Now()),
		workers:  pond.NewPool(reportWorkers, pond.WithQueueSize(reportQueueSize)),
		buckets:  map[lagoonbarrow.CustomerID]*bucket{},
		reporter: newReporter(),
		urgent:   make(chan struct{}, 1),
	}
}

// Start starts to report demand. The roster must be running.
func (q *Quota) Start() {
	q.updateMembers()
	ctx, cancel := context.WithCancel(context.Background())
	q.cancel = cancel
	q.done.Add(1)
	go q.run(ctx)
}

// Stop cancels the reports in flight and waits until they have ended.
func (q *Quota) Stop() {
	if q.cancel != nil {
		q.cancel()
	}
	q.done.Wait()
	q.workers.StopAndWait()
}

// Allow takes work units and reports whether they were available. If not,
// the duration is the time to wait before the next attempt. When a customer
// exceeds its rate, deferrable requests are refused first and critical ones last.
// Its first request on a node is admitted from the floor.
func (q *Quota) Allow(record lagoonbarrow.ContractRecord, units lagoonbarrow.WorkUnits, level lagoonbarrow.Importance) (bool, time.Duration) {
	if record.Contract == nil {
		return false, maxWait
	}
	allowed := q.limitsOf(record)
	q.mutex.Lock()
	// The time is read under the lock, because a share may expire while this
	// call waits for it.
	now := q.config.Now()
	b, found := q.buckets[record.Customer]
	if !found {
		b = newBucket(now, allowed)
		q.buckets[record.Customer] = b
	}
	admitted, wait := b.admit(now, units, level, allowed)
	b.demand.refused = b.demand.refused || !admitted
	urgent := q.isUrgent(b, now)
	recordExceeded := !admitted && now.Sub(b.exceededAt) >= exceededInterval
	if recordExceeded {
		b.exceededAt = now
	}
	q.mutex.Unlock()
	if urgent {
		q.wakeReporter()
	}
	q.countResult(record, admitted, recordExceeded)
	return admitted, wait
}

func (q *Quota) limitsOf(record lagoonbarrow.ContractRecord) limits {
	live := q.liveNodes.Load()
	if live == 0 {
		live = int64(max(len(q.config.Roster.Live()), 1))
	}
	return limits{
		rate:  record.Contract.WorkUnitsPerSecond,
		burst: record.Contract.BurstWorkUnits,
		floor: record.Contract.WorkUnitsPerSecond / lagoonbarrow.WorkUnits(live),
	}
}

// isUrgent reports whether the customer's demand must be reported before the
// interval ends: when it has no share and none was requested for one interval,
// when its demand has grown and the bucket refuses requests or is low, or when
// its demand has fallen and other nodes may need the share.
func (q *Quota) isUrgent(b *bucket, now time.Time) bool {
	since := now.Sub(b.demand.reportedAt)
	if !now.Before(b.granted.until) {
		return since >= q.config.ReportInterval
	}
	if since < q.minReportInterval() {
		return false
	}
	if b.demand.hasFallen(now) {
		return true
	}
	scarce := b.demand.refused || b.isLow()
	return scarce && (b.demand.followUps > 0 || b.demand.hasGrown(now))
}

// canSkipReport reports whether a regular report may be skipped: the last one is
// at most about one interval old, the share stays valid beyond the next one, and
// the demand is steady and far below the share.
func (q *Quota) canSkipReport(b *bucket, now time.Time) bool {
	return now.Sub(b.demand.reportedAt) < q.config.ReportInterval*3/2 &&
		b.granted.until.Sub(now) > q.config.ReportInterval*3/2 &&
		b.demand.perSecond.sum() < b.granted.share*lowDemandFraction &&
		!b.isLow() &&
		b.demand.steadyReports >= minSteadyReports && b.demand.isSteady(now)
}

// minReportInterval is the least time between two reports of a customer's demand.
func (q *Quota) minReportInterval() time.Duration {
	return q.config.ReportInterval / checksPerInterval
}

// wakeReporter starts an urgent report, unless one is pending already.
func (q *Quota) wakeReporter() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

// countResult counts a decision, and records a refusal as an event if
// recordExceeded is set.
func (q *Quota) countResult(record lagoonbarrow.ContractRecord, admitted, recordExceeded bool) {
	if admitted {
		q.metrics.admitted.Inc(1)
		return
	}
	q.metrics.refused.Inc(1)
	if recordExceeded {
		q.recordEvent(event.QuotaExceeded, event.Fields{
			Customer:        string(record.Customer),
			ContractVersion: uint64(record.Version),
		})
	}
}

func (q *Quota) recordEvent(kind event.Kind, fields event.Fields) {
	if q.config.Recorder != nil {
		q.config.Recorder.Record(kind, fields)
	}
}
