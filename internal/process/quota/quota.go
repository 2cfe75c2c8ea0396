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
	// exceededInterval bounds the events of one customer that is over its rate.
	exceededInterval = 10 * time.Second
	// reportWorkers is the number of owners that are sent reports at once.
	reportWorkers = 8
	// quarters is the number of times per report interval that a node looks for
	// urgent reports.
	quarters = 4
	// farBelow is the part of its share below which steady demand is reported at
	// every second tick only.
	farBelow = 0.5
	// calmReports is the number of reports of steady demand before one is left
	// out. Without it, the first of many nodes kept their shares of a customer
	// that had just begun for a second longer.
	calmReports = 3
	// reportQueue bounds the reports that wait for a worker.
	reportQueue = 256
)

// Quota keeps this node's shares, and the shares that it granted as an owner.
type Quota struct {
	config  Config
	metrics metrics
	ledger  *ledger
	pool    pond.Pool
	live    atomic.Int64
	// mutex guards buckets.
	mutex   sync.Mutex
	buckets map[lagoonbarrow.CustomerID]*bucket
	// reporting lets one report run at a time and guards reporter.
	reporting sync.Mutex
	reporter  reporter
	// urgent wakes the report loop for a customer without a share.
	urgent chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

var (
	_ lagoonbarrow.Quota          = (*Quota)(nil)
	_ lagoonbarrow.MessageHandler = (*Quota)(nil)
)

// New returns a Quota that uses floors only before Start.
func New(config Config) *Quota {
	config = withDefaults(config)
	return &Quota{
		config:   config,
		metrics:  newMetrics(config.Scope),
		ledger:   newLedger(config.ShareLife, config.Now()),
		pool:     pond.NewPool(reportWorkers, pond.WithQueueSize(reportQueue)),
		buckets:  map[lagoonbarrow.CustomerID]*bucket{},
		reporter: newReporter(),
		urgent:   make(chan struct{}, 1),
	}
}

// Start begins to report demand. The roster must be running.
func (q *Quota) Start() {
	q.updateMembers()
	ctx, cancel := context.WithCancel(context.Background())
	q.cancel = cancel
	q.done.Add(1)
	go q.run(ctx)
}

// Stop ends the reports and waits for those in flight.
func (q *Quota) Stop() {
	if q.cancel != nil {
		q.cancel()
	}
	q.done.Wait()
	q.pool.StopAndWait()
}

// AllowLevel takes work units and reports whether they were available. If not,
// the duration tells when to try again. A customer that is over its rate is
// refused deferrable requests first and critical ones last. Its first request
// on a node is admitted from the floor.
func (q *Quota) AllowLevel(record lagoonbarrow.ContractRecord, units lagoonbarrow.WorkUnits, level lagoonbarrow.Importance) (bool, time.Duration) {
	if record.Contract == nil {
		return false, maxWait
	}
	allowed := q.limitsOf(record)
	q.mutex.Lock()
	// The time is read after the wait for the lock, so that a share that ended
	// meanwhile is not used.
	now := q.config.Now()
	present, found := q.buckets[record.Customer]
	if !found {
		present = newBucket(now, allowed)
		q.buckets[record.Customer] = present
	}
	admitted, wait := present.take(now, units, level, allowed)
	present.demand.refused = present.demand.refused || !admitted
	urgent := q.isUrgent(present, now)
	report := !admitted && now.Sub(present.exceeded) >= exceededInterval
	if report {
		present.exceeded = now
	}
	q.mutex.Unlock()
	if urgent {
		q.wake()
	}
	q.count(record, admitted, report)
	return admitted, wait
}

func (q *Quota) limitsOf(record lagoonbarrow.ContractRecord) limits {
	live := q.live.Load()
	if live == 0 {
		live = int64(max(len(q.config.Roster.Live()), 1))
	}
	return limits{
		rate:  record.Contract.WorkUnitsPerSecond,
		burst: record.Contract.BurstWorkUnits,
		floor: record.Contract.WorkUnitsPerSecond / lagoonbarrow.WorkUnits(live),
	}
}

// isUrgent reports whether the customer's demand is to be reported before the
// next tick: when it has no share and none was asked for in the last interval,
// when it was refused because its demand has grown, or when its demand is gone
// and other nodes may need the share.
func (q *Quota) isUrgent(present *bucket, now time.Time) bool {
	since := now.Sub(present.demand.reported)
	if !now.Before(present.held.until) {
		return since >= q.config.ReportInterval
	}
	if since < q.shortest() {
		return false
	}
	if present.demand.fallen(now) {
		return true
	}
	scarce := present.demand.refused || present.low()
	return scarce && (present.demand.followUps > 0 || present.demand.grown(now))
}

// mayWait reports whether a report may be left out at a tick: the last one is
// one interval old, the share lasts beyond the next one, and the demand is
// steady and far below it.
func (q *Quota) mayWait(present *bucket, now time.Time) bool {
	return now.Sub(present.demand.reported) < q.config.ReportInterval*3/2 &&
		present.held.until.Sub(now) > q.config.ReportInterval*3/2 &&
		present.demand.perSecond.sum() < present.held.share*farBelow &&
		!present.low() &&
		present.demand.calm >= calmReports && present.demand.steady(now)
}

// shortest is the least time between two reports of a customer's demand.
func (q *Quota) shortest() time.Duration {
	return q.config.ReportInterval / quarters
}

func (q *Quota) wake() {
	select {
	case q.urgent <- struct{}{}:
	default:
	}
}

func (q *Quota) count(record lagoonbarrow.ContractRecord, admitted, report bool) {
	if admitted {
		q.metrics.admitted.Inc(1)
		return
	}
	q.metrics.refused.Inc(1)
	if report {
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
