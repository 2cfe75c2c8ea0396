package admission

import (
	"container/list"
	"math"
	"sort"
	"time"
)

const (
	// maxOperations bounds the table of operations. When full, the operation used
	// longest ago is forgotten and measured afresh when it returns.
	maxOperations = 512
	// longFactor is how many times the median of short work an operation's mean
	// must exceed to count as long (section 3.4 of the design page).
	longFactor = 10
	// shortFactor is the factor below which it counts as short again. The gap
	// keeps an operation near the border from changing lanes back and forth.
	shortFactor = 5
	// minSamples is the number of calls before an operation is judged.
	minSamples = 32
	// meanWeight is the weight of one call in an operation's mean.
	meanWeight = 1.0 / 64
	// clipFactor bounds one call's part in the mean to this many times the median
	// of short work. One very slow call then moves the mean by half a median, so
	// that rare slow calls do not make an operation long.
	clipFactor = 32
	// typicalWeight is the weight of one call in an operation's typical time.
	typicalWeight = 1.0 / 16
	// typicalHalfLife halves the expected time of an operation that has not run,
	// so that a slow period can't keep all its queued calls from running.
	typicalHalfLife = time.Second
)

// operation holds the measurements of calls with similar service times.
type operation struct {
	name    string
	element *list.Element
	samples int
	// mean is the clipped mean of the time in a slot, in seconds.
	mean float64
	// typicalLog is the mean logarithm of the time in a slot, which a few slow
	// calls hardly move.
	typicalLog float64
	lastSample time.Time
	// long is set when calls declared short were measured as long.
	long    bool
	latency latencyTrack
}

// expected is the time that a queued call is expected to take when it runs now.
func (o *operation) expected(now time.Time) time.Duration {
	if o.samples == 0 {
		return 0
	}
	idle := float64(now.Sub(o.lastSample)) / float64(typicalHalfLife)
	return time.Duration(math.Exp(o.typicalLog) * math.Exp2(-max(idle, 0)) * float64(time.Second))
}

func (o *operation) observe(now time.Time, held time.Duration, shortMedian float64) {
	seconds := max(held, time.Microsecond).Seconds()
	clipped := seconds
	if shortMedian > 0 {
		clipped = min(seconds, clipFactor*shortMedian)
	}
	o.samples++
	o.lastSample = now
	weight := 1 / float64(o.samples)
	o.mean += max(meanWeight, weight) * (clipped - o.mean)
	o.typicalLog += max(typicalWeight, weight) * (math.Log(seconds) - o.typicalLog)
}

// judge decides whether an operation declared short belongs to the long lane.
func (o *operation) judge(shortMedian float64) {
	if o.samples < minSamples || shortMedian <= 0 {
		return
	}
	if o.mean > longFactor*shortMedian {
		o.long = true
	}
	if o.mean < shortFactor*shortMedian {
		o.long = false
	}
}

// operations is the bounded table of operations.
type operations struct {
	byName map[string]*operation
	// recent lists the operations, the one used last first.
	recent *list.List
}

func newOperations() operations {
	return operations{
		byName: map[string]*operation{},
		recent: list.New(),
	}
}

func (t *operations) get(name string) *operation {
	if found, known := t.byName[name]; known {
		t.recent.MoveToFront(found.element)
		return found
	}
	if len(t.byName) >= maxOperations {
		oldest := t.recent.Back()
		t.recent.Remove(oldest)
		delete(t.byName, oldest.Value.(*operation).name)
	}
	added := &operation{
		name: name,
	}
	added.element = t.recent.PushFront(added)
	t.byName[name] = added
	return added
}

// longNames lists the operations that were measured as long.
func (t *operations) longNames() []string {
	var names []string
	for name, op := range t.byName {
		if op.long {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

const (
	// medianBuckets at bucketsPerDouble buckets for each doubling cover 1 µs to 70 minutes.
	medianBuckets    = 128
	bucketsPerDouble = 4
	// medianDecay is the part of the counts kept from one window to the next: a
	// memory of about 5 s at windows of 100 ms.
	medianDecay = 0.98
)

// medianTrack estimates the median time in a slot of recent short work.
type medianTrack struct {
	counts [medianBuckets]float64
	total  float64
	// median is in seconds, 0 while unknown.
	median float64
}

func (m *medianTrack) add(held time.Duration) {
	micros := max(held, time.Microsecond).Seconds() * 1e6
	bucket := int(math.Log2(micros) * bucketsPerDouble)
	m.counts[min(bucket, medianBuckets-1)]++
	m.total++
}

// close ends a window: it computes the median and fades the counts.
func (m *medianTrack) close() {
	if m.total < 1 {
		return
	}
	below := 0.0
	for bucket, count := range m.counts {
		below += count
		if below >= m.total/2 {
			m.median = math.Exp2((float64(bucket)+0.5)/bucketsPerDouble) * 1e-6
			break
		}
	}
	for bucket := range m.counts {
		m.counts[bucket] *= medianDecay
	}
	m.total *= medianDecay
}
