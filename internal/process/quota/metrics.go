package quota

import "github.com/uber-go/tally/v4"

type metrics struct {
	admitted      tally.Counter
	refused       tally.Counter
	reports       tally.Counter
	failedReports tally.Counter
	grants        tally.Counter
	customers     tally.Gauge
	owned         tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		admitted:      scope.Counter("admitted"),
		refused:       scope.Counter("refused"),
		reports:       scope.Counter("reports"),
		failedReports: scope.Counter("reports-failed"),
		grants:        scope.Counter("grants"),
		customers:     scope.Gauge("customers"),
		owned:         scope.Gauge("owned-customers"),
	}
}
