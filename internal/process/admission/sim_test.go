package admission

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"lagoonbarrow"
)

// manualClock is a clock that the tests move.
type manualClock struct {
	now time.Time
}

func newManualClock() *manualClock {
	return &manualClock{
		now: time.Unix(1_000_000, 0),
	}
}

func (c *manualClock) Now() time.Time {
	return c.now
}

// source is a Poisson stream of calls.
type source struct {
	name     string
	level    lagoonbarrow.Importance
	long     bool
	deadline time.Duration
	// rate is in calls per second, by the time since the start.
	rate func(time.Duration) float64
	// service draws the time that the backend server takes for one call.
	service func(*rand.Rand) time.Duration
}

// outcome is what became of the calls of one source.
type outcome struct {
	offered, done, late, refused int
	waits, totals                []time.Duration
}

func percentile(values []time.Duration, part float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(part*float64(len(values)-1))]
}

type simEvent struct {
	at  time.Time
	run func()
}

// simulation drives a gate and a model of a backend server in virtual time.
type simulation struct {
	clock  *manualClock
	start  time.Time
	gate   *Gate
	random *rand.Rand
	// events are in the order of their time.
	events []simEvent
	// slowdown multiplies service times, by the time since the start, the
	// source and the number of running calls.
	slowdown func(since time.Duration, from *source, running int) float64
	outcomes map[string]*outcome
	// from is the time at which measuring starts.
	from time.Duration
	// useful is the time in slots of the calls that ended in time since then. As a
	// part of all slot time it is the goodput, without the noise of drawn service times.
	useful        time.Duration
	lastLower     time.Time
	criticalFault int
	// retries is how often a refused call is sent again.
	retries int
	// entry makes callers remember the threshold like an entry node does.
	entry *entryModel
	// called makes a running call's downstream calls, if it has any.
	called func(p *permit, rest func())
	// observe is called after each control step.
	observe func(since time.Duration)
}

func newSimulation(t *testing.T, seed uint64, config Config) *simulation {
	t.Helper()
	t.Logf("seed %d", seed)
	clock := newManualClock()
	config.Clock = clock
	gate, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &simulation{
		clock:    clock,
		start:    clock.now,
		gate:     gate,
		random:   rand.New(rand.NewPCG(seed, 0)),
		outcomes: map[string]*outcome{},
	}
}

func (s *simulation) at(delay time.Duration, run func()) {
	at := s.clock.now.Add(delay)
	place := sort.Search(len(s.events), func(i int) bool { return s.events[i].at.After(at) })
	s.events = slices.Insert(s.events, place, simEvent{
		at:  at,
		run: run,
	})
}

func (s *simulation) since() time.Duration {
	return s.clock.now.Sub(s.start)
}

func (s *simulation) run(length time.Duration, sources ...*source) {
	for _, from := range sources {
		s.outcomes[from.name] = &outcome{}
		s.arriveLater(from)
	}
	s.stepLater()
	for s.since() < length {
		next := s.events[0]
		s.events = s.events[1:]
		s.clock.now = next.at
		next.run()
	}
}

func (s *simulation) stepLater() {
	s.at(DefaultWindow/samplesPerWindow, func() {
		s.gate.step()
		if s.observe != nil {
			s.observe(s.since())
		}
		s.stepLater()
	})
}

func (s *simulation) arriveLater(from *source) {
	rate := from.rate(s.since())
	if rate <= 0 {
		s.at(10*time.Millisecond, func() { s.arriveLater(from) })
		return
	}
	s.at(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.request(from)
		s.arriveLater(from)
	})
}

// entryModel remembers the threshold as section 3.2 of the design page says: it
// halves every second, and one in 64 refused calls is let through.
type entryModel struct {
	threshold float64
	at        time.Time
	refused   int
}

func (e *entryModel) present(now time.Time) float64 {
	return e.threshold * math.Exp2(-now.Sub(e.at).Seconds())
}

func (e *entryModel) learn(now time.Time, threshold lagoonbarrow.Threshold) {
	if float64(threshold) >= e.present(now) {
		e.threshold = float64(threshold)
		e.at = now
	}
}

