package call

import (
	"context"
	"time"

	"lagoonbarrow"
)

// doPlain is the baseline for measurements. Every hop retries every failure up to a
// fixed number of times.
func (c *Caller) doPlain(ctx context.Context, account lagoonbarrow.Account, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	answer := lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonDeadline)
	for range c.config.PlainRetries + 1 {
		remaining := time.Until(account.Deadline())
		if remaining <= 0 || ctx.Err() != nil {
			return answer
		}
		instance, err := c.config.Router.Pick(call.Service, "", nil)
		if err != nil {
			return lagoonbarrow.NewRefusal(call.ID, lagoonbarrow.ReasonUnreachable)
		}
		sent := *call
		sent.ID = lagoonbarrow.NewCallID()
		sent.Remaining = remaining
		sent.Attempt = ""
		answer, err = c.send(ctx, instance, &sent)
		if err != nil {
			answer = lagoonbarrow.NewRefusal(sent.ID, lagoonbarrow.ReasonUnreachable)
			answer.Outcome = lagoonbarrow.OutcomeUnknown
			continue
		}
		if answer.Outcome == lagoonbarrow.OutcomeDone && answer.Status < 500 {
			return answer
		}
	}
	return answer
}
