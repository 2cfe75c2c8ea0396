package roster

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Guards against members that stay unknown or not ready when all instances join at
// the same moment.
func TestJoin(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		for i := range 24 {
			f.add(testInstance(i, 4))
		}
		f.eventually(time.Minute, "complete table", f.converged)
		if got := len(f.nodes[3].Instances("service-1")); got != 6 {
			t.Errorf("service-1 has %d instances, want 6", got)
		}
	})
}

// Guards against a failed instance that keeps receiving work.
func TestKilledInstanceIsDead(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		killed := f.nodes[5]
		f.kill(killed)
		f.eventually(time.Minute, "dead everywhere", func() bool {
			return f.allSee(killed.self.ID, lagoonbarrow.StateDead)
		})
		if f.nodes[0].eventCount(event.MemberDead) != 1 {
			t.Errorf("events: %v", f.nodes[0].events)
		}
	})
}

// Guards against a leave that reaches only some members, and against a row that
// remains after its instance has left.
func TestLeave(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		leaving := f.nodes[4]
		leaving.Leave(context.Background())
		f.eventually(10*time.Second, "leaving everywhere", func() bool {
			return f.allSee(leaving.self.ID, lagoonbarrow.StateLeaving)
		})
		f.kill(leaving)
		f.eventually(30*time.Second, "left everywhere", func() bool {
			return f.allSee(leaving.self.ID, lagoonbarrow.StateLeft)
		})
		if f.table.hasRow(leaving.self.ID) {
			t.Error("the row was not removed")
		}
	})
}

// Guards against a frozen instance that stays dead for the others after it resumes,
// and against one that declares the others dead when it resumes.
func TestFrozenInstanceRefutes(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		frozen := f.nodes[2]
		f.blockTraffic(func(from, to lagoonbarrow.Instance) bool {
			return from.ID == frozen.self.ID || to.ID == frozen.self.ID
		})
		f.eventually(time.Minute, "dead for the others", func() bool {
			seen, _ := f.nodes[0].Lookup(frozen.self.ID)
			return seen.State == lagoonbarrow.StateDead
		})
		before, _ := f.nodes[0].Lookup(frozen.self.ID)
		f.blockTraffic(nil)
		f.eventually(3*time.Minute, "complete table again", f.converged)
		after, _ := f.nodes[0].Lookup(frozen.self.ID)
		if after.Incarnation <= before.Incarnation {
			t.Errorf("incarnation %d after the refutation, %d before", after.Incarnation, before.Incarnation)
		}
		if frozen.eventCount(event.MemberRefuted) == 0 {
			t.Error("no refutation was recorded")
		}
	})
}

// Guards against a short interruption that leads to a death although it ends within
// the suspicion time.
func TestShortInterruptionIsRefuted(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(16, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		slow := f.nodes[7]
		f.blockTraffic(func(from, to lagoonbarrow.Instance) bool {
			return from.ID == slow.self.ID || to.ID == slow.self.ID
		})
		time.Sleep(3 * time.Second)
		f.blockTraffic(nil)
		f.eventually(time.Minute, "complete table", f.converged)
		for _, n := range f.nodes {
			if n.eventCount(event.MemberDead) > 0 {
				t.Fatalf("%s recorded a death", n.self.ID)
			}
		}
	})
}

// Guards against a leave that a partition hides. The instance must end as left on
// the side that received the leave, and as dead or left on the other side.
func TestLeaveDuringPartition(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(16, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		f.blockTraffic(func(from, to lagoonbarrow.Instance) bool {
			return from.Region != to.Region
		})
		time.Sleep(time.Minute)
		leaving := f.nodes[0]
		leaving.Leave(context.Background())
		time.Sleep(10 * time.Second)
		f.kill(leaving)
		f.blockTraffic(nil)
		f.eventually(10*time.Minute, "all others live again", func() bool {
			for _, n := range f.nodes {
				if len(n.Live()) != len(f.nodes) {
					return false
				}
			}
			return true
		})
		for _, n := range f.nodes {
			seen, known := n.Lookup(leaving.self.ID)
			if known && seen.State != lagoonbarrow.StateLeft && seen.State != lagoonbarrow.StateDead {
				t.Errorf("%s has the left instance as %v", n.self.ID, seen.State)
			}
		}
		if f.table.hasRow(leaving.self.ID) {
			t.Error("the row was not removed")
		}
	})
}

