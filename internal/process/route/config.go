package route

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
)

// DefaultEntries is twice the number of backend servers that the design plans for.
const DefaultEntries = 16384

// Clock returns the current time. Tests replace it.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Config configures a Router. Zero values select the defaults.
type Config struct {
	// Roster lists the instances of each service. Required.
	Roster lagoonbarrow.Roster
	// Entries limits the number of instances with statistics. At the limit, the least
	// recently used instance without calls in flight is evicted. If all have calls in
	// flight, a new instance is used without statistics.
	Entries int
	// Clock defaults to the system's clock.
	Clock Clock
	// Seed makes the choices reproducible; 0 selects a random seed.
	Seed uint64
	// RoundRobin selects the ready instances in turn, without statistics,
	// penalties or owners. Benchmarks use it as their baseline.
	RoundRobin bool
}

func (c Config) withDefaults() Config {
	if c.Entries <= 0 {
		c.Entries = DefaultEntries
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	return c
}
