package platform

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	defaultTimeout       = time.Second
	defaultDialTimeout   = 500 * time.Millisecond
	defaultConcurrency   = 32
	defaultWaiting       = 4096
	defaultBatchWrites   = 64
	defaultBatchBytes    = 1 << 20
	defaultFailureLimit  = 5
	defaultProbeInterval = time.Second
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
	c.Timeout = positiveDuration(c.Timeout, defaultTimeout)
	c.DialTimeout = positiveDuration(c.DialTimeout, defaultDialTimeout)
	c.ProbeInterval = positiveDuration(c.ProbeInterval, defaultProbeInterval)
	c.Concurrency = positive(c.Concurrency, defaultConcurrency)
	c.Waiting = positive(c.Waiting, defaultWaiting)
	c.BatchWrites = positive(c.BatchWrites, defaultBatchWrites)
	c.BatchBytes = positive(c.BatchBytes, defaultBatchBytes)
	c.FailureLimit = positive(c.FailureLimit, defaultFailureLimit)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}
