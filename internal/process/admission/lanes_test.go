package admission

import (
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
				t.Logf("slots %d, declared %v: p99 %v alone, %v beside long work; p99 wait %v and %v; refused %d of %d; long done %d",
					slots, declared, before, after, percentile(alone.waits, 0.99), percentile(beside.waits, 0.99),
					beside.refused, beside.offered, s.outcomes["year-of-minutes"].done)
				if float64(after) > 1.5*float64(before) {
					t.Errorf("slots %d, declared %v: p99 %v alone, %v beside long work", slots, declared, before, after)
				}
				if beside.refused > 0 {
					t.Errorf("slots %d, declared %v: %d short calls refused", slots, declared, beside.refused)
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

// Guards against a slow downstream service that lowers the limit or delays calls
// that do not use it, and against an operation that stays in the long lane after it became
// short again.
func TestSlowDownstreamService(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		s := newSimulation(t, seed, Config{
			Slots: 70,
		})
		s.slowdown = func(since time.Duration, from *source, _ int) float64 {
			if from.name == "attendance" && since > 10*time.Second && since < 20*time.Second {
				return 30
			}
			return 1
		}
		seen := s.watchLimit(5 * time.Second)
		s.from = 11 * time.Second
		using := shortWork(1500)
		using.name = "attendance"
		s.run(25*time.Second, shortWork(2000), using)
		other := s.outcomes["resolution"]
		t.Logf("limit down to %d; other calls: p99 %v, refused %d of %d", seen.lowest,
			percentile(other.totals, 0.99), other.refused, other.offered)
		if seen.lowest < 70 {
			t.Errorf("limit down to %d", seen.lowest)
		}
		if 100*other.refused > other.offered {
			t.Errorf("%d of %d calls that do not use the slow service were refused", other.refused, other.offered)
		}
		if names := s.gate.operations.longNames(); len(names) > 0 {
			t.Errorf("still long: %v", names)
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
	seen := s.watchLimit(5 * time.Second)
	s.called = func(p *permit, rest func()) {
		done := p.Downstream()
		away := 10 * time.Millisecond
		if s.since() > 5*time.Second {
			away *= 5
		}
		s.at(away, func() {
			done()
			done()
			rest()
		})
	}
	s.run(10*time.Second, shortWork(5000))
	t.Logf("limit down to %d", seen.lowest)
	if seen.lowest < 70 {
		t.Errorf("limit down to %d", seen.lowest)
	}
}
