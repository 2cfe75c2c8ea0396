package platform

import (
	"cmp"
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

func (c Config) withDefaults() Config {
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.Concurrency = cmp.Or(c.Concurrency, defaultConcurrency)
	c.Waiting = cmp.Or(c.Waiting, defaultWaiting)
	c.BatchWrites = cmp.Or(c.BatchWrites, defaultBatchWrites)
	c.BatchBytes = cmp.Or(c.BatchBytes, defaultBatchBytes)
	c.FailureLimit = cmp.Or(c.FailureLimit, defaultFailureLimit)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}
