package claim

import (
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

func positive(value, standard int) int {
	if value > 0 {
		return value
	}
	return standard
}

func positiveDuration(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

func (c Config) withDefaults() Config {
	c.CompleteTimeout = positiveDuration(c.CompleteTimeout, defaultCompleteTimeout)
	c.SettleMargin = positiveDuration(c.SettleMargin, defaultSettleMargin)
	c.RetryDelay = positiveDuration(c.RetryDelay, defaultRetryDelay)
	c.RetryDelayMax = positiveDuration(c.RetryDelayMax, defaultRetryDelayMax)
	c.StopTimeout = positiveDuration(c.StopTimeout, defaultStopTimeout)
	c.AnswerBytes = positive(c.AnswerBytes, defaultAnswerBytes)
	c.QueueLength = positive(c.QueueLength, defaultQueueLength)
	c.QueueBytes = positive(c.QueueBytes, defaultQueueBytes)
	c.Workers = positive(c.Workers, defaultWorkers)
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
