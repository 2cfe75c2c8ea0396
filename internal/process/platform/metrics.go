package platform

import (
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// latencyBuckets from 250 µs double up to about 1 s.
	latencyBuckets     = 13
	firstLatencyBucket = 250 * time.Microsecond
	// batchBuckets from 1 double up to 64.
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
	latency := tally.MustMakeExponentialDurationBuckets(firstLatencyBucket, 2, latencyBuckets)
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
	m.up(true)
	return m
}

func (m *metrics) up(up bool) {
	if up {
		m.available.Update(1)
		return
	}
	m.available.Update(0)
}

func (m *metrics) read(began time.Time) {
	m.reads.Inc(1)
	m.readLatency.RecordDuration(time.Since(began))
}

func (m *metrics) write(began time.Time, writes int) {
	m.batches.Inc(1)
	m.writes.Inc(int64(writes))
	m.batchSize.RecordValue(float64(writes))
	m.writeLatency.RecordDuration(time.Since(began))
}
