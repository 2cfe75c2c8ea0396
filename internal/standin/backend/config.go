// Package backend is a stand-in for a backend server, for tests, benchmarks and
// the demonstration. It sleeps for the service time instead of computing, which
// allows many servers on one machine.
package backend

import (
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Distribution is a probability distribution of service times.
type Distribution string

// Supported distributions of service times.
const (
	// DistributionFixed gives every request the mean.
	DistributionFixed Distribution = "fixed"
	// DistributionUniform ranges from 0.5 to 1.5 times the mean.
	DistributionUniform Distribution = "uniform"
	// DistributionExponential is exponential, capped at ten times the mean.
	DistributionExponential Distribution = "exponential"
)

// Default values of Config.
const (
	defaultSlots       = 70
	defaultServiceTime = 5 * time.Millisecond
	defaultLongFactor  = 20
	defaultColdFactor  = 4
	defaultMaxRuns     = 200000
	defaultConnections = 500
)

// Config configures a Server. Zero values take the defaults.
type Config struct {
	Service lagoonbarrow.ServiceName
	// Address is the listen address. Port 0 lets the system choose a port.
	Address lagoonbarrow.Address
	// Node is the local address of the node beside this backend server. It
	// receives the downstream calls. SetNode changes it.
	Node lagoonbarrow.Address
	// Slots is the number of requests that run at once, 70 by default.
	Slots int
	// QueueLength bounds the requests that wait for a slot. The default is Slots.
	// A negative value disables the queue.
	QueueLength int
	// Connections bounds the open connections, 500 by default.
	Connections int
	// ServiceTime is the mean time of a request without its downstream calls,
	// 5 ms by default.
	ServiceTime time.Duration
	// Distribution of the service times, DistributionFixed by default.
	Distribution Distribution
	// Seed seeds the service times and the random faults of /control.
	Seed uint64
	// LongServiceTime is the mean time for paths that contain "/archive" and for
	// the query long=1. The default is 20 times ServiceTime.
	LongServiceTime time.Duration
	// ColdStart is the period after Start in which the service time is multiplied
	// by ColdFactor, 0 by default.
	ColdStart time.Duration
	// ColdFactor multiplies the service time during ColdStart, 4 by default.
	ColdFactor float64
	// LoadLag is the age of the figures that GET /load returns.
	LoadLag time.Duration
	// Downstream lists the services that each request calls after its service
	// time. A call chain consists of services that each call the next one.
	Downstream []lagoonbarrow.ServiceName
	// Parallel calls the downstream services at the same time.
	Parallel bool
	// Retries is the number of times that the application itself retries a failed
	// downstream call, 0 by default.
	Retries int
	// MaxRuns bounds the stored run records, 200,000 by default. The oldest are
	// dropped first.
	MaxRuns int
}

// applyDefaults replaces zero values by the defaults. It returns ErrInvalid if a
// field is missing or invalid.
func (c *Config) applyDefaults() error {
	if c.Address == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "backend: address is missing")
	}
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.QueueLength == 0 {
		c.QueueLength = c.Slots
	}
	if c.Connections <= 0 {
		c.Connections = defaultConnections
	}
	if c.ServiceTime <= 0 {
		c.ServiceTime = defaultServiceTime
	}
	if c.LongServiceTime <= 0 {
		c.LongServiceTime = defaultLongFactor * c.ServiceTime
	}
	if c.ColdFactor <= 0 {
		c.ColdFactor = defaultColdFactor
	}
	if c.MaxRuns <= 0 {
		c.MaxRuns = defaultMaxRuns
	}
	switch c.Distribution {
	case "":
		c.Distribution = DistributionFixed
	case DistributionFixed, DistributionUniform, DistributionExponential:
	default:
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "backend: unknown distribution %q", c.Distribution)
	}
	return nil
}
