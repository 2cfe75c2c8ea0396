package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/admission/model"
)

// staticRoster is a roster that the tests set.
type staticRoster struct {
	lagoonbarrow.Roster
	self      lagoonbarrow.Instance
	instances []lagoonbarrow.Instance
}

func (r *staticRoster) Self() lagoonbarrow.Instance {
	return r.self
}

func (r *staticRoster) Instances(lagoonbarrow.ServiceName) []lagoonbarrow.Instance {
	return r.instances
}

func readyInstances(count int) []lagoonbarrow.Instance {
	var made []lagoonbarrow.Instance
	for i := range count {
		made = append(made, lagoonbarrow.Instance{
			ID:     lagoonbarrow.InstanceID(fmt.Sprint(i)),
			Zone:   lagoonbarrow.Zone(fmt.Sprint(i % 4)),
			Region: "r",
			State:  lagoonbarrow.StateReady,
		})
	}
	return made
}

// simulation runs several routers against four model instances in virtual time.
type simulation struct {
	*model.Loop
	random  *rand.Rand
	routers []*Router
	busy    [4]int
	queues  [4][]func()
	picks   [4]int
	// factor multiplies the service time of an instance.
	factor func(now time.Duration, instance int) float64
	// tail is the part of the calls that take five times as long.
	tail   float64
	totals []time.Duration
	from   time.Duration
}

const (
	simSlots  = 20
	simMedian = 20 * time.Millisecond
)

func simulate(seed uint64, plain bool, length time.Duration, rate, tail float64, factor func(time.Duration, int) float64) *simulation {
	s := &simulation{
		Loop:   model.NewLoop(),
		random: rand.New(rand.NewPCG(seed, 1)),
		factor: factor,
		tail:   tail,
		from:   2 * time.Second,
	}
	instances := readyInstances(4)
	for i := range 4 {
		router, err := New(Config{
			Roster: &staticRoster{
				self:      instances[i],
				instances: instances,
			},
			Clock: s,
			Seed:  seed + uint64(i),
			Plain: plain,
		})
		if err != nil {
			panic(err)
		}
		s.routers = append(s.routers, router)
	}
	var arrive func()
	arrive = func() {
		s.call(s.routers[s.random.IntN(len(s.routers))])
		s.After(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	s.After(0, arrive)
	s.Run(length)
	return s
}

func (s *simulation) call(router *Router) {
	began := s.Since()
	chosen, err := router.Pick("a", "", nil)
	if err != nil {
		panic(err)
	}
	var index int
	_, _ = fmt.Sscan(string(chosen.ID), &index)
	s.picks[index]++
	ended := router.Started(chosen.ID)
	s.serve(index, func() {
		if began >= s.from {
			s.totals = append(s.totals, s.Since()-began)
		}
		ended(lagoonbarrow.Observation{
			Latency: s.Since() - began,
			HasLoad: true,
			Load: lagoonbarrow.Load{
				Queued: len(s.queues[index]),
			},
		})
	})
}

// serve runs a call on an instance with simSlots slots and one queue.
func (s *simulation) serve(index int, done func()) {
	if s.busy[index] >= simSlots {
		s.queues[index] = append(s.queues[index], done)
		return
	}
	s.busy[index]++
	drawn := float64(simMedian) * math.Exp(0.3*s.random.NormFloat64()) * s.factor(s.Since(), index)
	if s.random.Float64() < s.tail {
		drawn *= 5
	}
	s.After(time.Duration(drawn), func() {
		s.busy[index]--
		done()
		if queue := s.queues[index]; len(queue) > 0 {
			s.queues[index] = queue[1:]
			s.serve(index, queue[0])
		}
	})
}

// Guards against slow answers that a straggler causes, and against a straggler of the
// past that gets no calls any more.
func TestOneStragglerInFour(t *testing.T) {
	even := func(time.Duration, int) float64 { return 1 }
	cases := []struct {
		name   string
		factor float64
		slow   func(time.Duration) bool
	}{
		{
			name:   "lasting, 10 times",
			factor: 10,
			slow:   func(now time.Duration) bool { return now > 5*time.Second },
		},
		{
			name:   "lasting, 3 times",
			factor: 3,
			slow:   func(now time.Duration) bool { return now > 5*time.Second },
		},
		{
			name:   "1 s in 5 s, 10 times",
			factor: 10,
			slow:   func(now time.Duration) bool { return now%(5*time.Second) > 4*time.Second },
		},
		{
			name:   "until 7 s, 10 times",
			factor: 10,
			slow:   func(now time.Duration) bool { return now < 7*time.Second },
		},
	}
	// Each router learns of a straggler by one or two slow calls of its own. Below about 25 calls/s
	// for each router these alone are more than 1 % of a straggler's 12 s.
	loads := []struct{ rate, tail float64 }{{
		rate: 200,
	}, {
		rate: 200,
		tail: 0.05,
	}, {
		rate: 2000,
	}, {
		rate: 2000,
		tail: 0.05,
	}}
	for i, load := range loads {
		seed := uint64(i)
		base := simulate(seed, false, 14*time.Second, load.rate, load.tail, even)
		for _, entry := range cases {
			factor := func(now time.Duration, instance int) float64 {
				if instance == 0 && entry.slow(now) {
					return entry.factor
				}
				return 1
			}
			with := simulate(seed, false, 14*time.Second, load.rate, load.tail, factor)
			plain := simulate(seed, true, 14*time.Second, load.rate, load.tail, factor)
			ratio := float64(model.P99(with.totals)) / float64(model.P99(base.totals))
			t.Logf("seed %d, %g/s, tail %g, %s: p99 %v, %v without straggler, ratio %.2f, picks %v; round robin: p99 %v",
				seed, load.rate, load.tail, entry.name, model.P99(with.totals), model.P99(base.totals), ratio, with.picks, model.P99(plain.totals))
			if ratio > 1.5 {
				t.Errorf("%g/s, tail %g, %s: ratio %.2f", load.rate, load.tail, entry.name, ratio)
			}
			// 5 % of the calls, half of which came after the recovery; while slow it gets 0.5 %.
			if !entry.slow(10*time.Second) && 20*with.picks[0] < len(with.totals) {
				t.Errorf("%g/s, tail %g, %s: the recovered instance got %d calls", load.rate, load.tail, entry.name, with.picks[0])
			}
			if model.P99(plain.totals) < model.P99(with.totals) {
				t.Errorf("%g/s, tail %g, %s: round robin is better", load.rate, load.tail, entry.name)
			}
		}
	}
}
