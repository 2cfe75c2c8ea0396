package feed

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// simulationLength is the simulated time of one seed.
	simulationLength = 90 * time.Second
	checkInterval    = 20 * time.Millisecond
	// defaultSeeds is the number of simulations without LAGOONBARROW_SEEDS.
	defaultSeeds = 15
)

// seeds returns the seed in LAGOONBARROW_SEED, or else as many seeds as
// LAGOONBARROW_SEEDS sets.
func seeds() []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("LAGOONBARROW_SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	count, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil {
		count = defaultSeeds
	}
	var all []uint64
	for i := range count {
		all = append(all, uint64(i+1))
	}
	return all
}

// faultSchedule begins and ends random faults of a simulation and puts changes.
type faultSchedule struct {
	*simulation
	// ends holds the faults in force.
	ends []scheduledEnd
	// lines describes what has happened.
	lines      []string
	started    time.Time
	nextFault  time.Time
	nextChange time.Time
	// unstableUntil is when the last fault of the store itself ends.
	unstableUntil time.Time
	// nextRestore is when the store goes away to be restored, or zero for never.
	nextRestore time.Time
}

type scheduledEnd struct {
	at  time.Time
	end func()
}

func (s *faultSchedule) logf(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%8s ", time.Since(s.started))+fmt.Sprintf(format, args...))
}

// step begins and ends what is due.
func (s *faultSchedule) step() {
	now := time.Now()
	var rest []scheduledEnd
	for _, scheduled := range s.ends {
		if now.Before(scheduled.at) {
			rest = append(rest, scheduled)
			continue
		}
		scheduled.end()
	}
	s.ends = rest
	if !now.Before(s.nextFault) {
		s.nextFault = now.Add(s.between(200*time.Millisecond, 8*time.Second))
		s.beginFault(now)
	}
	if !s.nextRestore.IsZero() && !now.Before(s.nextRestore) {
		s.nextRestore = now.Add(s.between(2*time.Second, 20*time.Second))
		s.beginRestore(now)
	}
	if !now.Before(s.nextChange) {
		s.nextChange = now.Add(s.between(50*time.Millisecond, 5*time.Second))
		s.change()
		s.logf("change %d", s.store.currentVersion())
	}
}

// change puts a random row, or deletes it. Without restores there is only one row.
func (s *faultSchedule) change() {
	if s.nextRestore.IsZero() {
		s.store.put("a", false)
		return
	}
	s.store.put([]string{"a", "b", "c"}[s.intN(3)], s.intN(4) == 0)
}

// beginRestore takes the store away from all nodes, and brings it back from an older copy.
func (s *faultSchedule) beginRestore(now time.Time) {
	end := now.Add(s.between(50*time.Millisecond, 3*time.Second))
	ago := s.between(0, 15*time.Second)
	fault := []nodeFault{faultStoreCut, faultStoreRefuses}[s.intN(2)]
	for i := range s.nodes {
		s.beginNodeFault(i, fault, end)
	}
	if end.After(s.unstableUntil) {
		s.unstableUntil = end
	}
	s.logf("the store is restored at %s from a copy %s old", end.Sub(s.started), ago)
	s.ends = append(s.ends, scheduledEnd{
		at:  end,
		end: func() { s.store.restore(ago) },
	})
}

// beginFault begins a random fault of some nodes, of links or of the store.
func (s *faultSchedule) beginFault(now time.Time) {
	end := now.Add(s.between(300*time.Millisecond, 8*time.Second))
	switch s.intN(8) {
	case 0:
		s.store.dropHistory()
		s.logf("history dropped")
	case 1:
		s.silenceLinks(end)
	case 2:
		fault := []nodeFault{faultStoreCut, faultStoreRefuses, faultStoreSlow}[s.intN(3)]
		if end.After(s.unstableUntil) {
			s.unstableUntil = end
		}
		for i := range s.nodes {
			s.beginNodeFault(i, fault, end)
		}
	default:
		fault := nodeFaults[s.intN(len(nodeFaults))]
		for range 1 + s.intN(len(s.nodes)/2) {
			s.beginNodeFault(s.pick(), fault, end)
		}
	}
}

