package route

import (
	"math"
	"slices"
	"time"

	"lagoonbarrow"
)

// tiePart: scores that differ by less than this part count as a tie.
const tiePart = 0.1

// candidate is an instance that may be chosen.
type candidate struct {
	instance *lagoonbarrow.Instance
	// entry is nil for an instance without statistics.
	entry *entry
	rank  rank
}

// rank orders candidates; the lowest one present is used.
type rank uint8

const (
	rankGood rank = iota
	// rankRemote: ready, in another region. Without this rank, two random
	// instances would often both be remote.
	rankRemote
	// rankOutlier: ready, with a latency far above the service's median.
	rankOutlier
	rankSuspect
	// rankFailed: ready, and failed just now.
	rankFailed
	rankSuspectFailed
)

func readyOnly(c *candidate) bool {
	return c.instance.State == lagoonbarrow.StateReady
}

// collect fills r.candidates with the usable instances.
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

// firstGroup moves the candidates that match to the front and returns them.
func firstGroup(candidates []candidate, matches func(*candidate) bool) []candidate {
	count := 0
	for i := range candidates {
		if matches(&candidates[i]) {
			candidates[count], candidates[i] = candidates[i], candidates[count]
			count++
		}
	}
	return candidates[:count]
}

func (r *Router) choose(shared *service, key string) *candidate {
	now := r.config.Clock.Now()
	shared.update(now, r.candidates)
	best := r.rankAll(shared, now)
	if key != "" {
		if owner := r.owner(key); owner != nil {
			return owner
		}
	}
	shared.picks++
	if shared.trialDue(now) {
		if trial := r.trial(); trial != nil {
			shared.picks = 0
			shared.lastTrial = now
			return trial
		}
	}
	group := firstGroup(r.candidates, func(c *candidate) bool {
		return c.rank == best
	})
	return r.betterOfTwo(group, shared, now)
}

// rankAll ranks the candidates and returns the best rank present.
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
	ready := readyOnly(c)
	if c.entry.penalised(now) {
		if ready {
			return rankFailed
		}
		return rankSuspectFailed
	}
	if !ready {
		return rankSuspect
	}
	if c.entry != nil {
		c.entry.median = shared.median
	}
	if c.instance.Region != r.self.Region {
		return rankRemote
	}
	if c.entry.present(now, shared.median) > outlierFactor*shared.median {
		return rankOutlier
	}
	return rankGood
}

// owner returns the rendezvous owner of a key among the ready candidates that
// did not fail just now, or nil. Load and latency play no part, so that all nodes agree.
func (r *Router) owner(key string) *candidate {
	keyHash := hashOf(key)
	var owner *candidate
	var highest uint64
	for i := range r.candidates {
		c := &r.candidates[i]
		if c.rank > rankOutlier {
			continue
		}
		score := mix(keyHash ^ hashOf(string(c.instance.ID)))
		if owner == nil || score > highest {
			owner = c
			highest = score
		}
	}
	return owner
}

// trial returns the outlier whose last call ended longest ago and that has none in
// flight, or nil.
func (r *Router) trial() *candidate {
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

// betterOfTwo compares two random candidates.
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
	if math.Abs(firstScore-secondScore) <= tiePart*max(firstScore, secondScore) {
		if r.near(second) && !r.near(first) {
			return second
		}
		return first
	}
	if secondScore < firstScore {
		return second
	}
	return first
}

// score estimates the time that a further call would take.
func score(c *candidate, shared *service, now time.Time) float64 {
	latency := shared.median
	waiting := 0
	if c.entry != nil {
		latency = c.entry.present(now, shared.median)
		waiting = c.entry.inFlight + c.entry.queued(now)
	}
	if latency <= 0 {
		latency = 1
	}
	return float64(waiting+1) * latency
}

// near reports whether an instance is in this node's availability zone.
func (r *Router) near(c *candidate) bool {
	return c.instance.Region == r.self.Region && c.instance.Zone == r.self.Zone
}
