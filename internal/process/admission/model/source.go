package model

import (
	"math"
	"math/rand/v2"
	"time"

	"lagoonbarrow"
)

// Source is a Poisson stream of calls of one operation.
type Source struct {
	Name     string
	Level    lagoonbarrow.Importance
	Long     bool
	Deadline time.Duration
	// Rate returns the calls per second at a time since the start.
	Rate func(since time.Duration) float64
	// Service returns a random service time for one call.
	Service func(*rand.Rand) time.Duration
}

// SteadyFactor is a constant rate factor of 1.
func SteadyFactor(time.Duration) float64 {
	return 1
}

// ConstantRate returns a constant rate.
func ConstantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 {
		return rate
	}
}

// Exponential returns a generator of exponential service times with the given mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
}

// HeavyTail returns a generator of log-normal service times with the given median. The
// given fraction of the calls takes factor times as long.
func HeavyTail(median time.Duration, fraction, factor float64) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		serviceTime := float64(median) * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < fraction {
			serviceTime *= factor
		}
		return time.Duration(serviceTime)
	}
}

// MixedLoad returns sources of filings (critical), lookups (normal) and browsing (deferrable)
// in the ratio 10 : 30 : 60. Together they offer load times the capacity of the slots.
// surge multiplies all rates. Service times are exponential.
func MixedLoad(load float64, slots int, mean, deadline time.Duration, surge func(time.Duration) float64) []*Source {
	capacity := float64(slots) / mean.Seconds()
	newSource := func(name string, level lagoonbarrow.Importance, share float64) *Source {
		return &Source{
			Name:     name,
			Level:    level,
			Deadline: deadline,
			Rate: func(since time.Duration) float64 {
				return load * capacity * share * surge(since)
			},
			Service: Exponential(mean),
		}
	}
	return []*Source{
		newSource("filing", lagoonbarrow.ImportanceCritical, 0.1),
		newSource("lookup", lagoonbarrow.ImportanceNormal, 0.3),
		newSource("browse", lagoonbarrow.ImportanceDeferrable, 0.6),
	}
}
