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
		admitted:      scope.Counter("quota-admitted"),
		refused:       scope.Counter("quota-refused"),
		reports:       scope.Counter("quota-reports"),
		failedReports: scope.Counter("quota-reports-failed"),
		grants:        scope.Counter("quota-grants"),
		customers:     scope.Gauge("quota-customers"),
		owned:         scope.Gauge("quota-owned-customers"),
	}
}
