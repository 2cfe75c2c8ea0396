package quota

import "github.com/uber-go/tally/v4"

type limitMetrics struct {
	granted       tally.Counter
	returned      tally.Counter
	refused       tally.Counter
	unknown       tally.Counter
	messages      tally.Counter
	failedKeepers tally.Counter
	votes         tally.Gauge
}

func newLimitMetrics(scope tally.Scope) limitMetrics {
	return limitMetrics{
		granted:       scope.Counter("tokens-granted"),
		returned:      scope.Counter("tokens-returned"),
		refused:       scope.Counter("refused-over-limit"),
		unknown:       scope.Counter("refused-not-known"),
		messages:      scope.Counter("messages"),
		failedKeepers: scope.Counter("keepers-failed"),
		votes:         scope.Gauge("votes-held"),
	}
}
