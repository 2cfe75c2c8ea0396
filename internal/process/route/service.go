package route

import (
	"slices"
	"time"
)

const (
	// maxServices limits the table of services, well above the 1,300 that the design
	// plans for. At the limit, the state of all services is discarded and built up again.
	maxServices = 4096
	// maxMedianAge is how long a computed median is used.
	maxMedianAge = 20 * time.Millisecond
	// outlierFactor is the multiple of the service's median above which the average
	// latency of an instance makes it an outlier.
	outlierFactor = 2
	// picksPerTrial is the number of choices between two trials of outliers. One slow
	// call in 200 does not affect the 99th percentile of latency.
	picksPerTrial = 200
	// maxTrialInterval is the longest time between two trials under low load. By then
	// the decay alone would make most stragglers eligible again.
	maxTrialInterval = 30 * time.Second
)

// service holds the state that all choices among the instances of a service share.
// Router.mu guards it.
type service struct {
	median   float64
	medianAt time.Time
	// picks counts the choices since the last trial.
	picks     int
	lastTrial time.Time
	// next is the round-robin position.
	next uint64
	// scratch is reused to compute the median.
	scratch []float64
}

// updateMedian computes the lower median of the instances' latencies, if the last one
// is too old. At most half of the instances lie above it, so at least one is no outlier.
func (s *service) updateMedian(now time.Time, candidates []candidate) {
	if now.Sub(s.medianAt) < maxMedianAge {
		return
	}
	s.medianAt = now
	s.scratch = s.scratch[:0]
	for i := range candidates {
		if entry := candidates[i].entry; entry != nil && entry.hasLatency {
			s.scratch = append(s.scratch, entry.latency)
		}
	}
	if len(s.scratch) == 0 {
		return
	}
	slices.Sort(s.scratch)
	s.median = s.scratch[(len(s.scratch)-1)/2]
}

// trialDue reports whether it is time to try an outlier again.
func (s *service) trialDue(now time.Time) bool {
	return s.picks >= picksPerTrial || now.Sub(s.lastTrial) >= maxTrialInterval
}
