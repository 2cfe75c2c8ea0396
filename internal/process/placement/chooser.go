// Package placement chooses the instance that a request is sent to, by measured
// latency, load and failures. It prefers the node's own availability zone and uses
// other zones when the instances of its own are full, slow or failing.
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
	// busyUtilisation is the utilisation above which an instance counts as slower.
	busyUtilisation = 0.6
	// busyCost is the relative increase of the cost per unit of utilisation above
	// busyUtilisation. With all slots in use and a short queue, it exceeds zoneCosts.
	busyCost = 3.5
	// failureCost is the added cost of an instance that fails all requests, on top of
	// the time to repeat them, because its callers lose the request. An instance that
	// fails a quarter of its requests costs more than one in another zone. One that
	// lost a single answer doesn't.
	failureCost = 5.0
	// ownZoneSample and otherZonesSample bound the number of instances compared. If
	// all were compared, many callers would choose the same instance at once.
	ownZoneSample    = 4
	otherZonesSample = 3
)

// zoneCosts holds the added cost of an instance in another availability zone for requests
// of each importance, in units of the latency of the fastest candidate. Traffic between
// zones is charged for. A critical request on a slow server runs into its timeout more
// often, and a write is lost then, so it leaves the zone of a slow server earlier.
var zoneCosts = [...]float64{
	lagoonbarrow.ImportanceNone:       1.5,
	lagoonbarrow.ImportanceDeferrable: 1.5,
	lagoonbarrow.ImportanceNormal:     1.5,
	lagoonbarrow.ImportanceCritical:   0.7,
}

// Config configures a Chooser.
type Config struct {
	Zone lagoonbarrow.Zone
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// Seed makes the choices reproducible; 0 selects a random seed.
	Seed uint64
	// ByCapacity shares requests in proportion to what the servers can take, as far as
	// their nodes report slot times.
	ByCapacity bool
}

// Chooser holds the statistics of all instances that this node calls.
type Chooser struct {
	config Config

	mu        sync.Mutex
	random    *rand.Rand
	instances map[lagoonbarrow.InstanceID]*instanceStats
	routes    map[lagoonbarrow.RouteName]*routeLatency
	// avoidedUntil is the latest end of all avoidances. After it, no instance has to be
	// looked up to know that it is not avoided.
	avoidedUntil time.Time
	// ownZone, otherZones and avoided are buffers of candidates.
	ownZone, otherZones, avoided []*lagoonbarrow.Instance
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
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, config.Seed)),
		instances: map[lagoonbarrow.InstanceID]*instanceStats{},
		routes:    map[lagoonbarrow.RouteName]*routeLatency{},
	}
}

// Choice is a chosen instance.
type Choice struct {
	Instance lagoonbarrow.Instance
	// Full is set when all slots of the instance are in use, or all of the limit that its
	// server names, according to its last load report or, without a recent one, to the
	// requests that this node has in flight.
	Full bool
	// Last is set when no other instance is left to try.
	Last bool
	// Announcement is what the instance's backend server has said about itself; nil if
	// that was nothing.
	Announcement *lagoonbarrow.Announcement
}

// Demand describes a request that needs an instance.
type Demand struct {
	// Tried holds the instances that are not chosen again.
	Tried []lagoonbarrow.InstanceID
	// Importance is that of the client's request, also for its nested calls.
	Importance lagoonbarrow.Importance
}

// Pick chooses one of the instances of a service. It returns ErrNoInstance when none is
// left.
func (c *Chooser) Pick(instances []lagoonbarrow.Instance, demand Demand) (Choice, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	candidates, left := c.candidates(instances, demand.Tried, now)
	if len(candidates) == 0 {
		return Choice{}, lagoonbarrow.ErrNoInstance
	}
	best := c.byCapacity(candidates, demand.Importance, now)
	if best == nil {
		best = c.cheapest(candidates, demand.Importance, now)
	}
	choice := Choice{
		Instance:     *best,
		Full:         c.statsOf(best.ID).utilisation(best, now) >= 1,
		Last:         left == 1,
		Announcement: c.statsOf(best.ID).announced.toPassOn(now),
	}
	c.statsOf(best.ID).recordChoice(now)
	c.extendAvoidance(best.ID)
	return choice, nil
}

// cheapest returns the candidate with the lowest cost.
func (c *Chooser) cheapest(candidates []*lagoonbarrow.Instance, importance lagoonbarrow.Importance, now time.Time) *lagoonbarrow.Instance {
	lowestSlowness := c.lowestSlowness(candidates, now)
	zoneCost := zoneCosts[importance]
	best := candidates[0]
	bestCost := c.cost(best, lowestSlowness, zoneCost, now)
	for _, other := range candidates[1:] {
		if cost := c.cost(other, lowestSlowness, zoneCost, now); cost < bestCost {
			best = other
			bestCost = cost
		}
	}
	return best
}

