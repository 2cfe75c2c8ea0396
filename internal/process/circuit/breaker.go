// Package circuit refuses requests whose runs would fail because their downstream calls
// fail. It answers a load in which a service below rejects or loses its calls although
// it has free slots, so that no threshold rises.
//
// A run that fails can't be repeated if it is a write, and wastes the work of all
// services above the failure. A refused request may return. The chance that it is
// served then is the chance that the failures have ended. How long they last is
// unknown; failures that have lasted for a time t end within the next r with a
// probability of about r/(t+r). Requests are refused only while fewer runs succeed than
// that. While some runs succeed, lasting failures are therefore not answered by refusals
// for long. While none does, a refusal costs its client nothing.
package circuit

import (
	"math"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// returnTime is when refused clients return, on average.
	returnTime = time.Second
	// maxRefusedChance is the highest chance of success at which requests are refused. It
	// bounds what is lost if the failures do not end.
	maxRefusedChance = 0.15
	// recoveredChance is the chance of success above which the failures have ended.
	recoveredChance = 0.8
	// halfLife is the half-life of the observed runs.
	halfLife = 500 * time.Millisecond
	// minRuns is the number of recent runs needed to open the circuit.
	minRuns = 4
	// probeInterval is the time between the runs that are allowed while the circuit is
	// open. Their results show when the failures end.
	probeInterval = 500 * time.Millisecond
	// forgetTime is the time after which a class without runs is forgotten.
	forgetTime = 10 * time.Second
)

// Config configures a Breaker.
type Config struct {
	// Now returns the current time; time.Now by default.
	Now func() time.Time
}

// Breaker holds the circuits of the classes of client requests that one backend server
// runs.
type Breaker struct {
	config Config

	mu       sync.Mutex
	classes  map[lagoonbarrow.ClassName]*circuit
	prunedAt time.Time
}

// circuit is the state of one class.
type circuit struct {
	// succeeded and failed count the recent runs, with exponential decay.
	succeeded float64
	failed    float64
	updatedAt time.Time
	// failingSince is when the failures began; zero while there are none.
	failingSince time.Time
	open         bool
	probedAt     time.Time
}

// New returns a breaker with closed circuits.
func New(config Config) *Breaker {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Breaker{
		config:  config,
		classes: map[lagoonbarrow.ClassName]*circuit{},
	}
}

// Allow reports whether a request of the class may run, and whether the circuit was
// closed because the failures have lasted too long to be answered by refusals.
func (b *Breaker) Allow(class lagoonbarrow.ClassName) (allowed, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, found := b.classes[class]
	if !found || !c.open {
		return true, false
	}
	now := b.config.Now()
	if c.chance() >= c.refusedChance(now) {
		c.open = false
		return true, true
	}
	if now.Sub(c.probedAt) < probeInterval {
		return false, false
	}
	c.probedAt = now
	return true, false
}

// Record adds the result of a run: whether it succeeded, or failed because one of its
// downstream calls failed. Runs that failed by themselves are not recorded. It reports
// whether the circuit was opened or closed.
func (b *Breaker) Record(class lagoonbarrow.ClassName, succeeded bool) (opened, closed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.config.Now()
	c, found := b.classes[class]
	if !found {
		if succeeded {
			return false, false
		}
		b.prune(now)
		c = &circuit{
			updatedAt: now,
		}
		b.classes[class] = c
	}
	wasOpen := c.open
	c.record(succeeded, now)
	return c.open && !wasOpen, wasOpen && !c.open
}

// prune forgets classes without recent runs. The caller holds the mutex.
func (b *Breaker) prune(now time.Time) {
	if now.Sub(b.prunedAt) < forgetTime {
		return
	}
	b.prunedAt = now
	for class, c := range b.classes {
		if now.Sub(c.updatedAt) > forgetTime {
			delete(b.classes, class)
		}
	}
}

func (c *circuit) record(succeeded bool, now time.Time) {
	if c.open && succeeded {
		// The counts are from before and say little about the state now.
		c.open = false
		c.succeeded = 0
		c.failed = 0
	}
	c.add(succeeded, now)
	if c.succeeded+c.failed < minRuns {
		return
	}
	if c.chance() > recoveredChance {
		c.failingSince = time.Time{}
		return
	}
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
	if !c.open && c.chance() < c.refusedChance(now) {
		c.open = true
		c.probedAt = now
	}
}

// add counts a run. While the circuit is open, the counts don't decay, because the few
// probes replace them slowly.
func (c *circuit) add(succeeded bool, now time.Time) {
	if !c.open {
		decay := math.Exp2(-now.Sub(c.updatedAt).Seconds() / halfLife.Seconds())
		c.succeeded *= decay
		c.failed *= decay
	}
	c.updatedAt = now
	if succeeded {
		c.succeeded++
		return
	}
	c.failed++
}

// chance estimates the chance that a run succeeds. A single success more or less than
// observed is as likely.
func (c *circuit) chance() float64 {
	return (c.succeeded + 0.5) / (c.succeeded + c.failed + 1)
}

// refusedChance returns the chance of success below which requests are refused.
func (c *circuit) refusedChance(now time.Time) float64 {
	lasted := now.Sub(c.failingSince).Seconds()
	ends := returnTime.Seconds() / (lasted + returnTime.Seconds())
	return min(maxRefusedChance, ends)
}