// pick returns a random node, more often one of the readers.
func (s *faultSchedule) pick() int {
	if s.intN(2) == 0 {
		return s.intN(len(s.nodes))
	}
	return s.readers()[s.intN(maxSources)]
}

func (s *faultSchedule) beginNodeFault(index int, fault nodeFault, end time.Time) {
	node := s.nodes[index]
	if node.has(fault) {
		return
	}
	s.logf("%s: %s until %s", memberID(index), fault, end.Sub(s.started))
	node.setFault(fault, true)
	s.ends = append(s.ends, scheduledEnd{
		at:  end,
		end: func() { node.setFault(fault, false) },
	})
}

// silenceLinks makes half of all links silent.
func (s *faultSchedule) silenceLinks(end time.Time) {
	s.logf("half of the links are silent until %s", end.Sub(s.started))
	for a := range s.nodes {
		for b := range a {
			if s.intN(2) == 0 {
				continue
			}
			s.setSilentLink(a, b, true)
			s.ends = append(s.ends, scheduledEnd{
				at:  end,
				end: func() { s.setSilentLink(a, b, false) },
			})
		}
	}
}

// Guards against a node that works and has a change later than it has to be in force,
// while other nodes, links and the store fail in any order.
func TestPropertyChangesAreInTime(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRandomFaults(t, seed) })
		})
	}
}

// Guards against rows that a node keeps or misses after restores, beside the faults above.
func TestPropertyRowsFollowRestores(t *testing.T) {
	for _, seed := range seeds() {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkRestores(t, seed) })
		})
	}
}

func checkRestores(t *testing.T, seed uint64) {
	s := newFaultSchedule(seed)
	s.nextRestore = time.Now().Add(5 * time.Second)
	s.run(func() { s.checkRows(t) })
}

func checkRandomFaults(t *testing.T, seed uint64) {
	s := newFaultSchedule(seed)
	s.run(func() { s.checkVersions(t) })
}

func newFaultSchedule(seed uint64) *faultSchedule {
	return &faultSchedule{
		simulation: newSimulation(seed, 10, 2),
		started:    time.Now(),
		nextFault:  time.Now().Add(5 * time.Second),
		nextChange: time.Now(),
	}
}

// run starts the nodes and plays the schedule. It calls check whenever the store has worked
// for recoveryBound.
func (s *faultSchedule) run(check func()) {
	for _, n := range s.nodes {
		n.start()
		time.Sleep(s.between(time.Millisecond, 150*time.Millisecond))
	}
	defer s.stop()
	for time.Since(s.started) < simulationLength {
		s.step()
		time.Sleep(checkInterval)
		if time.Now().After(s.unstableUntil.Add(recoveryBound)) {
			check()
		}
	}
}

// checkRows fails unless all nodes that have worked for recoveryBound have the rows that the
// store has now, or has had within applyBound.
func (s *faultSchedule) checkRows(t *testing.T) {
	t.Helper()
	for _, n := range s.nodes {
		if !n.healthyFor(recoveryBound) || s.store.hadSince(time.Now().Add(-applyBound), n.content()) {
			continue
		}
		s.logf("%s has the rows %q", memberID(n.index), n.content())
		s.fail(t, n)
	}
}

// checkVersions fails unless all nodes that have worked for recoveryBound have the changes
// that are older than applyBound.
func (s *faultSchedule) checkVersions(t *testing.T) {
	t.Helper()
	want := s.store.versionBefore(time.Now().Add(-applyBound))
	for _, n := range s.nodes {
		if n.healthyFor(recoveryBound) && n.version() < want {
			s.logf("%s has version %d, not %d", memberID(n.index), n.version(), want)
			s.fail(t, n)
		}
	}
}

// fail ends the test with what has happened and the log of a node.
func (s *faultSchedule) fail(t *testing.T, n *simulatedNode) {
	t.Helper()
	t.Fatalf("%s\nlog of %s, whose time begins at %s:\n%s", strings.Join(s.lines, "\n"), memberID(n.index), s.started, n.log.String())
}
