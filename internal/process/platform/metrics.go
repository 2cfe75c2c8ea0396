package platform

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// latencyBuckets is the number of buckets, which double from 250 µs to about 1 s.
	latencyBuckets   = 13
	minLatencyBucket = 250 * time.Microsecond
	// batchBuckets is the number of buckets, which double from 1 to 64.
	batchBuckets = 7
)

// metrics are the client's tally metrics.
type metrics struct {
	reads        tally.Counter
	writes       tally.Counter
	batches      tally.Counter
	failures     tally.Counter
	probes       tally.Counter
	available    tally.Gauge
	batchSize    tally.Histogram
	readLatency  tally.Histogram
	writeLatency tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	latency := tally.MustMakeExponentialDurationBuckets(minLatencyBucket, 2, latencyBuckets)
	m := &metrics{
		reads:        scope.Counter("reads"),
		writes:       scope.Counter("writes"),
		batches:      scope.Counter("batches"),
		failures:     scope.Counter("failures"),
		probes:       scope.Counter("probes"),
		available:    scope.Gauge("available"),
		batchSize:    scope.Histogram("batch-size", tally.MustMakeExponentialValueBuckets(1, 2, batchBuckets)),
		readLatency:  scope.Histogram("read-latency", latency),
		writeLatency: scope.Histogram("write-latency", latency),
	}
	m.setAvailable(true)
	return m
}

func (m *metrics) setAvailable(available bool) {
	if available {
		m.available.Update(1)
		return
	}
	m.available.Update(0)
}

func (m *metrics) recordRead(began time.Time) {
	m.reads.Inc(1)
	m.readLatency.RecordDuration(time.Since(began))
}

func (m *metrics) recordWrite(began time.Time, writes int) {
	m.batches.Inc(1)
	m.writes.Inc(int64(writes))
	m.batchSize.RecordValue(float64(writes))
	m.writeLatency.RecordDuration(time.Since(began))
}
