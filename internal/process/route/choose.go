package route

import (
	"math"
	"slices"
	"time"

	"lagoonbarrow"
)

// tieTolerance is the relative difference up to which two scores count as a tie.
const tieTolerance = 0.1

// candidate is an instance that Pick may return.
type candidate struct {
	instance *lagoonbarrow.Instance
	// entry is nil for an instance without statistics.
	entry *entry
	rank  rank
}

// rank orders candidates. Only those of the lowest rank found are considered.
type rank uint8

const (
	rankGood rank = iota
	// rankRemote means ready, in another region. Without this rank, two random
	// instances would often both be remote.
	rankRemote
	// rankOutlier means ready, with a latency far above the service's median.
	rankOutlier
	rankSuspect
	// rankFailed means ready, but avoided after a recent failure.
	rankFailed
	rankSuspectFailed
)

func isReady(c *candidate) bool {
	return c.instance.State == lagoonbarrow.StateReady
}

// collect fills r.candidates with the ready and suspect instances that are not in avoid.
func (r *Router) collect(instances []lagoonbarrow.Instance, avoid []lagoonbarrow.InstanceID) {
	r.candidates = r.candidates[:0]
	for i := range instances {
		instance := &instances[i]
		usable := instance.State == lagoonbarrow.StateReady || instance.State == lagoonbarrow.StateSuspect
		if !usable || slices.Contains(avoid, instance.ID) {
			continue
		}
		r.candidates = append(r.candidates, candidate{
			instance: instance,
			entry:    r.entries[instance.ID],
		})
	}
}

// moveToFront reorders candidates so that the matching ones come first, and
// returns these.
func moveToFront(candidates []candidate, matches func(*candidate) bool) []candidate {
	count := 0
	for i := range candidates {
		if matches(&candidates[i]) {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	return candidates[:count]
}

// choose returns the rendezvous owner of the key, an outlier when a trial is due,
// or else the better of two random candidates of the best rank.
func (r *Router) choose(shared *service, key string) *candidate {
	now := r.config.Clock.Now()
	shared.updateMedian(now, r.candidates)
	best := r.rankAll(shared, now)
	if key != "" {
		if owner := r.owner(key); owner != nil {
			return owner
		}
	}
	shared.picks++
	if shared.trialDue(now) {
		if trial := r.trialCandidate(); trial != nil {
			shared.picks = 0
			shared.lastTrial = now
			return trial
		}
	}
	group := moveToFront(r.candidates, func(c *candidate) bool {
		return c.rank == best
	})
	return r.betterOfTwo(group, shared, now)
}

// rankAll ranks the candidates and returns the best rank found.
func (r *Router) rankAll(shared *service, now time.Time) rank {
	best := rankSuspectFailed
	for i := range r.candidates {
		c := &r.candidates[i]
		c.rank = r.rankOf(c, shared, now)
		best = min(best, c.rank)
	}
	return best
}

func (r *Router) rankOf(c *candidate, shared *service, now time.Time) rank {
	ready := isReady(c)
	if c.entry.isAvoided(now) {
		if ready {
			return rankFailed
		}
		return rankSuspectFailed
	}
	if !ready {
		return rankSuspect
	}
	if c.entry != nil {
		c.entry.serviceMedian = shared.median
	}
	if c.instance.Region != r.self.Region {
		return rankRemote
	}
	if c.entry.decayedLatency(now, shared.median) > outlierFactor*shared.median {
		return rankOutlier
	}
	return rankGood
}

// owner returns the rendezvous owner of a key among the ready candidates without
// a recent failure, or nil. It ignores load and latency, so that all nodes agree.
func (r *Router) owner(key string) *candidate {
	keyHash := hashOf(key)
	var owner *candidate
	var highest uint64
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank > rankOutlier {
			continue
		}
		score := mixBits(keyHash ^ hashOf(string(c.instance.ID)))
		if owner == nil || score > highest {
			owner = c
			highest = score
		}
	}
	return owner
}

// trialCandidate returns the outlier without calls in flight whose last call
// ended longest ago, or nil.
func (r *Router) trialCandidate() *candidate {
	var chosen *candidate
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank != rankOutlier || c.entry.inFlight > 0 {
			continue
		}
		if chosen == nil || c.entry.lastSample.Before(chosen.entry.lastSample) {
			chosen = c
		}
	}
	return chosen
}

// betterOfTwo returns the one of two random candidates with the lower score. On a
// tie it prefers this node's availability zone.
func (r *Router) betterOfTwo(group []candidate, shared *service, now time.Time) *candidate {
	if len(group) == 1 {
		return &group[0]
	}
	i := r.random.IntN(len(group))
	j := r.random.IntN(len(group) - 1)
	if j >= i {
		j++
	}
	first := &group[i]
	second := &group[j]
	firstScore := score(first, shared, now)
	secondScore := score(second, shared, now)
	if math.Abs(firstScore-secondScore) <= tieTolerance*max(firstScore, secondScore) {
		if r.sameZone(second) && !r.sameZone(first) {
			return second
		}
		return first
	}
	if secondScore < firstScore {
		return second
	}
	return first
}

// score estimates how long another call to the candidate would take.
func score(c *candidate, shared *service, now time.Time) float64 {
	latency := shared.median
	waiting := 0
	if c.entry != nil {
		latency = c.entry.decayedLatency(now, shared.median)
		waiting = c.entry.inFlight + c.entry.reportedQueue(now)
	}
	if latency <= 0 {
		latency = 1
	}
	return float64(waiting+1) * latency
}

// sameZone reports whether an instance is in this node's availability zone.
func (r *Router) sameZone(c *candidate) bool {
	return c.instance.Region == r.self.Region && c.instance.Zone == r.self.Zone
}
