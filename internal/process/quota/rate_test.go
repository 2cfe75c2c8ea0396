package quota

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against admitted work below or above the rate over many nodes with random
// arrivals. Far below the rate, only requests in random bursts may be refused.
// Above it, the rate must be used and not exceeded, even while the owner is down
// or the demand moves to other nodes.
func TestRateOverManyNodes(t *testing.T) {
	cases := []struct {
		name string
		// perSecond is the number of requests on all nodes together. Each takes
		// units.
		perSecond  int
		units      lagoonbarrow.WorkUnits
		nodes      int
		ownerFails bool
		moveDemand bool
		// minFraction and maxFraction bound the fraction of the rate that is
		// admitted.
		minFraction float64
		maxFraction float64
	}{
		{
			name:        "a tenth of the rate",
			perSecond:   10,
			units:       1,
			nodes:       16,
			minFraction: 0.095,
			maxFraction: 0.105,
		},
		{
			name:        "half the rate",
			perSecond:   50,
			units:       1,
			nodes:       16,
			minFraction: 0.46,
			maxFraction: 0.51,
		},
		{
			name:        "just below the rate",
			perSecond:   90,
			units:       1,
			nodes:       16,
			minFraction: 0.75,
			maxFraction: 0.92,
		},
		{
			name:        "just below the rate, small requests",
			perSecond:   1800,
			units:       0.05,
			nodes:       16,
			minFraction: 0.87,
			maxFraction: 0.92,
		},
		{
			name:        "twice the rate",
			perSecond:   200,
			units:       1,
			nodes:       16,
			minFraction: 0.90,
			maxFraction: 1.02,
		},
		{
			name:        "twice the rate, small requests",
			perSecond:   4000,
			units:       0.05,
			nodes:       16,
			minFraction: 0.95,
			maxFraction: 1.02,
		},
		{
			name:        "twice the rate on 4 of 16 nodes",
			perSecond:   200,
			units:       1,
			nodes:       4,
			minFraction: 0.95,
			maxFraction: 1.02,
		},
		{
			name:        "owner dies",
			perSecond:   200,
			units:       1,
			nodes:       16,
			ownerFails:  true,
			minFraction: 0.95,
			maxFraction: 1.05,
		},
		{
			name:        "half the rate moves every 3 s",
			perSecond:   50,
			units:       1,
			nodes:       4,
			moveDemand:  true,
			minFraction: 0.38,
			maxFraction: 0.51,
		},
		{
			name:        "just below the rate moves every 3 s",
			perSecond:   90,
			units:       1,
			nodes:       4,
			moveDemand:  true,
			minFraction: 0.45,
			maxFraction: 0.92,
		},
	}
	for _, test := range cases {
		c := newCluster(16)
		random := rand.New(rand.NewPCG(11, 11))
		admitted := lagoonbarrow.WorkUnits(0)
		requested := lagoonbarrow.WorkUnits(0)
		const seconds = 30
		start := c.now
		for second := range seconds {
			if second == 5 {
				start = c.now
			}
			if test.ownerFails && second == 10 {
				owner, _ := c.node(0).reporter.owners.ownerOf(c.now, "acme")
				c.unreachable[owner.Peer] = true
			}
			first := 0
			if test.moveDemand && second%6 >= 3 {
				first = 8
			}
			count := 0
			for request := range test.perSecond {
				if request%(test.perSecond/checksPerInterval) == 0 {
					count++
					for number := range c.members {
						c.node(number).onTimer(context.Background(), count%checksPerInterval)
					}
				}
				c.now = c.now.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(test.perSecond)))
				node := c.node(first + random.IntN(test.nodes))
				ok, _ := node.Allow(c.contract, test.units, lagoonbarrow.ImportanceNormal)
				select {
				case <-node.urgent:
					node.sendReports(context.Background(), node.dueEntries(true))
				default:
				}
				if second < 5 {
					continue
				}
				requested += test.units
				if ok {
					admitted += test.units
				}
			}
		}
		fraction := float64(admitted) / (testRate * c.now.Sub(start).Seconds())
		t.Logf("%s: requested %.0f, admitted %.0f, %.3f of the rate", test.name, requested, admitted, fraction)
		if fraction < test.minFraction || fraction > test.maxFraction {
			t.Errorf("%s: %.3f of the rate admitted, expected %.2f to %.2f", test.name, fraction, test.minFraction, test.maxFraction)
		}
	}
}
