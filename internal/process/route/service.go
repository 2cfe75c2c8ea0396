package route

import (
	"slices"
	"time"
)

const (
	// maxServices bounds the table of services, above the 1,300 that the
	// design plans for. When full, all services are forgotten and measured afresh.
	maxServices = 4096
	// medianAge is how long a computed median is used.
	medianAge = 20 * time.Millisecond
	// outlierFactor is how many times the service's median an instance's average latency must
	// exceed to be left out.
	outlierFactor = 2
	// trialPicks is the number of choices between two trials of outliers. One call
	// in 200 on a straggler stays out of the slowest hundredth.
	trialPicks = 200
	// trialAge is the longest time between two trials under low load. By then the decay
	// alone would bring most stragglers back.
	trialAge = 30 * time.Second
)

// service holds what the choices among the instances of a service share.
// Router.mu guards it.
type service struct {
	median   float64
	medianAt time.Time
	// picks counts the choices since the last trial.
	picks     int
	lastTrial time.Time
	// next is the round-robin position in plain mode.
	next uint64
	// scratch is reused to compute the median.
	scratch []float64
}

// update computes the lower median of the instances' latencies. At most half
// of the instances lie above it, so there is always an instance that is no outlier.
func (s *service) update(now time.Time, candidates []candidate) {
	if now.Sub(s.medianAt) < medianAge {
		return
	}
	s.medianAt = now
	s.scratch = s.scratch[:0]
	for i := range candidates {
		if known := candidates[i].entry; known != nil && known.known {
			s.scratch = append(s.scratch, known.latency)
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
	return s.picks >= trialPicks || now.Sub(s.lastTrial) >= trialAge
}
