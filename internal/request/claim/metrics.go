package claim

import (
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// metrics holds the counters and gauges of Claims.
type metrics struct {
	taken     tally.Counter
	refused   tally.Counter
	repeated  tally.Counter
	completed tally.Counter
	voided    tally.Counter
	abandoned tally.Counter
	queued    tally.Gauge
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		taken:     scope.Counter("taken"),
		refused:   scope.Counter("refused"),
		repeated:  scope.Counter("repeated"),
		completed: scope.Counter("completed"),
		voided:    scope.Counter("voided"),
		abandoned: scope.Counter("abandoned"),
		queued:    scope.Gauge("queued"),
	}
}

func (c *Claims) recordEvent(kind event.Kind, request lagoonbarrow.RequestID, customer lagoonbarrow.CustomerID, detail string) {
	if c.config.Recorder == nil {
		return
	}
	c.config.Recorder.Record(kind, event.Fields{
		Request:  string(request),
		Customer: string(customer),
		Detail:   detail,
	})
}

func (c *Claims) recordRefusal(call *lagoonbarrow.Call, found lagoonbarrow.Claim, err error) {
	if errors.Is(err, lagoonbarrow.ErrClaimed) && found.Answer != nil {
		c.metrics.repeated.Inc(1)
		c.recordEvent(event.ClaimRepeated, call.Request, call.Customer, string(found.Attempt))
		return
	}
	c.metrics.refused.Inc(1)
	c.recordEvent(event.ClaimRefused, call.Request, call.Customer, err.Error())
}

func (c *Claims) recordVoidAttempt(call *lagoonbarrow.Call, err error) {
	if err == nil {
		c.metrics.voided.Inc(1)
		c.recordEvent(event.ClaimVoided, call.Request, call.Customer, string(call.Attempt))
		return
	}
	c.recordEvent(event.ClaimUnknown, call.Request, call.Customer, err.Error())
}
