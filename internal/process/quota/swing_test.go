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
	// timeStep is the step of the injected clock.
	timeStep = 5 * time.Millisecond
)

// swingSimulation runs 16 nodes whose demand changes from second to second.
type swingSimulation struct {
	*cluster
	random *rand.Rand
	// nextRequest and urgentAt are the times of each node's next request and next
	// urgent report.
	nextRequest []time.Time
	urgentAt    []time.Time
	// requested is the work requested in each step of the last second.
	requested      [time.Second / timeStep]lagoonbarrow.WorkUnits
	total          lagoonbarrow.WorkUnits
	wronglyRefused lagoonbarrow.WorkUnits
	maxReports     uint64
}

func newSwingSimulation() *swingSimulation {
	c := newCluster(16)
	changed := *c.contract.Contract
	changed.WorkUnitsPerSecond = swingRate
	changed.BurstWorkUnits = swingBurst
	c.contract.Contract = &changed
	c.contract.Version++
	c.contract.Revision++
	c.registry.Load([]lagoonbarrow.ContractRecord{c.contract}, c.contract.Revision)
	return &swingSimulation{
		cluster:     c,
		random:      rand.New(rand.NewPCG(7, 7)),
		nextRequest: make([]time.Time, len(c.members)),
		urgentAt:    make([]time.Time, len(c.members)),
	}
}

// runSecond runs one second. demand returns each node's work units per second.
func (s *swingSimulation) runSecond(demand func(node int) float64) {
	before := make([]uint64, len(s.members))
	for number := range s.members {
		before[number] = s.node(number).reporter.sequence
		s.nextRequest[number] = s.now.Add(s.interarrival(demand(number)))
	}
	for index := range s.requested {
		s.now = s.now.Add(timeStep)
		s.requested[index] = 0
		for number := range s.members {
			s.report(number, index)
			for ; s.nextRequest[number].Before(s.now); s.nextRequest[number] = s.nextRequest[number].Add(s.interarrival(demand(number))) {
				s.requested[index]++
				s.sendRequest(number)
			}
		}
	}
	for number := range s.members {
		s.maxReports = max(s.maxReports, s.node(number).reporter.sequence-before[number])
	}
}

// interarrival returns a random time until the next request.
func (s *swingSimulation) interarrival(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Hour
	}
	return time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second))
}

// report runs the timer of a node, at a different offset for each node, and its
// urgent reports, which take 5 ms in addition to urgentDelay.
func (s *swingSimulation) report(number, index int) {
	node := s.node(number)
	perStep := len(s.requested) / checksPerInterval
	if (index+number*3)%perStep == 0 {
		node.onTimer(context.Background(), (index+number*3)/perStep%checksPerInterval)
	}
	if !s.urgentAt[number].IsZero() && !s.now.Before(s.urgentAt[number]) {
		s.urgentAt[number] = time.Time{}
		node.sendReports(context.Background(), node.dueEntries(true))
	}
}

// sendRequest requests one work unit. A tenth of the work is critical, and half of
// it deferrable.
func (s *swingSimulation) sendRequest(number int) {
	level := lagoonbarrow.ImportanceDeferrable
	switch kind := s.random.IntN(10); {
	case kind == 0:
		level = lagoonbarrow.ImportanceCritical
	case kind < 5:
		level = lagoonbarrow.ImportanceNormal
	}
	s.total++
	if ok, _ := s.node(number).Allow(s.contract, 1, level); !ok {
		s.countRefusal()
	}
	select {
	case <-s.node(number).urgent:
		if s.urgentAt[number].IsZero() {
			s.urgentAt[number] = s.now.Add(urgentDelay + timeStep)
		}
	default:
	}
}

// countRefusal counts a refusal as wrong if the work of the last second was within
// the rate, and therefore within the burst.
func (s *swingSimulation) countRefusal() {
	sum := lagoonbarrow.WorkUnits(0)
	for _, units := range s.requested {
		sum += units
	}
	if sum <= swingRate {
		s.wronglyRefused++
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
		// maxRefused is the fraction of the work that may be refused.
		maxRefused float64
	}{
		{
			before:     on(0, 0, 0, 0),
			after:      on(0, 2, 900, 0),
			name:       "2 nodes, 0 to 1,800",
			maxRefused: 0.002,
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
			before:     on(0, 16, 10, 0),
			after:      on(0, 2, 900, 10),
			name:       "16 nodes at 10, 2 of them to 900",
			maxRefused: 0.008,
		},
		{
			before:     on(0, 0, 0, 0),
			after:      on(0, 2, 900, 0),
			other:      on(2, 2, 900, 0),
			name:       "1,800 between 2 and 2 nodes each second",
			maxRefused: 0.02,
		},
		{
			before: on(0, 8, 100, 0),
			after:  on(0, 8, 200, 0),
			other:  on(8, 8, 200, 0),
			name:   "1,600 between 8 and 8 nodes each second",
		},
		{
			before:     on(0, 16, 10, 0),
			after:      on(0, 1, 1500, 10),
			other:      on(8, 1, 1500, 10),
			name:       "1,500 between 1 and 1 of 16 nodes each second",
			maxRefused: 0.07,
		},
	}
	for _, test := range cases {
		s := newSwingSimulation()
		for second := range 24 {
			demand := test.before
			switch {
			case test.other != nil && second%2 == 1:
				demand = test.other
			case second%8 >= 4 || test.other != nil && second >= 4:
				demand = test.after
			}
			s.runSecond(demand)
		}
		result := fmt.Sprintf("%s: %.0f of %.0f wrongly refused, at most %d reports a second", test.name, s.wronglyRefused, s.total, s.maxReports)
		t.Log(result)
		if float64(s.wronglyRefused) > test.maxRefused*float64(s.total) || s.maxReports > checksPerInterval {
			t.Error(result)
		}
	}
}

// Guards against a report every second for steady demand far below the share.
func TestSteadyDemandIsReportedLessOften(t *testing.T) {
	s := newSwingSimulation()
	before := uint64(0)
	for second := range 16 {
		if second == 8 {
			before = s.node(0).reporter.sequence
		}
		s.runSecond(func(node int) float64 { return float64(max(0, 200-200*node)) })
	}
	if sent := s.node(0).reporter.sequence - before; sent > 5 || s.wronglyRefused > 0 {
		t.Errorf("%d reports in 8 s, %v refused", sent, s.wronglyRefused)
	}
}
