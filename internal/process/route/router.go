// Package route chooses the instance that serves a call: power of two choices
// by calls in flight, reported queue and latency, rendezvous hashing for keys, and
// avoidance of failed instances and stragglers.
package route

import (
	"container/list"
	"math/rand/v2"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Router implements lagoonbarrow.Router. It is safe for concurrent use.
type Router struct {
	config Config
	self   lagoonbarrow.Instance

	mu      sync.Mutex
	random  *rand.Rand
	entries map[lagoonbarrow.InstanceID]*entry
	// recent lists the entries, the most recently used one first.
	recent   *list.List
	services map[lagoonbarrow.ServiceName]*service
	// candidates is a buffer that Pick reuses.
	candidates []candidate
}

var _ lagoonbarrow.Router = (*Router)(nil)

// New returns a router for the instances of a roster. It returns ErrInvalid without
// a roster.
func New(config Config) (*Router, error) {
	if config.Roster == nil {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "route: check roster")
	}
	config = config.withDefaults()
	return &Router{
		config:   config,
		self:     config.Roster.Self(),
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		entries:  map[lagoonbarrow.InstanceID]*entry{},
		recent:   list.New(),
		services: map[lagoonbarrow.ServiceName]*service{},
	}, nil
}

// Pick chooses an instance of the service that is not in avoid. With a key, it
// returns the key's rendezvous owner among the ready instances without a recent
// failure. It returns ErrNoInstance if no ready or suspect instance is left.
//
// Ready instances of this node's region come first, then those of other regions,
// stragglers, suspect instances, and those that failed recently.
func (r *Router) Pick(name lagoonbarrow.ServiceName, key string, avoid []lagoonbarrow.InstanceID) (lagoonbarrow.Instance, error) {
	instances := r.config.Roster.Instances(name)
	r.mu.Lock()
	defer r.mu.Unlock()
	shared := r.service(name)
	r.collect(instances, avoid)
	if len(r.candidates) == 0 {
		return lagoonbarrow.Instance{}, errors.Wrapf(lagoonbarrow.ErrNoInstance, "route: pick an instance of %s", name)
	}
	if r.config.RoundRobin {
		return r.pickRoundRobin(shared), nil
	}
	return *r.choose(shared, key).instance, nil
}

// service returns the state of a service and creates it if it is missing.
func (r *Router) service(name lagoonbarrow.ServiceName) *service {
	if found, known := r.services[name]; known {
		return found
	}
	if len(r.services) >= maxServices {
		clear(r.services)
	}
	added := &service{
		lastTrial: r.config.Clock.Now(),
	}
	r.services[name] = added
	return added
}

// pickRoundRobin chooses round robin, ready instances before suspect ones.
func (r *Router) pickRoundRobin(shared *service) lagoonbarrow.Instance {
	group := r.candidates
	if ready := moveToFront(group, isReady); len(ready) > 0 {
		group = ready
	}
	chosen := group[shared.next%uint64(len(group))]
	shared.next++
	return *chosen.instance
}

// StartCall counts a call in flight. The returned function records the end of the call;
// repeated calls of it have no effect. An Observation with Latency 0 leaves the latency
// average unchanged. Callers use it for refusals, which are fast and would make an
// overloaded instance look fast.
func (r *Router) StartCall(id lagoonbarrow.InstanceID) func(lagoonbarrow.Observation) {
	if r.config.RoundRobin {
		return func(lagoonbarrow.Observation) {}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	used := r.entryFor(id)
	if used == nil {
		return func(lagoonbarrow.Observation) {}
	}
	used.inFlight++
	ended := false
	return func(observed lagoonbarrow.Observation) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if ended {
			return
		}
		ended = true
		used.inFlight--
		used.observe(r.config.Clock.Now(), observed, used.serviceMedian)
	}
}

// entryFor returns the entry of an instance, which it creates if it is missing. It
// returns nil if the table is full of instances with calls in flight.
func (r *Router) entryFor(id lagoonbarrow.InstanceID) *entry {
	if found, known := r.entries[id]; known {
		r.recent.MoveToFront(found.element)
		return found
	}
	if len(r.entries) >= r.config.Entries && !r.evictIdle() {
		return nil
	}
	added := &entry{
		id: id,
	}
	added.element = r.recent.PushFront(added)
	r.entries[id] = added
	return added
}

// evictIdle removes the least recently used entry without calls in flight. It
// reports whether there was one.
func (r *Router) evictIdle() bool {
	for element := r.recent.Back(); element != nil; element = element.Prev() {
		oldest := element.Value.(*entry)
		if oldest.inFlight > 0 {
			continue
		}
		r.recent.Remove(element)
		delete(r.entries, oldest.id)
		return true
	}
	return false
}

func hashOf(text string) uint64 {
	return xxhash.Sum64String(text)
}

// mixBits spreads the bits of a combined hash. It is the finaliser of SplitMix64.
func mixBits(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	value ^= value >> 31
	return value
}
