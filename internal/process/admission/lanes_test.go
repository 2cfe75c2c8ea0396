package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"lagoonbarrow"
)

func shortWork(rate float64) *source {
	return &source{
		name:     "resolution",
		level:    lagoonbarrow.ImportanceNormal,
		deadline: 2 * time.Second,
		rate:     constant(rate),
		service:  heavyTail(10*time.Millisecond, 0, 1),
	}
}

// runLanes runs short work alone or beside long work and returns the short work's outcome.
func runLanes(t *testing.T, seed uint64, slots int, long *source) (*simulation, *outcome) {
	t.Helper()
	s := newSimulation(t, seed, Config{
		Slots: slots,
	})
	s.from = 3 * time.Second
	// Half of the slots' capacity.
	sources := []*source{shortWork(0.5 * float64(slots) / 0.01)}
	if long != nil {
		sources = append(sources, long)
	}
	s.run(10*time.Second, sources...)
	return s, s.outcomes["resolution"]
}

// Guards against short work that waits behind long work, declared or not.
func TestShortWorkBesideLongWork(t *testing.T) {
	t.Parallel()
	for _, slots := range []int{15, 70} {
		for _, declared := range []bool{true, false} {
			for _, seed := range seeds {
				_, alone := runLanes(t, seed, slots, nil)
				// The long work asks for twice the slots.
				s, beside := runLanes(t, seed, slots, &source{
					name:     "year-of-minutes",
					level:    lagoonbarrow.ImportanceNormal,
					long:     declared,
					deadline: 10 * time.Second,
					rate:     constant(2 * float64(slots) / 0.5),
					service:  heavyTail(500*time.Millisecond, 0, 1),
				})
				before := percentile(alone.totals, 0.99)
				after := percentile(beside.totals, 0.99)
				t.Logf("slots %d, declared %v: p99 %v alone, %v beside long work; p99 wait %v and %v; shed %d of %d; long done %d",
					slots, declared, before, after, percentile(alone.waits, 0.99), percentile(beside.waits, 0.99),
					beside.shed+beside.expired, beside.offered, s.outcomes["year-of-minutes"].done)
				if float64(after) > 1.5*float64(before) {
					t.Errorf("slots %d, declared %v: p99 %v alone, %v beside long work", slots, declared, before, after)
				}
				if beside.shed+beside.expired > 0 {
					t.Errorf("slots %d, declared %v: %d short calls refused", slots, declared, beside.shed+beside.expired)
				}
				if found := slices.Contains(s.gate.operations.longNames(), "year-of-minutes"); found == declared && !declared {
					t.Errorf("slots %d: long work declared short was not found", slots)
				}
				if s.outcomes["year-of-minutes"].done == 0 {
					t.Errorf("slots %d, declared %v: long work starved", slots, declared)
				}
			}
		}
	}
}

// Guards against an operation that stays in the long lane after it became short again.
func TestLongOperationBecomesShortAgain(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, seeds[0], Config{
		Slots: 70,
	})
	s.slowdown = func(since time.Duration, from *source, _ int) float64 {
		if from.name == "attendance" && since > 5*time.Second && since < 10*time.Second {
			return 50
		}
		return 1
	}
	var wasLong bool
	s.observe = func(since time.Duration) {
		if since < 10*time.Second {
			wasLong = wasLong || len(s.gate.operations.longNames()) > 0
		}
	}
	changing := shortWork(200)
	changing.name = "attendance"
	s.run(15*time.Second, shortWork(2000), changing)
	if !wasLong {
		t.Error("the operation was not found to be long")
	}
	if names := s.gate.operations.longNames(); len(names) > 0 {
		t.Errorf("still long: %v", names)
	}
}

// Guards against a slow downstream service that lowers the limit, or delays
// calls that do not use it.
func TestSlowDownstreamService(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		s := newSimulation(t, seed, Config{
			Slots: 70,
		})
		s.slowdown = func(since time.Duration, from *source, _ int) float64 {
			if from.name == "with-downstream" && since > 10*time.Second && since < 20*time.Second {
				return 30
			}
			return 1
		}
		lowest := 70
		s.observe = func(since time.Duration) {
			if since > 5*time.Second {
				lowest = min(lowest, s.gate.limiter.limit)
			}
		}
		s.from = 11 * time.Second
		using := shortWork(1500)
		using.name = "with-downstream"
		s.run(20*time.Second, shortWork(2000), using)
		other := s.outcomes["resolution"]
		t.Logf("limit down to %d; other calls: p99 %v, refused %d of %d; calls using it: done %d of %d", lowest,
			percentile(other.totals, 0.99), other.shed+other.expired, other.offered,
			s.outcomes["with-downstream"].done, s.outcomes["with-downstream"].offered)
		if lowest < 70 {
			t.Errorf("limit down to %d", lowest)
		}
		if refused := other.shed + other.expired; 100*refused > other.offered {
			t.Errorf("%d of %d calls that do not use the slow service were refused", refused, other.offered)
		}
	}
}

// Guards against a limit that follows downstream time when every call uses the
// slow downstream service.
func TestDownstreamTimeIsNotLatency(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, seeds[0], Config{
		Slots: 70,
	})
	random := rand.New(rand.NewPCG(1, 1))
	slow := false
	call := func() {
		s.gate.arrive(&waiter{
			work: lagoonbarrow.Work{
				Priority:  130,
				Operation: "chain",
			},
			cancel: func(error) {},
			settle: func(p *permit, err error) {
				if err != nil {
					return
				}
				s.at(time.Millisecond, func() {
					done := p.Downstream()
					away := time.Duration((10 + 2*random.Float64()) * float64(time.Millisecond))
					if slow {
						away *= 5
					}
					s.at(away, func() {
						done()
						done()
						s.at(time.Millisecond, func() { p.Release(true) })
					})
				})
			},
		})
	}
	lowest := 70
	s.observe = func(since time.Duration) {
		slow = since > 5*time.Second
		for range 50 {
			call()
		}
		if slow {
			lowest = min(lowest, s.gate.limiter.limit)
		}
	}
	s.run(10 * time.Second)
	t.Logf("limit down to %d", lowest)
	if lowest < 70 {
		t.Errorf("limit down to %d", lowest)
	}
}
