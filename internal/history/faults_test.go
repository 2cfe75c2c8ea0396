package history

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
	"lagoonbarrow/internal/standin/platform"
)

// fault injects one failure into a node, the platform or the backend servers, and
// ends it before it returns.
type fault func(f *testFleet, node *fleet.Node, random *rand.Rand)

var (
	nodeFaults = []fault{
		killNode,
		freezeNode,
		disconnectNode,
	}
	platformFaults = []fault{
		takePlatformDown,
		losePlatformAnswers,
		delayPlatformWrites,
	}
	backendFaults = []fault{
		cutBackendAnswers,
		slowBackends,
	}
)

// injectFaults injects random faults from the groups, one after another, for the
// given time. Node faults affect the given nodes only.
func (f *testFleet) injectFaults(random *rand.Rand, duration time.Duration, nodes []*fleet.Node, groups ...[]fault) {
	var faults []fault
	for _, group := range groups {
		faults = append(faults, group...)
	}
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		inject := faults[random.IntN(len(faults))]
		inject(f, nodes[random.IntN(len(nodes))], random)
		sleepBetween(random, 0, 300)
	}
}

// sleepBetween sleeps for a random time from low to high milliseconds.
func sleepBetween(random *rand.Rand, low, high int) {
	time.Sleep(time.Duration(low+random.IntN(high-low)) * time.Millisecond)
}

func killNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.Kill()
	sleepBetween(random, 100, 300)
	node.Start()
}

// freezeNode pauses a node for up to 3.7 s, so also past the deadline of 3 s of the
// calls in progress.
func freezeNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.Freeze()
	sleepBetween(random, 200, 3700)
	node.Unfreeze()
}

func disconnectNode(_ *testFleet, node *fleet.Node, random *rand.Rand) {
	node.CutPeerConnections()
	sleepBetween(random, 50, 1500)
	node.RestorePeerConnections()
}

func takePlatformDown(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.injectPlatformFaults(platform.Faults{
		Down: platform.DownRefuse,
	})
}

func losePlatformAnswers(f *testFleet, _ *fleet.Node, random *rand.Rand) {
	f.injectPlatformFaults(platform.Faults{
		LoseAnswers: 0.5,
		LoseReads:   0.2,
		Seed:        random.Uint64(),
	})
}

func delayPlatformWrites(f *testFleet, _ *fleet.Node, random *rand.Rand) {
	f.injectPlatformFaults(platform.Faults{
		DelayWrites:      lagoonbarrow.Duration(900 * time.Millisecond),
		DelayProbability: 0.5,
		Seed:             random.Uint64(),
	})
}

// injectPlatformFaults keeps the faults in force for 800 ms.
func (f *testFleet) injectPlatformFaults(faults platform.Faults) {
	f.Platform.SetFaults(faults)
	time.Sleep(800 * time.Millisecond)
	f.Platform.SetFaults(platform.Faults{})
}

func cutBackendAnswers(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.updateSwitches(func(s *backend.Switches) { s.Cut = 0.3 })
	time.Sleep(400 * time.Millisecond)
	f.updateSwitches(func(s *backend.Switches) { s.Cut = 0 })
}

func slowBackends(f *testFleet, _ *fleet.Node, _ *rand.Rand) {
	f.updateSwitches(func(s *backend.Switches) { s.Slow = 30 })
	time.Sleep(400 * time.Millisecond)
	f.updateSwitches(func(s *backend.Switches) { s.Slow = 0 })
}

func (f *testFleet) updateSwitches(change func(*backend.Switches)) {
	for _, node := range f.Nodes {
		node.Backend.UpdateSwitches(change)
	}
}