// candidates returns a sample of the instances that are not in tried. It includes
// avoided instances only if there are no others. left counts all that are not in tried.
func (c *Chooser) candidates(instances []lagoonbarrow.Instance, tried []lagoonbarrow.InstanceID, now time.Time) (chosen []*lagoonbarrow.Instance, left int) {
	ownZone, otherZones, avoided := c.ownZone[:0], c.otherZones[:0], c.avoided[:0]
	anyAvoided := now.Before(c.avoidedUntil)
	for i := range instances {
		instance := &instances[i]
		if slices.Contains(tried, instance.ID) {
			continue
		}
		left++
		switch {
		case anyAvoided && c.statsOf(instance.ID).avoided(now):
			avoided = append(avoided, instance)
		case instance.Zone == c.config.Zone:
			ownZone = append(ownZone, instance)
		default:
			otherZones = append(otherZones, instance)
		}
	}
	c.ownZone, c.otherZones, c.avoided = ownZone, otherZones, avoided
	chosen = append(c.sample(ownZone, ownZoneSample), c.sample(otherZones, otherZonesSample)...)
	if len(chosen) == 0 {
		chosen = c.sample(avoided, ownZoneSample)
	}
	return chosen, left
}

// sample shuffles the instances in place and returns up to the given number of them.
func (c *Chooser) sample(instances []*lagoonbarrow.Instance, limit int) []*lagoonbarrow.Instance {
	for i := len(instances) - 1; i > 0; i-- {
		j := c.random.IntN(i + 1)
		instances[i], instances[j] = instances[j], instances[i]
	}
	return instances[:min(limit, len(instances))]
}

// lowestSlowness returns the slowness of the fastest candidate.
func (c *Chooser) lowestSlowness(candidates []*lagoonbarrow.Instance, now time.Time) float64 {
	lowest := silentRatio
	for _, candidate := range candidates {
		lowest = min(lowest, c.statsOf(candidate.ID).slowness(now))
	}
	return lowest
}

// cost estimates the cost of a request to the instance, in units of the latency of
// the fastest candidate.
func (c *Chooser) cost(instance *lagoonbarrow.Instance, lowestSlowness, zoneCost float64, now time.Time) float64 {
	stats := c.statsOf(instance.ID)
	cost := stats.slowness(now) / lowestSlowness
	busy := stats.utilisation(instance, now) - busyUtilisation
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

func (c *Chooser) statsOf(id lagoonbarrow.InstanceID) *instanceStats {
	found, ok := c.instances[id]
	if !ok {
		found = &instanceStats{
			latencyRatio: 1,
		}
		c.instances[id] = found
	}
	return found
}

// RetainInstances deletes the statistics of instances that are not in ids.
func (c *Chooser) RetainInstances(ids map[lagoonbarrow.InstanceID]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.instances, func(id lagoonbarrow.InstanceID, _ *instanceStats) bool { return !ids[id] })
}

// RetainRoutes deletes the latencies of routes that are not in names.
func (c *Chooser) RetainRoutes(names map[lagoonbarrow.RouteName]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.routes, func(name lagoonbarrow.RouteName, _ *routeLatency) bool { return !names[name] })
}

// Flight is a request in flight.
type Flight struct {
	chooser *Chooser
	stats   *instanceStats
	route   lagoonbarrow.RouteName
}

// StartRequest records that a request is sent to an instance.
func (c *Chooser) StartRequest(id lagoonbarrow.InstanceID, route lagoonbarrow.RouteName) *Flight {
	c.mu.Lock()
	defer c.mu.Unlock()
	flight := &Flight{
		chooser: c,
		stats:   c.statsOf(id),
		route:   route,
	}
	flight.stats.begin(c.config.Now())
	return flight
}

// End records the result of the request.
func (f *Flight) End(observed lagoonbarrow.Observation) {
	c := f.chooser
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.config.Now()
	f.stats.end(now, observed)
	if observed.Latency <= 0 {
		return
	}
	expected, ok := c.routes[f.route]
	if !ok {
		expected = &routeLatency{}
		c.routes[f.route] = expected
	}
	seconds := observed.Latency.Seconds()
	if !observed.Failed {
		f.stats.addLatencyRatio(now, expected.add(seconds))
		return
	}
	// A late failure shows that the instance is slow, but an early one doesn't show
	// that it is fast.
	if ratio := expected.ratio(seconds); ratio > 1 {
		f.stats.addLatencyRatio(now, ratio)
	}
}

// Unreachable records that the connection to the instance failed.
func (c *Chooser) Unreachable(id lagoonbarrow.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.statsOf(id).avoid(c.config.Now())
	c.extendAvoidance(id)
}

// extendAvoidance updates the latest end of all avoidances.
func (c *Chooser) extendAvoidance(id lagoonbarrow.InstanceID) {
	if until := c.statsOf(id).avoidedUntil; until.After(c.avoidedUntil) {
		c.avoidedUntil = until
	}
}
