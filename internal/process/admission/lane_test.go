package admission_test

import (
	"slices"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/admission"
	"lagoonbarrow/internal/process/admission/model"
)

// shortWork returns a source of short calls with the given rate per second.
func shortWork(rate float64) *model.Source {
	return &model.Source{
		Name:     "resolution",
		Level:    lagoonbarrow.ImportanceNormal,
		Deadline: 2 * time.Second,
		Rate:     model.ConstantRate(rate),
		Service:  model.HeavyTail(10*time.Millisecond, 0, 1),
	}
}

// runLanes runs short work, with long work unless long is nil, and returns the outcome of
// the short work.
func runLanes(t *testing.T, seed uint64, slots int, long *model.Source) (*model.Simulation, *model.Outcome) {
	t.Helper()
	s := newSimulation(t, seed, slots)
	s.CountFrom = 3 * time.Second
	// The short work uses half of the capacity.
	sources := []*model.Source{shortWork(0.5 * float64(slots) / 0.01)}
	if long != nil {
		sources = append(sources, long)
	}
	s.Run(10*time.Second, sources...)
	return s, s.Outcomes["resolution"]
}

// Guards against short work that waits behind long work, whether or not the long work is
// declared as long.
func TestShortWorkBesideLongWork(t *testing.T) {
	t.Parallel()
	for _, slots := range []int{15, 70} {
		for _, declared := range []bool{true, false} {
			for _, seed := range seeds {
				_, alone := runLanes(t, seed, slots, nil)
				// The long work needs twice the slots.
				s, beside := runLanes(t, seed, slots, &model.Source{
					Name:     "year-of-minutes",
					Level:    lagoonbarrow.ImportanceNormal,
					Long:     declared,
					Deadline: 10 * time.Second,
					Rate:     model.ConstantRate(2 * float64(slots) / 0.5),
					Service:  model.HeavyTail(500*time.Millisecond, 0, 1),
				})
				before := model.P99(alone.Totals)
				after := model.P99(beside.Totals)
				t.Logf("slots %d, declared %v: p99 %v alone, %v beside long work; p99 wait %v and %v; refused %d of %d; long done %d",
					slots, declared, before, after, model.P99(alone.Waits), model.P99(beside.Waits),
					beside.Refused, beside.Offered, s.Outcomes["year-of-minutes"].Done)
				if float64(after) > 1.5*float64(before) {
					t.Errorf("slots %d, declared %v: p99 %v alone, %v beside long work", slots, declared, before, after)
				}
				if beside.Refused > 0 {
					t.Errorf("slots %d, declared %v: %d short calls refused", slots, declared, beside.Refused)
				}
				if found := slices.Contains(s.Gate.Status().LongOperations, "year-of-minutes"); found == declared && !declared {
					t.Errorf("slots %d: long work declared short was not found", slots)
				}
				if s.Outcomes["year-of-minutes"].Done == 0 {
					t.Errorf("slots %d, declared %v: long work starved", slots, declared)
				}
			}
		}
	}
}

// Guards against a slow downstream service that lowers the limit or affects calls that do
// not use it, and against an operation that stays in the long lane after it became short.
func TestSlowDownstreamService(t *testing.T) {
	t.Parallel()
	for _, seed := range seeds {
		s := newSimulation(t, seed, 70)
		s.Slowdown = func(source *model.Source, _ int) float64 {
			if source.Name == "attendance" && s.Since() > 10*time.Second && s.Since() < 20*time.Second {
				return 30
			}
			return 1
		}
		stats := trackLimit(s, 5*time.Second)
		s.CountFrom = 11 * time.Second
		attendance := shortWork(1500)
		attendance.Name = "attendance"
		s.Run(25*time.Second, shortWork(2000), attendance)
		other := s.Outcomes["resolution"]
		t.Logf("limit down to %d; other calls: p99 %v, refused %d of %d", stats.lowest,
			model.P99(other.Totals), other.Refused, other.Offered)
		if stats.lowest < 70 {
			t.Errorf("limit down to %d", stats.lowest)
		}
		if 100*other.Refused > other.Offered {
			t.Errorf("%d of %d calls that do not use the slow service were refused", other.Refused, other.Offered)
		}
		if names := s.Gate.Status().LongOperations; len(names) > 0 {
			t.Errorf("still long: %v", names)
		}
	}
}

// Guards against a limit that is lowered by downstream time when every call uses a slow
// downstream service.
func TestDownstreamTimeIsNotLatency(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, seeds[0], 70)
	stats := trackLimit(s, 5*time.Second)
	s.CallDownstream = func(p lagoonbarrow.Permit, rest func()) {
		done := p.(admission.DownstreamTimer).Downstream()
		downstreamTime := 10 * time.Millisecond
		if s.Since() > 5*time.Second {
			downstreamTime *= 5
		}
		s.After(downstreamTime, func() {
			done()
			done()
			rest()
		})
	}
	s.Run(10*time.Second, shortWork(5000))
	t.Logf("limit down to %d", stats.lowest)
	if stats.lowest < 70 {
		t.Errorf("limit down to %d", stats.lowest)
	}
}
