package admission

import (
	"container/list"
	"math"
	"sort"
	"time"
)

const (
	// maxOperations bounds the table of operations. A full table evicts the least recently
	// used operation with its measurements.
	maxOperations = 512
	// longFactor: an operation counts as long when its mean exceeds this multiple of the
	// median of short work (docs/design.md, 3.4).
	longFactor = 10
	// shortFactor is the multiple below which a long operation counts as short again. The
	// gap to longFactor keeps operations from alternating between the lanes.
	shortFactor = 5
	// longWindows is the number of consecutive windows in which an operation must exceed
	// longFactor. A slowdown of all operations raises the median within fewer windows, and
	// no operation becomes long.
	longWindows = 3
	// minMedianCalls is the minimum number of short calls in two windows for a new median.
	minMedianCalls = 8
	// medianWindows is the number of consecutive windows without enough short calls after
	// which the median is discarded. Without a median no operation is long by measurement.
	medianWindows = 10
	// minSamples is the minimum number of calls before an operation is classified. A higher
	// minimum lets long work fill a small gate for seconds: 32 calls of 0.5 s on 4 slots
	// take 4 s.
	minSamples = 8
	// meanWeight is the weight of one call in operation.mean, a moving average.
	meanWeight = 1.0 / 64
	// clipFactor limits the time that one call adds to the mean to this multiple of the
	// median of short work. One very slow call then moves the mean by half a median, and
	// rare slow calls do not make an operation long.
	clipFactor = 32
	// typicalWeight is the weight of one call in operation.typicalLog, a moving average.
	typicalWeight = 1.0 / 16
	// minActiveTime, minActiveMeans and pauseTime: latencies are compared only after an
	// operation has run for minActiveTime and minActiveMeans times its mean without a pause
	// longer than pauseTime. Before, mostly fast calls have ended, and the baseline would be
	// too low.
	minActiveTime  = 200 * time.Millisecond
	minActiveMeans = 4
	pauseTime      = 2 * time.Second
	// typicalHalfLife is the time in which the expected time of an operation without calls
	// halves. Otherwise a slow period could keep all its queued calls from running.
	typicalHalfLife = time.Second
)

// operation holds the measurements of one operation, a group of calls with similar
// service times.
type operation struct {
	name    string
	element *list.Element
	samples int
	// mean is the clipped mean of the time in a slot, in seconds.
	mean float64
	// typicalLog is the mean logarithm of the time in a slot in seconds. A few slow calls
	// hardly change it.
	typicalLog float64
	lastSample time.Time
	// activeSince is the end of the first call after a pause of pauseTime.
	activeSince time.Time
	// long is set while the operation is measured as long.
	long bool
	// endedCalls counts the calls that ended in the current and in the previous window.
	endedCalls [2]int
	// windowsAbove is the number of consecutive windows in which the mean exceeded longFactor.
	windowsAbove int
	latency      latencyTrack
}

// expected returns how long a queued call is expected to hold its slot if it starts now.
func (o *operation) expected(now time.Time) time.Duration {
	if o.samples == 0 {
		return 0
	}
	idle := float64(now.Sub(o.lastSample)) / float64(typicalHalfLife)
	return time.Duration(math.Exp(o.typicalLog) * math.Exp2(-max(idle, 0)) * float64(time.Second))
}

func (o *operation) observe(now time.Time, slotTime time.Duration, shortMedian float64) {
	seconds := max(slotTime, time.Microsecond).Seconds()
	clipped := seconds
	if shortMedian > 0 {
		clipped = min(seconds, clipFactor*shortMedian)
	}
	if now.Sub(o.lastSample) > pauseTime {
		o.activeSince = now
	}
	o.samples++
	o.endedCalls[0]++
	o.lastSample = now
	weight := 1 / float64(o.samples)
	o.mean += max(meanWeight, weight) * (clipped - o.mean)
	o.typicalLog += max(typicalWeight, weight) * (math.Log(seconds) - o.typicalLog)
}

// latencyComparable reports whether the operation has run long enough to compare its
// latency with a baseline.
func (o *operation) latencyComparable(now time.Time) bool {
	mean := time.Duration(o.mean * float64(time.Second))
	return now.Sub(o.activeSince) >= max(minActiveTime, minActiveMeans*mean)
}

// classify updates long at the end of a window. It clears long while the median of
// short work is unknown.
func (o *operation) classify(shortMedian float64) {
	if shortMedian <= 0 {
		o.long = false
		o.windowsAbove = 0
		return
	}
	if o.samples < minSamples || o.mean <= longFactor*shortMedian {
		o.windowsAbove = 0
	} else {
		o.windowsAbove++
	}
	if o.windowsAbove >= longWindows {
		o.long = true
	}
	if o.mean < shortFactor*shortMedian {
		o.long = false
	}
}

// operations is a bounded LRU table of operations.
type operations struct {
	byName map[string]*operation
	// recent lists the operations, the most recently used first.
	recent *list.List
	// shortMedian is the median time in a slot of short work in seconds, 0 if unknown.
	shortMedian float64
	// windowsWithoutMedian is the number of consecutive windows without enough short calls.
	windowsWithoutMedian int
	// scratch is reused by updateMedian.
	scratch []*operation
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

// closeWindow ends a window. It updates the median and classifies all operations.
func (t *operations) closeWindow() {
	t.updateMedian()
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		op.classify(t.shortMedian)
		op.endedCalls[1] = op.endedCalls[0]
		op.endedCalls[0] = 0
	}
}

// updateMedian computes the median of the typical times of short operations, weighted by
// the calls that ended in the last two windows. More windows would delay the rise of the
// median when all operations slow down at once.
func (t *operations) updateMedian() {
	total := 0
	t.scratch = t.scratch[:0]
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		if calls := op.endedCalls[0] + op.endedCalls[1]; calls > 0 && !op.long {
			total += calls
			t.scratch = append(t.scratch, op)
		}
	}
	if total < minMedianCalls {
		t.windowsWithoutMedian++
		if t.windowsWithoutMedian >= medianWindows {
			t.shortMedian = 0
		}
		return
	}
	t.windowsWithoutMedian = 0
	sort.Slice(t.scratch, func(i, j int) bool {
		return t.scratch[i].typicalLog < t.scratch[j].typicalLog
	})
	below := 0
	for _, op := range t.scratch {
		below += op.endedCalls[0] + op.endedCalls[1]
		if 2*below >= total {
			t.shortMedian = math.Exp(op.typicalLog)
			return
		}
	}
}

// longNames lists the operations that were measured as long.
func (t *operations) longNames() []string {
	var names []string
	for element := t.recent.Front(); element != nil; element = element.Next() {
		if op := element.Value.(*operation); op.long {
			names = append(names, op.name)
		}
	}
	sort.Strings(names)
	return names
}
