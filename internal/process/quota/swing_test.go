package quota

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
)

const (
	swingRate  = 2500
	swingBurst = 4000
	// slot is the step of the injected time.
	slot = 5 * time.Millisecond
)

// swing drives 16 nodes whose demand changes from second to second.
type swing struct {
	*world
	random *rand.Rand
	// next and wakes are each node's next request and next urgent report.
	next  []time.Time
	wakes []time.Time
	// asked is the work asked for in each slot of the last second.
	asked   [time.Second / slot]lagoonbarrow.WorkUnits
	total   lagoonbarrow.WorkUnits
	refused lagoonbarrow.WorkUnits
	reports uint64
}

func newSwing() *swing {
	w := newWorld(16)
	changed := *w.contract.Contract
	changed.WorkUnitsPerSecond = swingRate
	changed.BurstWorkUnits = swingBurst
	w.contract.Contract = &changed
	w.contract.Version++
	w.contract.Revision++
	w.registry.Load([]lagoonbarrow.ContractRecord{w.contract}, w.contract.Revision)
	return &swing{
		world:  w,
		random: rand.New(rand.NewPCG(7, 7)),
		next:   make([]time.Time, len(w.members)),
		wakes:  make([]time.Time, len(w.members)),
	}
}

// second runs one second; demand returns each node's work units per second.
func (s *swing) second(demand func(node int) float64) {
	before := make([]uint64, len(s.members))
	for number := range s.members {
		before[number] = s.node(number).reporter.sequence
		s.next[number] = s.now.Add(s.gap(demand(number)))
	}
	for index := range s.asked {
		s.now = s.now.Add(slot)
		s.asked[index] = 0
		for number := range s.members {
			s.report(number, index)
			for ; s.next[number].Before(s.now); s.next[number] = s.next[number].Add(s.gap(demand(number))) {
				s.asked[index]++
				s.request(number)
			}
		}
	}
	for number := range s.members {
		s.reports = max(s.reports, s.node(number).reporter.sequence-before[number])
	}
}

func (s *swing) gap(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
}

// report runs the steps of a node, which are spread over the interval, and
// its urgent reports, which take 5 ms more than they are gathered for.
func (s *swing) report(number, index int) {
	node := s.node(number)
	perStep := len(s.asked) / quarters
	if (index+number*3)%perStep == 0 {
		node.step(context.Background(), (index+number*3)/perStep%quarters)
	}
	if !s.wakes[number].IsZero() && !s.now.Before(s.wakes[number]) {
		s.wakes[number] = time.Time{}
		node.round(context.Background(), node.due(true))
	}
}

// request asks for one unit: a tenth of the work is critical, and half of it
// deferrable.
func (s *swing) request(number int) {
	level := lagoonbarrow.ImportanceDeferrable
	switch kind := s.random.IntN(10); {
	case kind == 0:
		level = lagoonbarrow.ImportanceCritical
	case kind < 5:
		level = lagoonbarrow.ImportanceNormal
	}
	s.total++
	if ok, _ := s.node(number).AllowLevel(s.contract, 1, level); !ok {
		s.count()
	}
	select {
	case <-s.node(number).urgent:
		if s.wakes[number].IsZero() {
			s.wakes[number] = s.now.Add(urgentDelay + slot)
		}
	default:
	}
}

// count counts a refusal as wrong if the work of the last second was within
// the rate, and so within the burst.
func (s *swing) count() {
	sum := lagoonbarrow.WorkUnits(0)
	for _, units := range s.asked {
		sum += units
	}
	if sum <= swingRate {
		s.refused++
	}
}

// Guards against refusals of a customer that stays below its rate while its
// demand jumps or moves between nodes within a second.
func TestSwingsWithinTheRate(t *testing.T) {
	on := func(first, count int, units, rest float64) func(int) float64 {
		return func(node int) float64 {
			if node >= first && node < first+count {
				return units
			}
			return rest
		}
	}
	cases := []struct {
		before, after, other func(int) float64
		name                 string
		// most is the part of the work that may be refused.
		most float64
	}{
		{
			before: on(0, 0, 0, 0),
			after:  on(0, 2, 900, 0),
			name:   "2 nodes, 0 to 1,800",
			most:   0.002,
		},
		{
			before: on(0, 2, 10, 0),
			after:  on(0, 2, 900, 0),
			name:   "2 nodes, 20 to 1,800",
		},
		{
			before: on(0, 1, 200, 0),
			after:  on(0, 1, 2000, 0),
			name:   "1 node, 200 to 2,000",
		},
		{
			before: on(0, 0, 0, 0),
			after:  on(0, 16, 125, 0),
			name:   "16 nodes, 0 to 2,000",
		},
		{
			before: on(0, 16, 12, 0),
			after:  on(0, 16, 120, 0),
			name:   "16 nodes, 200 to 2,000",
		},
		{
			before: on(0, 16, 10, 0),
			after:  on(0, 2, 900, 10),
			name:   "16 nodes at 10, 2 of them to 900",
			most:   0.008,
		},
		{
			before: on(0, 0, 0, 0),
			after:  on(0, 2, 900, 0),
			other:  on(2, 2, 900, 0),
			name:   "1,800 between 2 and 2 nodes each second",
			most:   0.02,
		},
		{
			before: on(0, 8, 100, 0),
			after:  on(0, 8, 200, 0),
			other:  on(8, 8, 200, 0),
			name:   "1,600 between 8 and 8 nodes each second",
		},
		{
			before: on(0, 16, 10, 0),
			after:  on(0, 1, 1500, 10),
			other:  on(8, 1, 1500, 10),
			name:   "1,500 between 1 and 1 of 16 nodes each second",
			most:   0.07,
		},
	}
	for _, test := range cases {
		s := newSwing()
		for second := range 24 {
			demand := test.before
			switch {
			case test.other != nil && second%2 == 1:
				demand = test.other
			case second%8 >= 4 || test.other != nil && second >= 4:
				demand = test.after
			}
			s.second(demand)
		}
		result := fmt.Sprintf("%s: %.0f of %.0f wrongly refused, at most %d reports a second", test.name, s.refused, s.total, s.reports)
		t.Log(result)
		if float64(s.refused) > test.most*float64(s.total) || s.reports > quarters {
			t.Error(result)
		}
	}
}

// Guards against a report each second for steady demand far below the share.
func TestSteadyDemandIsReportedLessOften(t *testing.T) {
	s := newSwing()
	before := uint64(0)
	for second := range 16 {
		if second == 8 {
			before = s.node(0).reporter.sequence
		}
		s.second(func(node int) float64 { return float64(max(0, 200-200*node)) })
	}
	if sent := s.node(0).reporter.sequence - before; sent > 5 || s.refused > 0 {
		t.Errorf("%d reports in 8 s, %v refused", sent, s.refused)
	}
}