func (e *entryModel) refuses(now time.Time, priority lagoonbarrow.Priority) bool {
	if float64(priority) >= e.present(now) {
		return false
	}
	e.refused++
	return e.refused%64 != 0
}

func (s *simulation) request(from *source) {
	result := s.outcomes[from.name]
	if s.since() >= s.from {
		result.offered++
	} else {
		result = &outcome{}
	}
	priority := lagoonbarrow.NewPriority(from.level, s.random.Uint64())
	if s.entry != nil && s.entry.refuses(s.clock.now, priority) {
		result.refused++
		return
	}
	s.arrive(from, result, priority, s.retries)
}

func (s *simulation) arrive(from *source, result *outcome, priority lagoonbarrow.Priority, retries int) {
	arrived := s.clock.now
	preempted := false
	var granted *permit
	s.gate.arrive(&waiter{
		work: lagoonbarrow.Work{
			Priority:  priority,
			Long:      from.long,
			Deadline:  arrived.Add(from.deadline),
			Operation: from.name,
		},
		cancel: func(cause error) {
			if !errors.Is(cause, lagoonbarrow.ErrPreempted) {
				return
			}
			preempted = true
			s.at(time.Millisecond, func() { granted.Release(false) })
		},
		settle: func(p *permit, err error) {
			if s.entry != nil {
				s.entry.learn(s.clock.now, s.gate.short.control.threshold)
			}
			if err != nil && retries > 0 {
				s.at(10*time.Millisecond, func() { s.arrive(from, result, priority, retries-1) })
				return
			}
			if err != nil {
				s.refused(from, result, arrived, err)
				return
			}
			granted = p
			if from.level < lagoonbarrow.ImportanceCritical {
				s.lastLower = s.clock.now
			}
			result.waits = append(result.waits, s.clock.now.Sub(arrived))
			service := s.serviceTime(from)
			end := func() {
				if preempted {
					return
				}
				total := s.clock.now.Sub(arrived)
				result.totals = append(result.totals, total)
				if total > from.deadline {
					result.late++
				} else {
					result.done++
				}
				if total <= from.deadline && s.since() >= s.from {
					s.useful += service
				}
				p.Release(true)
			}
			if s.called == nil {
				s.at(service, end)
				return
			}
			s.at(service, func() { s.called(p, end) })
		},
	})
}

func (s *simulation) serviceTime(from *source) time.Duration {
	drawn := from.service(s.random)
	if s.slowdown == nil {
		return drawn
	}
	return time.Duration(float64(drawn) * s.slowdown(s.since(), from, s.gate.running))
}

func (s *simulation) refused(from *source, result *outcome, arrived time.Time, err error) {
	result.refused++
	if from.level < lagoonbarrow.ImportanceCritical || !errors.Is(err, lagoonbarrow.ErrShed) {
		return
	}
	// Critical work may wait for the target delay before it takes other work's slots.
	const patience = 50 * time.Millisecond
	if s.lastLower.After(arrived.Add(patience)) || s.clock.now.Sub(s.lastLower) < patience {
		s.criticalFault++
	}
}

// watch follows the limit.
type watch struct {
	steps, below, lowest int
}

// watchLimit counts the control steps from a time on, and those with a limit
// below 9/10 of the slots.
func (s *simulation) watchLimit(from time.Duration) *watch {
	seen := &watch{
		lowest: s.gate.config.Slots,
	}
	s.observe = func(since time.Duration) {
		limit := s.gate.limiter.limit
		if since < from {
			return
		}
		seen.steps++
		seen.lowest = min(seen.lowest, limit)
		if 10*limit < 9*s.gate.config.Slots {
			seen.below++
		}
	}
	return seen
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// exponential draws service times with the given mean.
func exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		return time.Duration(random.ExpFloat64() * float64(mean))
	}
}

// heavyTail draws around the median, and takes factor times as long for part of the calls.
func heavyTail(median time.Duration, part, factor float64) func(*rand.Rand) time.Duration {
	return func(random *rand.Rand) time.Duration {
		drawn := float64(median) * math.Exp(0.3*random.NormFloat64())
		if random.Float64() < part {
			drawn *= factor
		}
		return time.Duration(drawn)
	}
}
