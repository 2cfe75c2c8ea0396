package entry

import (
	"math"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// thresholdGain is the weight of one answer's threshold, so that one
	// straggling instance doesn't close the entry for all.
	thresholdGain = 0.25
	// probeInterval lets one in so many refused requests through, so that the
	// entry notices when the overload below has ended.
	probeInterval = 64
	// pruneInterval is the time between removals of classes without a threshold.
	pruneInterval = 10 * time.Second
)

// memory is how long thresholds last without further answers.
type memory struct {
	// hold is how long a threshold stays after an answer. Without it the threshold
	// sinks between the few answers of a class that is refused.
	hold time.Duration
	// halfLife is how fast it fades after that.
	halfLife time.Duration
}

var (
	// customerMemory suits gates that refuse below their threshold themselves: what
	// the entry lets through too early is refused there. In a simulation with a hold
	// of 0, 27 instead of 8 of 100 requests/s passed at a full overload.
	customerMemory = memory{
		hold:     250 * time.Millisecond,
		halfLife: time.Second,
	}
	// routedMemory suits gates that refuse only what finds no slot: a threshold
	// that lasts longer than the overload leaves slots idle.
	routedMemory = memory{
		hold:     100 * time.Millisecond,
		halfLife: 500 * time.Millisecond,
	}
)

// thresholds remembers the thresholds met below, by class. Its lock is never
// held together with another.
type thresholds struct {
	mu      sync.Mutex
	classes map[classKey]*classThreshold
	pruned  time.Time
	memory  memory
	now     func() time.Time
}

type classKey struct {
	customer lagoonbarrow.CustomerID
	class    lagoonbarrow.ClassName
}

type classThreshold struct {
	level float64
	// faded is up to when the level has faded.
	faded   time.Time
	refused uint64
}

func newThresholds(lasting memory, now func() time.Time) *thresholds {
	return &thresholds{
		memory:  lasting,
		classes: map[classKey]*classThreshold{},
		now:     now,
	}
}

// highestThreshold is the lowest threshold that refuses a whole level of
// importance. A higher one would only take longer to fade.
func highestThreshold(level lagoonbarrow.Importance) lagoonbarrow.Threshold {
	const lastInLevel = math.MaxUint64
	return lagoonbarrow.Threshold(lagoonbarrow.NewPriority(level, lastInLevel)) + 1
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

// level returns the threshold of a class.
func (t *thresholds) level(key classKey) lagoonbarrow.Threshold {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.classes[key]
	if !known {
		return 0
	}
	t.fade(current)
	return lagoonbarrow.Threshold(math.Round(current.level))
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
		t.prune()
		current = &classThreshold{
			faded: t.now(),
		}
		t.classes[key] = current
	}
	t.fade(current)
	current.faded = t.now().Add(t.memory.hold)
	current.level += thresholdGain * (float64(threshold) - current.level)
	if current.level < 1 {
		delete(t.classes, key)
	}
}

// prune removes classes whose threshold has faded, such as those of contracts
// that have ended. The caller holds the lock.
func (t *thresholds) prune() {
	now := t.now()
	if now.Sub(t.pruned) < pruneInterval {
		return
	}
	t.pruned = now
	for key, current := range t.classes {
		t.fade(current)
		if current.level < 1 {
			delete(t.classes, key)
		}
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
	elapsed := now.Sub(current.faded)
	if elapsed <= 0 {
		return
	}
	current.faded = now
	current.level *= math.Exp2(-elapsed.Seconds() / t.memory.halfLife.Seconds())
}
