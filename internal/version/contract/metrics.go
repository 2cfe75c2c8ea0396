package contract

import "github.com/uber-go/tally/v4"

type distributorMetrics struct {
	revision      tally.Gauge
	age           tally.Gauge
	reads         tally.Counter
	failedReads   tally.Counter
	pushes        tally.Counter
	droppedPushes tally.Counter
	pulls         tally.Counter
	failedPulls   tally.Counter
	headBehind    tally.Counter
}

func newDistributorMetrics(scope tally.Scope) distributorMetrics {
	return distributorMetrics{
		revision:      scope.Gauge("contract-revision"),
		age:           scope.Gauge("contract-confirmed-age-seconds"),
		reads:         scope.Counter("contract-platform-reads"),
		failedReads:   scope.Counter("contract-platform-reads-failed"),
		pushes:        scope.Counter("contract-pushes"),
		droppedPushes: scope.Counter("contract-pushes-dropped"),
		pulls:         scope.Counter("contract-pulls"),
		failedPulls:   scope.Counter("contract-pulls-failed"),
		headBehind:    scope.Counter("contract-head-behind"),
	}
}
