// Package placement chooses the instance that a request is sent to, by measured
// latency, load and failures. It prefers the node's own availability zone, and
// uses others when the zone's instances are full, slow or failing.
package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// zoneCost is what another availability zone costs, in units of the latency of the
	// fastest instance compared: bytes between zones are paid for.
	zoneCost = 1.5
	// busyFrom is the utilisation from which an instance counts as slower.
	busyFrom = 0.6
	// busyCost is the added cost at a utilisation of 1 above busyFrom. It exceeds
	// zoneCost when the slots are all in use.
	busyCost = 3.5
	// failureCost is what an instance costs that fails all requests, beside the time
	// of repeating them: its callers lose the request. One that fails a quarter of
	// them costs more than another zone, one that lost a single answer doesn't.
	failureCost = 5.0
	// sampleNear and sampleFar bound the instances that are compared. Comparing all
	// of a large service would send many callers to the same one at once.
	sampleNear = 4
	sampleFar  = 3
)

// Config configures a Chooser.
type Config struct {
	Zone lagoonbarrow.Zone
	// Now tells the time; time.Now by default.
	Now func() time.Time
	// Seed makes the choices repeatable; 0 takes a random one.
	Seed uint64
}

// Chooser holds the statistics of all instances that this node calls.
type Chooser struct {
	config Config

	mu      sync.Mutex
	random  *rand.Rand
	entries map[lagoonbarrow.InstanceID]*entry
	routes  map[lagoonbarrow.RouteName]*usual
}

// New returns a chooser without statistics.
func New(config Config) *Chooser {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Seed == 0 {
		config.Seed = rand.Uint64()
	}
	return &Chooser{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		entries: map[lagoonbarrow.InstanceID]*entry{},
		routes:  map[lagoonbarrow.RouteName]*usual{},
	}
}

// Choice is a chosen instance.
type Choice struct {
	Instance lagoonbarrow.Instance
	// Full is set when all its slots were in use by the last report.
	Full bool
	// Last is set when no other instance is left to try.
	Last bool
}

// Pick chooses among the instances of a service that are not in tried. It returns
// ErrNoInstance when none is left.
func (c *Chooser) Pick(instances []lagoonbarrow.Instance, tried []lagoonbarrow.InstanceID) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	candidates, left := c.candidates(instances, tried, now)
	if len(candidates) == 0 {
		return Choice{}, lagoonbarrow.ErrNoInstance
	}
	fastest := c.fastest(candidates, now)
	best := candidates[0]
	bestCost := c.cost(best, fastest, now)
	for _, other := range candidates[1:] {
		if cost := c.cost(other, fastest, now); cost < bestCost {
			best = other
			bestCost = cost
		}
	}
	choice := Choice{
		Instance: *best,
		Full:     c.entry(best.ID).utilisation(best, now) >= 1,
		Last:     left == 1,
	}
	c.entry(best.ID).try(now)
	return choice, nil
}

// candidates samples the usable instances: those that failed just now only if
// there are no others. left counts all usable ones.
func (c *Chooser) candidates(instances []lagoonbarrow.Instance, tried []lagoonbarrow.InstanceID, now time.Time) (chosen []*lagoonbarrow.Instance, left int) {
	var near, far, failed []*lagoonbarrow.Instance
	for i := range instances {
		instance := &instances[i]
		if slices.Contains(tried, instance.ID) {
			continue
		}
		left++
		switch {
		case c.entry(instance.ID).avoided(now):
			failed = append(failed, instance)
		case instance.Zone == c.config.Zone:
			near = append(near, instance)
		default:
			far = append(far, instance)
		}
	}
	chosen = append(c.sample(near, sampleNear), c.sample(far, sampleFar)...)
	if len(chosen) == 0 {
		chosen = c.sample(failed, sampleNear)
	}
	return chosen, left
}

// sample moves a random choice to the front and returns it.
func (c *Chooser) sample(instances []*lagoonbarrow.Instance, most int) []*lagoonbarrow.Instance {
	c.random.Shuffle(len(instances), func(i, j int) {
		instances[i], instances[j] = instances[j], instances[i]
	})
	return instances[:min(most, len(instances))]
}

// fastest returns the slowness of the fastest candidate.
func (c *Chooser) fastest(candidates []*lagoonbarrow.Instance, now time.Time) float64 {
	fastest := silentRatio
	for _, candidate := range candidates {
		fastest = min(fastest, c.entry(candidate.ID).slowness(now))
	}
	return fastest
}

// cost estimates what a request to the instance costs, in units of the latency of
// the fastest one.
func (c *Chooser) cost(instance *lagoonbarrow.Instance, fastest float64, now time.Time) float64 {
	stats := c.entry(instance.ID)
	cost := stats.slowness(now) / fastest
	busy := stats.utilisation(instance, now) - busyFrom
	if busy > 0 {
		cost *= 1 + busyCost*busy
	}
	success := stats.success(now)
	cost /= success
	cost += failureCost * (1 - success)
	if instance.Zone != c.config.Zone {
		cost += zoneCost
	}
	return cost
}

func (c *Chooser) entry(id lagoonbarrow.InstanceID) *entry {
	found, known := c.entries[id]
	if !known {
		found = &entry{
			ratio: 1,
		}
		c.entries[id] = found
	}
	return found
}

// Keep forgets the instances that are not in the list.
func (c *Chooser) Keep(ids map[lagoonbarrow.InstanceID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.entries, func(id lagoonbarrow.InstanceID, _ *entry) bool { return !ids[id] })
}

// KeepRoutes forgets the latencies of routes that are not in the list.
func (c *Chooser) KeepRoutes(names map[lagoonbarrow.RouteName]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.routes, func(name lagoonbarrow.RouteName, _ *usual) bool { return !names[name] })
}

// Flight is a request under way.
type Flight struct {
	chooser *Chooser
	entry   *entry
	route   lagoonbarrow.RouteName
}

// Started notes a request that is sent to an instance.
func (c *Chooser) Started(id lagoonbarrow.InstanceID, route lagoonbarrow.RouteName) *Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	flight := &Flight{
		chooser: c,
		entry:   c.entry(id),
		route:   route,
	}
	flight.entry.begin(c.config.Now())
	return flight
}

// Ended notes what became of the request.
func (f *Flight) Ended(observed lagoonbarrow.Observation) {
	c := f.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	f.entry.end(now, observed)
	if observed.Latency <= 0 {
		return
	}
	expected, known := c.routes[f.route]
	if !known {
		expected = &usual{}
		c.routes[f.route] = expected
	}
	seconds := observed.Latency.Seconds()
	if !observed.Failed {
		f.entry.addLatency(now, expected.add(seconds))
		return
	}
	// A failure after a long time tells that the instance is slow; a fast one doesn't
	// tell that it is fast.
	if ratio := expected.ratio(seconds); ratio > 1 {
		f.entry.addLatency(now, ratio)
	}
}

// Unreachable notes that no connection to the instance could be opened.
func (c *Chooser) Unreachable(id lagoonbarrow.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(id).avoid(c.config.Now())
}
