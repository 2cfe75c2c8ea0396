package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// failedFor is how long an owner that did not answer is passed over: as long
// as the shares it granted before may be valid.
const failedFor = DefaultShareLife

// candidate is an instance that may own customers.
type candidate struct {
	instance lagoonbarrow.Instance
	hash     uint64
}

// owners ranks the instances for each customer by rendezvous hashing.
type owners struct {
	candidates []candidate
	failed     map[lagoonbarrow.InstanceID]time.Time
}

// update takes the present members. Leaving instances own nothing. Suspect ones
// do: most suspicions are refuted, and each change of owner doubles what may be
// granted for 3 s.
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

// of returns the highest-ranked instance that has not just failed.
func (o *owners) of(now time.Time, customer lagoonbarrow.CustomerID) (lagoonbarrow.Instance, bool) {
	customerHash := xxhash.Sum64String(string(customer))
	best := -1
	bestScore := uint64(0)
	for index := range o.candidates {
		score := mix(o.candidates[index].hash ^ customerHash)
		if best >= 0 && score <= bestScore {
			continue
		}
		if now.Before(o.failed[o.candidates[index].instance.ID]) {
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

func (o *owners) fail(now time.Time, id lagoonbarrow.InstanceID) {
	o.failed[id] = now.Add(failedFor)
}

// forget drops failures that are over.
func (o *owners) forget(now time.Time) {
	for id, until := range o.failed {
		if !now.Before(until) {
			delete(o.failed, id)
		}
	}
}

// mix is the finalizer of SplitMix64, which spreads each input bit over all
// output bits.
func mix(value uint64) uint64 {
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}
