package entry

import (
	"math"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// thresholdHalfLife is how fast a threshold fades without answers.
	thresholdHalfLife = time.Second
	// thresholdGain is the weight of one answer's threshold, so that one
	// straggling instance doesn't close the entry for all.
	thresholdGain = 0.25
	// probeInterval lets one in so many refused requests through, so that the
	// entry notices when the overload below has ended.
	probeInterval = 64
)

// thresholds remembers the thresholds met below, by class. Its lock is never
// held together with another.
type thresholds struct {
	mu      sync.Mutex
	classes map[classKey]*classThreshold
	now     func() time.Time
}

type classKey struct {
	customer lagoonbarrow.CustomerID
	class    lagoonbarrow.ClassName
}

type classThreshold struct {
	level   float64
	at      time.Time
	refused uint64
}

func newThresholds(now func() time.Time) *thresholds {
	return &thresholds{
		classes: map[classKey]*classThreshold{},
		now:     now,
	}
}

// admits reports whether a request passes the threshold of its class.
func (t *thresholds) admits(key classKey, priority lagoonbarrow.Priority) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.classes[key]
	if !known {
		return true
	}
	t.fade(current)
	if lagoonbarrow.Threshold(math.Round(current.level)).Admits(priority) {
		return true
	}
	current.refused++
	return current.refused%probeInterval == 0
}

// observe takes the threshold of an answer.
func (t *thresholds) observe(key classKey, threshold lagoonbarrow.Threshold) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.classes[key]
	if !known {
		if threshold == 0 {
			return
		}
		current = &classThreshold{
			at: t.now(),
		}
		t.classes[key] = current
	}
	t.fade(current)
	current.level += thresholdGain * (float64(threshold) - current.level)
	if current.level < 1 {
		delete(t.classes, key)
	}
}

// snapshot returns the thresholds in force, for the status page.
func (t *thresholds) snapshot() map[string]lagoonbarrow.Threshold {
	t.mu.Lock()
	defer t.mu.Unlock()
	levels := map[string]lagoonbarrow.Threshold{}
	for key, current := range t.classes {
		t.fade(current)
		levels[string(key.customer)+"/"+string(key.class)] = lagoonbarrow.Threshold(math.Round(current.level))
	}
	return levels
}

func (t *thresholds) fade(current *classThreshold) {
	now := t.now()
	elapsed := now.Sub(current.at)
	current.at = now
	current.level *= math.Exp2(-elapsed.Seconds() / thresholdHalfLife.Seconds())
}