// Guards against regions that do not merge again after a partition, and against live
// members that become suspect or dead on their own side during the repair.
func TestRegionPartitionHeals(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		size := fleetSize(24)
		f.addMany(size, 4)
		f.eventually(10*time.Minute, "complete table", f.converged)
		f.blockTraffic(func(from, to lagoonbarrow.Instance) bool {
			return from.Region != to.Region
		})
		f.eventually(10*time.Minute, "each region sees only itself", func() bool {
			return len(f.nodes[0].Live()) == size/2 && len(f.nodes[1].Live()) == size/2
		})
		time.Sleep(minTrustedAge)
		f.blockTraffic(nil)
		before := map[*fakeNode]int{}
		for _, n := range f.nodes {
			before[n] = n.eventCount(event.MemberSuspect) + n.eventCount(event.MemberDead)
		}
		f.eventually(15*time.Minute, "complete table again", f.converged)
		wrong := 0
		for _, n := range f.nodes {
			wrong += n.eventCount(event.MemberSuspect) + n.eventCount(event.MemberDead) - before[n]
		}
		if wrong != 0 {
			t.Errorf("%d suspicions and deaths while the regions healed", wrong)
		}
	})
}

// Guards against the loss of an availability zone that is detected late, makes other
// members dead, or exceeds the budget for control traffic.
func TestZoneLoss(t *testing.T) {
	size := fleetSize(100)
	runInBubble(t, func(f *fleet) {
		f.addMany(size, 5)
		f.eventually(10*time.Minute, "complete table", f.converged)
		time.Sleep(time.Minute)
		killed := f.killZone("zone-3")
		before := f.traffic()
		start := time.Now()
		f.eventually(10*time.Minute, "zone dead everywhere", func() bool {
			for _, id := range killed {
				if !f.allSee(id, lagoonbarrow.StateDead) {
					return false
				}
			}
			return true
		})
		bodies, charged := f.traffic()[0]-before[0], f.traffic()[1]-before[1]
		seconds := time.Since(start).Seconds() * float64(len(f.nodes))
		t.Logf("%d of %d lost: %.0f B/s of bodies and %.0f B/s with connections per node",
			len(killed), size, bodies/seconds, charged/seconds)
		if charged/seconds > 3000 {
			t.Errorf("%.0f B/s per node exceed the budget of 3 KB/s", charged/seconds)
		}
		f.eventually(time.Minute, "remaining members ready", func() bool {
			for _, n := range f.nodes {
				if len(n.Live()) != len(f.nodes) {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a node without the platform that gives up or reports ready, and
// against a restart that reuses an incarnation.
func TestStartWithoutPlatform(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.table.down = true
		n := f.add(testInstance(0, 1))
		time.Sleep(time.Minute)
		if n.Ready() {
			t.Error("ready without platform")
		}
		if _, err := n.HandleMessage(context.Background(), "other", lagoonbarrow.Message{
			Kind: kindProbe,
		}); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
			t.Errorf("a probe before the registration returned %v", err)
		}
		f.table.mutex.Lock()
		f.table.down = false
		f.table.loseAnswer = true
		f.table.mutex.Unlock()
		f.eventually(time.Minute, "ready", n.Ready)
		first := n.Self().Incarnation
		f.kill(n)
		again := f.add(testInstance(0, 1))
		f.eventually(time.Minute, "ready again", again.Ready)
		if again.Self().Incarnation <= first {
			t.Errorf("incarnation %d after a restart, %d before", again.Self().Incarnation, first)
		}
	})
}

// Guards against a restart with a clock behind that of the previous process. The row
// and the peers' records must still raise the incarnation above the old one.
func TestRestartWithEarlierClock(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(4, 2)
		f.eventually(time.Minute, "complete table", f.converged)
		later := testInstance(9, 2)
		later.Incarnation = firstIncarnation(epochAt(time.Now().Add(time.Hour)))
		later.State = lagoonbarrow.StateReady
		f.nodes[0].Merge(later)
		f.eventually(2*time.Minute, "dead everywhere", func() bool {
			return f.allSee(later.ID, lagoonbarrow.StateDead)
		})
		f.add(testInstance(9, 2))
		f.eventually(2*time.Minute, "ready everywhere", func() bool {
			return f.allSee(later.ID, lagoonbarrow.StateReady)
		})
	})
}

// Guards against two processes with one instance id that keep raising their
// incarnations above each other.
func TestSupersededProcessGivesUp(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		var superseded atomic.Int32
		f.configure = func(c *Config) { c.OnSuperseded = func() { superseded.Add(1) } }
		f.addMany(6, 2)
		f.eventually(time.Minute, "complete table", f.converged)
		moved := testInstance(3, 2)
		moved.Peer = "10.9.9.9:7000"
		f.add(moved)
		f.eventually(5*time.Minute, "one process is superseded", func() bool {
			return superseded.Load() == 1
		})
		f.eventually(time.Minute, "the later process is ready", func() bool {
			seen, _ := f.nodes[0].Lookup(moved.ID)
			return seen.Peer == moved.Peer && seen.State == lagoonbarrow.StateReady
		})
	})
}

