package platform

import (
	"cmp"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	defaultTimeout        = time.Second
	defaultDialTimeout    = 500 * time.Millisecond
	defaultConcurrency    = 32
	defaultMaxWaiting     = 4096
	defaultMaxBatchWrites = 64
	defaultMaxBatchBytes  = 1 << 20
	defaultFailureLimit   = 5
	defaultProbeInterval  = time.Second
)

func (c Config) withDefaults() Config {
	c.Timeout = cmp.Or(c.Timeout, defaultTimeout)
	c.DialTimeout = cmp.Or(c.DialTimeout, defaultDialTimeout)
	c.ProbeInterval = cmp.Or(c.ProbeInterval, defaultProbeInterval)
	c.Concurrency = cmp.Or(c.Concurrency, defaultConcurrency)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, defaultMaxWaiting)
	c.MaxBatchWrites = cmp.Or(c.MaxBatchWrites, defaultMaxBatchWrites)
	c.MaxBatchBytes = cmp.Or(c.MaxBatchBytes, defaultMaxBatchBytes)
	c.FailureLimit = cmp.Or(c.FailureLimit, defaultFailureLimit)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	return c
}
