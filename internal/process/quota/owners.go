package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// failedOwnerDelay is how long an owner that did not answer is skipped. The
// shares that it granted before may be valid for as long.
const failedOwnerDelay = DefaultShareLife

// candidate is an instance that may own customers.
type candidate struct {
	instance lagoonbarrow.Instance
	hash     uint64
}

// owners ranks the instances for each customer by rendezvous hashing.
type owners struct {
	candidates  []candidate
	failedUntil map[lagoonbarrow.InstanceID]time.Time
}

// update replaces the candidates. Starting and leaving instances own no customers.
// Suspect ones do, because most suspicions are refuted, and each change of owner
// doubles the rate that may be granted for 3 s.
func (o *owners) update(live []lagoonbarrow.Instance) {
	o.candidates = o.candidates[:0]
	for _, instance := range live {
		if instance.State == lagoonbarrow.StateLeaving || instance.State == lagoonbarrow.StateStarting {
			continue
		}
		o.candidates = append(o.candidates, candidate{
			instance: instance,
			hash:     xxhash.Sum64String(string(instance.ID)),
		})
	}
}

// ownerOf returns the highest-ranked instance that has not failed recently.
func (o *owners) ownerOf(now time.Time, customer lagoonbarrow.CustomerID) (lagoonbarrow.Instance, bool) {
	customerHash := xxhash.Sum64String(string(customer))
	best := -1
	bestScore := uint64(0)
	for index := range o.candidates {
		score := finalizeHash(o.candidates[index].hash ^ customerHash)
		if best >= 0 && score <= bestScore {
			continue
		}
		if now.Before(o.failedUntil[o.candidates[index].instance.ID]) {
			continue
		}
		best = index
		bestScore = score
	}
	if best < 0 {
		return lagoonbarrow.Instance{}, false
	}
	return o.candidates[best].instance, true
}

// ranked returns the instances with the highest ranks, at most the given number of them.
func (o *owners) ranked(customer lagoonbarrow.CustomerID, count int) []lagoonbarrow.Instance {
	customerHash := xxhash.Sum64String(string(customer))
	sorted := slices.Clone(o.candidates)
	slices.SortFunc(sorted, func(a, b candidate) int {
		return cmp.Compare(finalizeHash(b.hash^customerHash), finalizeHash(a.hash^customerHash))
	})
	var instances []lagoonbarrow.Instance
	for _, ranked := range sorted[:min(count, len(sorted))] {
		instances = append(instances, ranked.instance)
	}
	return instances
}

func (o *owners) markFailed(now time.Time, id lagoonbarrow.InstanceID) {
	o.failedUntil[id] = now.Add(failedOwnerDelay)
}

// dropExpiredFailures drops the failures whose delay has passed.
func (o *owners) dropExpiredFailures(now time.Time) {
	for id, until := range o.failedUntil {
		if !now.Before(until) {
			delete(o.failedUntil, id)
		}
	}
}

// finalizeHash applies the finalizer of SplitMix64, in which each input bit affects
// all output bits.
func finalizeHash(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
