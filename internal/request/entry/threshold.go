package entry

import (
	"math"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// thresholdGain is the weight of one answer in the moving average of thresholds. A
	// single slow instance must not make the entry refuse requests to all instances.
	thresholdGain = 0.25
	// probeInterval is the number of refused requests of which one is admitted as a
	// probe. Its answer shows when the downstream overload has ended.
	probeInterval = 64
	// pruneInterval is the minimum time between removals of classes without a threshold.
	pruneInterval = 10 * time.Second
)

// decayConfig configures how thresholds decay without further answers.
type decayConfig struct {
	// hold is the time after an answer before decay starts. Without it the threshold
	// drops between the rare answers of a class that is refused.
	hold time.Duration
	// halfLife is the half-life of the exponential decay after hold.
	halfLife time.Duration
}

var (
	// customerDecay suits downstream gates that enforce their threshold themselves and
	// refuse what the entry admits too early. With a hold of 0, 27 instead of 8 of 100
	// requests/s passed in a simulation of full overload.
	customerDecay = decayConfig{
		hold:     250 * time.Millisecond,
		halfLife: time.Second,
	}
	// routedDecay suits downstream gates that refuse only calls without a free slot. A
	// threshold that outlasts the overload leaves slots idle.
	routedDecay = decayConfig{
		hold:     100 * time.Millisecond,
		halfLife: 500 * time.Millisecond,
	}
)

// thresholds holds a moving average of the thresholds in answers, by class. Its lock
// is never held together with another lock.
type thresholds struct {
	mu      sync.Mutex
	classes map[classKey]*classThreshold
	// prunedAt is the time of the last removal of classes.
	prunedAt time.Time
	config   decayConfig
	now      func() time.Time
}

type classKey struct {
	customer lagoonbarrow.CustomerID
	class    lagoonbarrow.ClassName
	// importance tells the requests of a route apart that customers of different importance
	// send.
	importance lagoonbarrow.Importance
}

type classThreshold struct {
	level float64
	// decayedUntil is the time up to which level has decayed. It lies in the future
	// while the level is held.
	decayedUntil time.Time
	refused      uint64
}

func newThresholds(config decayConfig, now func() time.Time) *thresholds {
	return &thresholds{
		config:  config,
		classes: map[classKey]*classThreshold{},
		now:     now,
	}
}

// refuseAllThreshold returns the lowest threshold that refuses all requests of an
// importance. A higher one would refuse no more of them and take longer to decay.
func refuseAllThreshold(importance lagoonbarrow.Importance) lagoonbarrow.Threshold {
	// The largest hash gives the highest priority of the importance.
	const largestHash = math.MaxUint64
	return lagoonbarrow.Threshold(lagoonbarrow.NewPriority(importance, largestHash)) + 1
}

// admits reports whether a request passes the threshold of its class or is admitted as
// a probe.
func (t *thresholds) admits(key classKey, priority lagoonbarrow.Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, found := t.classes[key]
	if !found {
		return true
	}
	t.decay(current)
	if lagoonbarrow.Threshold(math.Round(current.level)).Admits(priority) {
		return true
	}
	current.refused++
	return current.refused%probeInterval == 0
}

// level returns the threshold of a class.
func (t *thresholds) level(key classKey) lagoonbarrow.Threshold {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, found := t.classes[key]
	if !found {
		return 0
	}
	t.decay(current)
	return lagoonbarrow.Threshold(math.Round(current.level))
}

// observe adds the threshold of an answer to the moving average of its class.
func (t *thresholds) observe(key classKey, threshold lagoonbarrow.Threshold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, found := t.classes[key]
	if !found {
		if threshold == 0 {
			return
		}
		t.prune()
		current = &classThreshold{
			decayedUntil: t.now(),
		}
		t.classes[key] = current
	}
	t.decay(current)
	current.decayedUntil = t.now().Add(t.config.hold)
	current.level += thresholdGain * (float64(threshold) - current.level)
	if current.level < 1 {
		delete(t.classes, key)
	}
}

// prune removes classes whose threshold has decayed below 1, such as those of ended
// contracts. The caller must hold mu.
func (t *thresholds) prune() {
	now := t.now()
	if now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for key, current := range t.classes {
		t.decay(current)
		if current.level < 1 {
			delete(t.classes, key)
		}
	}
}

// snapshot returns the current thresholds for the status page.
func (t *thresholds) snapshot() map[string]lagoonbarrow.Threshold {
	t.mu.Lock()
	defer t.mu.Unlock()
	levels := map[string]lagoonbarrow.Threshold{}
	for key, current := range t.classes {
		t.decay(current)
		levels[string(key.customer)+"/"+string(key.class)] = lagoonbarrow.Threshold(math.Round(current.level))
	}
	return levels
}

// decay applies the exponential decay since decayedUntil. The caller must hold mu.
func (t *thresholds) decay(current *classThreshold) {
	now := t.now()
	elapsed := now.Sub(current.decayedUntil)
	if elapsed <= 0 {
		return
	}
	current.decayedUntil = now
	current.level *= math.Exp2(-elapsed.Seconds() / t.config.halfLife.Seconds())
}
