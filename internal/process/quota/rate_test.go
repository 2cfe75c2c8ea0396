package quota

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against a rate that is not reached, or passed, over many nodes with
// random arrivals in injected time: far below the rate nothing is refused but
// what single bursts exceed, above it the rate is used up and not passed, also
// while the owner is dead and while the demand moves to other nodes.
func TestRateOverManyNodes(t *testing.T) {
	cases := []struct {
		name string
		// perSecond is the number of requests on all nodes together, of units each.
		perSecond int
		units     lagoonbarrow.WorkUnits
		nodes     int
		kill      bool
		move      bool
		// least and most are the parts of the rate that may be admitted.
		least float64
		most  float64
	}{
		{
			name:      "a tenth of the rate",
			perSecond: 10,
			units:     1,
			nodes:     16,
			least:     0.095,
			most:      0.105,
		},
		{
			name:      "half the rate",
			perSecond: 50,
			units:     1,
			nodes:     16,
			least:     0.46,
			most:      0.51,
		},
		{
			name:      "just below the rate",
			perSecond: 90,
			units:     1,
			nodes:     16,
			least:     0.75,
			most:      0.92,
		},
		{
			name:      "just below the rate, small requests",
			perSecond: 1800,
			units:     0.05,
			nodes:     16,
			least:     0.87,
			most:      0.92,
		},
		{
			name:      "twice the rate",
			perSecond: 200,
			units:     1,
			nodes:     16,
			least:     0.90,
			most:      1.02,
		},
		{
			name:      "twice the rate, small requests",
			perSecond: 4000,
			units:     0.05,
			nodes:     16,
			least:     0.95,
			most:      1.02,
		},
		{
			name:      "twice the rate on 4 of 16 nodes",
			perSecond: 200,
			units:     1,
			nodes:     4,
			least:     0.95,
			most:      1.02,
		},
		{
			name:      "owner dies",
			perSecond: 200,
			units:     1,
			nodes:     16,
			kill:      true,
			least:     0.95,
			most:      1.05,
		},
		{
			name:      "half the rate moves every 3 s",
			perSecond: 50,
			units:     1,
			nodes:     4,
			move:      true,
			least:     0.38,
			most:      0.51,
		},
		{
			name:      "just below the rate moves every 3 s",
			perSecond: 90,
			units:     1,
			nodes:     4,
			move:      true,
			least:     0.45,
			most:      0.92,
		},
	}
	for _, test := range cases {
		w := newWorld(16)
		random := rand.New(rand.NewPCG(11, 11))
		admitted := lagoonbarrow.WorkUnits(0)
		asked := lagoonbarrow.WorkUnits(0)
		const seconds = 30
		start := w.now
		for second := range seconds {
			if second == 5 {
				start = w.now
			}
			if test.kill && second == 10 {
				owner, _ := w.node(0).reporter.owners.of(w.now, "acme")
				w.silent[owner.Peer] = true
			}
			first := 0
			if test.move && second%6 >= 3 {
				first = 8
			}
			count := 0
			for request := range test.perSecond {
				if request%(test.perSecond/quarters) == 0 {
					count++
					for number := range w.members {
						w.node(number).step(context.Background(), count%quarters)
					}
				}
				w.now = w.now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(test.perSecond)))
				node := w.node(first + random.IntN(test.nodes))
				ok, _ := node.AllowLevel(w.contract, test.units, lagoonbarrow.ImportanceNormal)
				select {
				case <-node.urgent:
					node.round(context.Background(), node.due(true))
				default:
				}
				if second < 5 {
					continue
				}
				asked += test.units
				if ok {
					admitted += test.units
				}
			}
		}
		part := float64(admitted) / (testRate * w.now.Sub(start).Seconds())
		t.Logf("%s: asked for %.0f, admitted %.0f, %.3f of the rate", test.name, asked, admitted, part)
		if part < test.least || part > test.most {
			t.Errorf("%s: %.3f of the rate admitted, expected %.2f to %.2f", test.name, part, test.least, test.most)
		}
	}
}
