package claim

import (
	"cmp"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	defaultCompleteTimeout = time.Second
	defaultAnswerBytes     = 64 << 10
	defaultSettleMargin    = 5 * time.Second
	defaultQueueLength     = 4096
	defaultQueueBytes      = 4 << 20
	defaultWorkers         = 8
	defaultRetryDelay      = 100 * time.Millisecond
	defaultRetryDelayMax   = 2 * time.Second
	defaultStopTimeout     = 2 * time.Second
)

func (c Config) withDefaults() Config {
	c.CompleteTimeout = cmp.Or(c.CompleteTimeout, defaultCompleteTimeout)
	c.SettleMargin = cmp.Or(c.SettleMargin, defaultSettleMargin)
	c.RetryDelay = cmp.Or(c.RetryDelay, defaultRetryDelay)
	c.RetryDelayMax = cmp.Or(c.RetryDelayMax, defaultRetryDelayMax)
	c.StopTimeout = cmp.Or(c.StopTimeout, defaultStopTimeout)
	c.AnswerBytes = cmp.Or(c.AnswerBytes, defaultAnswerBytes)
	c.QueueLength = cmp.Or(c.QueueLength, defaultQueueLength)
	c.QueueBytes = cmp.Or(c.QueueBytes, defaultQueueBytes)
	c.Workers = cmp.Or(c.Workers, defaultWorkers)
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}
