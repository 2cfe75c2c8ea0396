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
	// longWindows is the number of windows in a row that an operation must exceed the factor.
	// A slowdown of all operations lifts the median within fewer windows, so it makes none long.
	longWindows = 3
	// medianCalls is the least number of short calls in two windows behind a median.
	medianCalls = 8
	// medianWindows is how long a median is kept without enough short calls. Then
	// it is unknown and no operation is long by measurement.
	medianWindows = 10
	// minSamples is the number of calls before an operation is judged. More would
	// let long work fill a small gate for seconds: 32 calls of 0.5 s on 4 slots take 4 s.
	minSamples = 8
	// meanWeight is the weight of one call in an operation's mean.
	meanWeight = 1.0 / 64
	// clipFactor bounds one call's part in the mean to this many times the median
	// of short work. One very slow call then moves the mean by half a median, so
	// that rare slow calls do not make an operation long.
	clipFactor = 32
	// typicalWeight is the weight of one call in an operation's typical time.
	typicalWeight = 1.0 / 16
	// settleTime and settleMeans: latencies are compared only after an operation has run
	// for this time and this many of its means without a pause of pauseTime. Before,
	// the calls that have ended are mostly the fast ones, and the baseline would be too low.
	settleTime  = 200 * time.Millisecond
	settleMeans = 4
	pauseTime   = 2 * time.Second
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
	// activeSince is the end of the first call after a pause.
	activeSince time.Time
	// long is set when calls declared short were measured as long.
	long bool
	// ended counts the calls that ended in the present and the last window.
	ended [2]int
	// above counts the windows in a row in which the mean exceeded longFactor.
	above   int
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
	if now.Sub(o.lastSample) > pauseTime {
		o.activeSince = now
	}
	o.samples++
	o.ended[0]++
	o.lastSample = now
	weight := 1 / float64(o.samples)
	o.mean += max(meanWeight, weight) * (clipped - o.mean)
	o.typicalLog += max(typicalWeight, weight) * (math.Log(seconds) - o.typicalLog)
}

// settled reports whether the operation's latencies may be compared.
func (o *operation) settled(now time.Time) bool {
	mean := time.Duration(o.mean * float64(time.Second))
	return now.Sub(o.activeSince) >= max(settleTime, settleMeans*mean)
}

// judge decides at the end of a window whether an operation declared short
// belongs to the long lane. Without short work to compare with, none does.
func (o *operation) judge(shortMedian float64) {
	if shortMedian <= 0 {
		o.long = false
		o.above = 0
		return
	}
	if o.samples < minSamples || o.mean <= longFactor*shortMedian {
		o.above = 0
	} else {
		o.above++
	}
	if o.above >= longWindows {
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
	// shortMedian is the median time in a slot of short work in seconds, 0 while unknown.
	shortMedian float64
	// unknown counts the windows in a row without enough short calls.
	unknown int
	// scratch is reused to compute the median.
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

// close ends a window: it computes the median and judges all operations.
func (t *operations) close() {
	t.updateMedian()
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		op.judge(t.shortMedian)
		op.ended[1] = op.ended[0]
		op.ended[0] = 0
	}
}

// updateMedian takes the median of the typical times of short operations,
// weighted by the calls that ended in the last two windows. A short memory matters when
// all operations slow down at once.
func (t *operations) updateMedian() {
	total := 0
	t.scratch = t.scratch[:0]
	for element := t.recent.Front(); element != nil; element = element.Next() {
		op := element.Value.(*operation)
		if calls := op.ended[0] + op.ended[1]; calls > 0 && !op.long {
			total += calls
			t.scratch = append(t.scratch, op)
		}
	}
	if total < medianCalls {
		t.unknown++
		if t.unknown >= medianWindows {
			t.shortMedian = 0
		}
		return
	}
	t.unknown = 0
	sort.Slice(t.scratch, func(i, j int) bool {
		return t.scratch[i].typicalLog < t.scratch[j].typicalLog
	})
	below := 0
	for _, op := range t.scratch {
		below += op.ended[0] + op.ended[1]
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
