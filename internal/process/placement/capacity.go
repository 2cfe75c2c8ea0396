package placement

import (
	"math"
	"time"

	"lagoonbarrow"
)

const (
	// utilisationWeight is how strongly a difference in utilisation shifts requests. Reports
	// are up to some hundred milliseconds old. A larger weight sends requests to slow
	// servers, since these report less often and their last report shows less load.
	utilisationWeight = 1.0
	// newServerFactor is the capacity assumed for a server that has not reported a slot time,
	// relative to the slowest of the others. Its first answers show its capacity.
	newServerFactor = 0.5
	// minSlotTime bounds the capacity that another node's report can claim.
	minSlotTime = 100 * time.Microsecond
)

// byCapacity chooses a candidate at random, in proportion to its weight. It is for a service
// whose servers differ in speed, permanently or in spells, with many senders that each see a
// small part of the answers: the slot times that the nodes beside the servers measure show
// the capacity to all senders, and random choices don't let these choose the same server at
// once. It returns nil if no slot time is known.
func (c *Chooser) byCapacity(candidates []*lagoonbarrow.Instance, importance lagoonbarrow.Importance, now time.Time) *lagoonbarrow.Instance {
	if !c.config.ByCapacity {
		return nil
	}
	slowest := time.Duration(0)
	for _, candidate := range candidates {
		slowest = max(slowest, c.statsOf(candidate.ID).load.SlotTime)
	}
	if slowest <= 0 {
		return nil
	}
	weights := make([]float64, 0, ownZoneSample+otherZonesSample)
	total := 0.0
	for _, candidate := range candidates {
		weight := c.statsOf(candidate.ID).weight(candidate, slowest, now)
		if candidate.Zone == c.config.Zone {
			weight *= 1 + zoneCosts[importance]
		}
		weights = append(weights, weight)
		total += weight
	}
	left := total * c.random.Float64()
	for i, weight := range weights {
		left -= weight
		if left < 0 {
			return candidates[i]
		}
	}
	return candidates[len(candidates)-1]
}

// weight returns the requests per second that the instance can take, reduced by its
// utilisation and by failures.
func (s *instanceStats) weight(instance *lagoonbarrow.Instance, slowest time.Duration, now time.Time) float64 {
	slotTime := float64(max(minSlotTime, s.load.SlotTime))
	if s.load.SlotTime <= 0 {
		slotTime = float64(slowest) / newServerFactor
	}
	success := s.success(now)
	// A server that fails fast has a short slot time, which is not a sign of capacity.
	slotTime = max(slotTime, success*slotTime+(1-success)*float64(slowest))
	slots := max(1, instance.Slots)
	if s.load.Limit > 0 {
		// A limit above the slots would be invalid, and would attract all requests.
		slots = min(slots, s.load.Limit)
	}
	capacity := float64(slots) / (slotTime / float64(time.Second))
	cost := 1/success + failureCost*(1-success)
	if s.silent(now) {
		cost *= silentRatio
	}
	// The square keeps almost all requests away from an instance that fails most of them.
	return capacity * math.Exp(-utilisationWeight*s.utilisation(instance, now)) / (cost * cost)
}
