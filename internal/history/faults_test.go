package history

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
	"lagoonbarrow/internal/standin/platform"
)

// fault injects one failure at a node or around it, and ends it again.
type fault func(f *testFleet, node *fleet.Node, random *rand.Rand)

var (
	nodeFaults = []fault{
		killNode,
		freezeNode,
		cutNode,
	}
	platformFaults = []fault{
		platformDown,
		platformLosesAnswers,
		platformDelaysWrites,
	}
	backendFaults = []fault{
		backendsCutAnswers,
		backendsSlow,
	}
)

// disturb injects random faults at the nodes for the given time.
func (f *testFleet) disturb(random *rand.Rand, duration time.Duration, nodes []*fleet.Node, groups ...[]fault) {
	var faults []fault
	for _, group := range groups {
		faults = append(faults, group...)
	}
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		inject := faults[random.IntN(len(faults))]
		inject(f, nodes[random.IntN(len(nodes))], random)
		pauseUpTo(random, 0, 300)
	}
}

// pauseUpTo sleeps for a random time between two numbers of milliseconds.
func pauseUpTo(random *rand.Rand, low, high int) {
	time.Sleep(time.Duration(low+random.IntN(high-low)) * time.Millisecond)
}

func killNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.Kill()
	pauseUpTo(random, 100, 300)
	node.Start()
}

// freezeNode pauses a node, also past the deadline of 3 s of what it was doing.
func freezeNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.Freeze()
	pauseUpTo(random, 200, 3700)
	node.Thaw()
}

func cutNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.Cut()
	pauseUpTo(random, 50, 1500)
	node.Mend()
}

func platformDown(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.platformFault(platform.Faults{
		Down: platform.DownRefuse,
	})
}

func platformLosesAnswers(f *testFleet, _ *fleet.Node, random *rand.Rand) {
	f.platformFault(platform.Faults{
		LoseAnswers: 0.5,
		LoseReads:   0.2,
		Seed:        random.Uint64(),
	})
}

func platformDelaysWrites(f *testFleet, _ *fleet.Node, random *rand.Rand) {
	f.platformFault(platform.Faults{
		DelayWrites:      lagoonbarrow.Duration(900 * time.Millisecond),
		DelayProbability: 0.5,
		Seed:             random.Uint64(),
	})
}

func (f *testFleet) platformFault(faults platform.Faults) {
	f.Platform.SetFaults(faults)
	time.Sleep(800 * time.Millisecond)
	f.Platform.SetFaults(platform.Faults{})
}

func backendsCutAnswers(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.switchAll(func(s *backend.Switches) { s.Cut = 0.3 })
	time.Sleep(400 * time.Millisecond)
	f.switchAll(func(s *backend.Switches) { s.Cut = 0 })
}

func backendsSlow(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.switchAll(func(s *backend.Switches) { s.Slow = 30 })
	time.Sleep(400 * time.Millisecond)
	f.switchAll(func(s *backend.Switches) { s.Slow = 0 })
}

func (f *testFleet) switchAll(change func(*backend.Switches)) {
	for _, node := range f.Nodes {
		node.Backend.Switch(change)
	}
}
