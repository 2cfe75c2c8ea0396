// Package backend is a small stand-in for a backend server. Tests, benchmarks
// and the demonstration use it. Its work is waiting, so that many of them run on
// one machine.
package backend

import (
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Distribution names a distribution of service times.
type Distribution string

// The distributions of service times.
const (
	// DistributionFixed: every request takes the mean.
	DistributionFixed Distribution = "fixed"
	// DistributionUniform: between half and one and a half times the mean.
	DistributionUniform Distribution = "uniform"
	// DistributionExponential: exponential, cut off at ten times the mean.
	DistributionExponential Distribution = "exponential"
)

// Defaults of Config.
const (
	defaultSlots       = 70
	defaultServiceTime = 5 * time.Millisecond
	defaultLongFactor  = 20
	defaultColdFactor  = 4
	defaultKeepRuns    = 200000
	defaultConnections = 500
)

// Config configures a Server. Zero values take the defaults.
type Config struct {
	Service lagoonbarrow.ServiceName
	// Address to listen on; port 0 lets the system choose.
	Address lagoonbarrow.Address
	// Node is the local address of the node beside this backend server, for
	// downstream calls. SetNode sets it later.
	Node lagoonbarrow.Address
	// Slots is how many requests run at once; 70 by default.
	Slots int
	// QueueLength bounds the requests that wait for a slot; Slots by default, a
	// negative value for none.
	QueueLength int
	// Connections bounds the open connections; 500 by default.
	Connections int
	// ServiceTime is the mean time of one request without its downstream calls;
	// 5 ms by default.
	ServiceTime time.Duration
	// Distribution of the service times; DistributionFixed by default.
	Distribution Distribution
	// Seed of the service times and of the switches of /control.
	Seed uint64
	// LongServiceTime is the mean for paths containing "/archive" and for the query
	// long=1; 20 times ServiceTime by default.
	LongServiceTime time.Duration
	// ColdStart is how long after Start requests take ColdFactor times longer; not
	// at all by default.
	ColdStart time.Duration
	// ColdFactor is 4 by default.
	ColdFactor float64
	// LoadLag is how old the figures of GET /load are.
	LoadLag time.Duration
	// Downstream are the services that are called for each request, after its
	// service time. A chain results from each service calling the next.
	Downstream []lagoonbarrow.ServiceName
	// Parallel calls the downstream services at the same time.
	Parallel bool
	// Retries is how often the application itself repeats a failed downstream
	// call; 0 by default.
	Retries int
	// KeepRuns bounds the kept run records; the oldest go first. 200,000 by default.
	KeepRuns int
}

// complete sets the defaults. It returns ErrInvalid for an unusable config.
func (c *Config) complete() error {
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
	if c.KeepRuns <= 0 {
		c.KeepRuns = defaultKeepRuns
	}
	switch c.Distribution {
	case "":
		c.Distribution = DistributionFixed
	case DistributionFixed, DistributionUniform, DistributionExponential:
	default:
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "backend: distribution %q", c.Distribution)
	}
	return nil
}
