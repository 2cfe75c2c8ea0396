package route

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
)

// DefaultEntries is twice the number of backend servers that the design plans for.
const DefaultEntries = 16384

// Clock tells the time; tests replace it.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Config configures a Router. Zero values select the defaults.
type Config struct {
	// Roster knows the instances. Required.
	Roster lagoonbarrow.Roster
	// Entries bounds the instances with statistics. When full, an instance
	// without calls in flight is forgotten, the one used longest ago first; if all have
	// calls in flight, a new instance is used without statistics.
	Entries int
	// Clock defaults to the system's clock.
	Clock Clock
	// Seed makes the choices repeatable; 0 takes a random one.
	Seed uint64
	// Plain chooses round robin over the ready instances, without statistics,
	// penalties or owners. It is the baseline of benchmarks.
	Plain bool
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