// Guards against a failed call that causes no probe before the regular turn, and
// against one probe for each of many failed calls.
func TestMarkUnreachable(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.configure = func(c *Config) { c.ProbeInterval = time.Hour }
		f.addMany(8, 2)
		caller, killed := f.nodes[7], f.nodes[1]
		// Only instances that the caller has as ready receive calls.
		f.eventually(time.Minute, "the instance is ready for the caller", func() bool {
			seen, _ := caller.Lookup(killed.self.ID)
			return caller.Ready() && seen.State == lagoonbarrow.StateReady
		})
		f.kill(killed)
		for range 1000 {
			caller.MarkUnreachable(killed.self.ID)
		}
		f.eventually(5*time.Second, "suspect", func() bool {
			seen, _ := caller.Lookup(killed.self.ID)
			return seen.State == lagoonbarrow.StateSuspect
		})
		if sent := caller.sentTo(killed.self.Peer); sent > 2 {
			t.Errorf("%d probes of one instance", sent)
		}
	})
}

// Guards against revisions that pass in one direction only, against an age without
// the transit time, and against a missing confirmation that arrives as an age.
func TestContractGossip(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		heads := map[lagoonbarrow.InstanceID]RevisionGossip{
			"instance-0000": {
				Revision: 7,
				HeadAge:  time.Second,
			},
			"instance-0001": {
				Revision: 5,
				HeadAge:  -1,
			},
		}
		f.configure = func(c *Config) {
			id := c.Self.ID
			c.LocalRevision = func() RevisionGossip { return heads[id] }
		}
		f.addMany(2, 1)
		f.eventually(time.Minute, "revisions received by both nodes", func() bool {
			return f.nodes[0].revisionFrom("instance-0001").Revision == 5 && f.nodes[1].revisionFrom("instance-0000").Revision == 7
		})
		if got := f.nodes[0].revisionFrom("instance-0001").HeadAge; got >= 0 {
			t.Errorf("an unconfirmed revision has age %v", got)
		}
		if got := f.nodes[1].revisionFrom("instance-0000").HeadAge; got <= time.Second || got > 2*time.Second {
			t.Errorf("age %v, want a little over 1s", got)
		}
	})
}

// removalBurst is how many rows may be removed within a second. The average is two,
// but the responsible nodes act at random times.
const removalBurst = 6

// Guards against rows of dead instances that are never removed, or removed in one
// burst.
func TestDeadRowsAreRemovedSlowly(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.configure = func(c *Config) { c.RowRemovalDelay = time.Minute }
		f.addMany(40, 4)
		f.eventually(time.Minute, "complete table", f.converged)
		killed := f.killZone("zone-2")
		f.eventually(30*time.Minute, "rows removed", func() bool {
			for _, id := range killed {
				if f.table.hasRow(id) {
					return false
				}
			}
			return true
		})
		if len(f.table.deletedAt) != len(killed) {
			t.Errorf("%d rows removed, want %d", len(f.table.deletedAt), len(killed))
		}
		for i := range len(f.table.deletedAt) - removalBurst {
			if f.table.deletedAt[i+removalBurst].Sub(f.table.deletedAt[i]) < time.Second {
				t.Errorf("more than %d rows removed within a second", removalBurst)
			}
		}
	})
}

// Guards against rows that are never removed because no running node knows the
// instance, as after a failure of the whole fleet.
func TestOrphanRowIsRemoved(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.configure = func(c *Config) { c.RowRemovalDelay = time.Minute }
		f.table.rows["instances/instance-0009"] = lagoonbarrow.Row{
			Table:   tableName,
			Key:     "instance-0009",
			Version: 1,
			Value:   []byte(`{"id":"instance-0009","service":"service-1","zone":"zone-1","peer":"10.0.0.9:7000","incarnation":1048576}`),
		}
		f.addMany(4, 2)
		f.eventually(time.Minute, "complete table", f.converged)
		f.eventually(time.Hour, "row removed", func() bool {
			return !f.table.hasRow("instance-0009")
		})
		if !f.converged() {
			t.Error("live members were lost")
		}
	})
}

// Guards against a restarted process at the same address whose new record the other
// nodes never request.
func TestQuickRestart(t *testing.T) {
	runInBubble(t, func(f *fleet) {
		f.addMany(8, 2)
		f.eventually(time.Minute, "complete table", f.converged)
		old := f.nodes[3]
		f.kill(old)
		changed := old.self
		changed.Slots = 200
		f.add(changed)
		f.eventually(time.Minute, "new record everywhere", func() bool {
			for _, n := range f.nodes {
				if seen, _ := n.Lookup(old.self.ID); seen.Slots != 200 || seen.State != lagoonbarrow.StateReady {
					return false
				}
			}
			return true
		})
	})
}
