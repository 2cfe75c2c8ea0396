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
	// Rate is in calls per second, by the time since the start.
	Rate func(since time.Duration) float64
	// Service draws the time that the backend server takes for one call.
	Service func(*rand.Rand) time.Duration
}

// Steady is a rate factor that does not change.
func Steady(time.Duration) float64 {
	return 1
}

// Constant is a rate that does not change.
func Constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 {
		return rate
	}
}

// Exponential draws exponential service times with the given mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
}

// HeavyTail draws service times around the median; a part of the calls takes
// factor times as long.
func HeavyTail(median time.Duration, part, factor float64) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		drawn := float64(median) * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < part {
			drawn *= factor
		}
		return time.Duration(drawn)
	}
}

// Mixture offers load times the capacity of the slots: filings (critical),
// lookups (normal) and browsing (deferrable) in the ratio 10 : 30 : 60. surge
// multiplies all rates. Service times are exponential.
func Mixture(load float64, slots int, mean, deadline time.Duration, surge func(time.Duration) float64) []*Source {
	capacity := float64(slots) / mean.Seconds()
	made := func(name string, level lagoonbarrow.Importance, part float64) *Source {
		return &Source{
			Name:     name,
			Level:    level,
			Deadline: deadline,
			Rate: func(since time.Duration) float64 {
				return load * capacity * part * surge(since)
			},
			Service: Exponential(mean),
		}
	}
	return []*Source{
		made("filing", lagoonbarrow.ImportanceCritical, 0.1),
		made("lookup", lagoonbarrow.ImportanceNormal, 0.3),
		made("browse", lagoonbarrow.ImportanceDeferrable, 0.6),
	}
}
