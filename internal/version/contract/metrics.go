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
		revision:      scope.Gauge("revision"),
		age:           scope.Gauge("confirmed-age-seconds"),
		reads:         scope.Counter("platform-reads"),
		failedReads:   scope.Counter("platform-reads-failed"),
		pushes:        scope.Counter("pushes"),
		droppedPushes: scope.Counter("pushes-dropped"),
		pulls:         scope.Counter("pulls"),
		failedPulls:   scope.Counter("pulls-failed"),
		headBehind:    scope.Counter("head-behind"),
	}
}
