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

// Guards against members that stay unknown or not ready after a join, when all
// instances start at the same moment.
func TestJoin(t *testing.T) {
	inBubble(t, func(f *fleet) {
		for i := range 24 {
			f.add(testInstance(i, 4))
		}
		f.eventually(time.Minute, "complete table", f.complete)
		if got := len(f.nodes[3].Instances("service-1")); got != 6 {
			t.Errorf("service-1 has %d instances, want 6", got)
		}
	})
}

// Guards against a failed instance that keeps receiving work.
func TestKilledInstanceIsDead(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		victim := f.nodes[5]
		f.kill(victim)
		f.eventually(time.Minute, "dead everywhere", func() bool {
			return f.all(victim.self.ID, lagoonbarrow.StateDead)
		})
		if f.nodes[0].count(event.MemberDead) != 1 {
			t.Errorf("events: %v", f.nodes[0].events)
		}
	})
}

// Guards against a leave that reaches only some members, and against a row
// that outlives its instance.
func TestLeave(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		leaver := f.nodes[4]
		leaver.Leave(context.Background())
		f.eventually(10*time.Second, "leaving everywhere", func() bool {
			return f.all(leaver.self.ID, lagoonbarrow.StateLeaving)
		})
		f.kill(leaver)
		f.eventually(30*time.Second, "left everywhere", func() bool {
			return f.all(leaver.self.ID, lagoonbarrow.StateLeft)
		})
		if f.table.has(leaver.self.ID) {
			t.Error("the row was not removed")
		}
	})
}

// Guards against an instance that stays dead for the others after it was
// frozen for a while, and against a woken instance that brings the others down.
func TestFrozenInstanceRefutes(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(12, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		frozen := f.nodes[2]
		f.setCut(func(from, to lagoonbarrow.Instance) bool {
			return from.ID == frozen.self.ID || to.ID == frozen.self.ID
		})
		f.eventually(time.Minute, "dead for the others", func() bool {
			seen, _ := f.nodes[0].Lookup(frozen.self.ID)
			return seen.State == lagoonbarrow.StateDead
		})
		before, _ := f.nodes[0].Lookup(frozen.self.ID)
		f.setCut(nil)
		f.eventually(3*time.Minute, "complete table again", f.complete)
		after, _ := f.nodes[0].Lookup(frozen.self.ID)
		if after.Incarnation <= before.Incarnation {
			t.Errorf("incarnation %d after the refutation, %d before", after.Incarnation, before.Incarnation)
		}
		if frozen.count(event.MemberRefuted) == 0 {
			t.Error("no refutation was recorded")
		}
	})
}

// Guards against a short interruption that ends in a death in spite of the
// suspicion time.
func TestShortInterruptionIsRefuted(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(16, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		slow := f.nodes[7]
		f.setCut(func(from, to lagoonbarrow.Instance) bool {
			return from.ID == slow.self.ID || to.ID == slow.self.ID
		})
		time.Sleep(3 * time.Second)
		f.setCut(nil)
		f.eventually(time.Minute, "complete table", f.complete)
		for _, n := range f.nodes {
			if n.count(event.MemberDead) > 0 {
				t.Fatalf("%s saw a death", n.self.ID)
			}
		}
	})
}

// Guards against a leave that a partition hides: the instance must end as left
// on the side that heard of it and as dead or left on the other.
func TestLeaveDuringPartition(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(16, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		f.setCut(func(from, to lagoonbarrow.Instance) bool {
			return from.Region != to.Region
		})
		time.Sleep(time.Minute)
		leaver := f.nodes[0]
		leaver.Leave(context.Background())
		time.Sleep(10 * time.Second)
		f.kill(leaver)
		f.setCut(nil)
		f.eventually(10*time.Minute, "others live again", func() bool {
			for _, n := range f.nodes {
				if len(n.Live()) != len(f.nodes) {
					return false
				}
			}
			return true
		})
		for _, n := range f.nodes {
			seen, known := n.Lookup(leaver.self.ID)
			if known && seen.State != lagoonbarrow.StateLeft && seen.State != lagoonbarrow.StateDead {
				t.Errorf("%s holds the left instance %v", n.self.ID, seen.State)
			}
		}
		if f.table.has(leaver.self.ID) {
			t.Error("the row was not removed")
		}
	})
}

// Guards against regions that never find each other again, and against live
// members that are taken for dead on their own side while the regions heal.
func TestRegionsApartAndHealed(t *testing.T) {
	inBubble(t, func(f *fleet) {
		size := fleetSize(24)
		f.addMany(size, 4)
		f.eventually(10*time.Minute, "complete table", f.complete)
		f.setCut(func(from, to lagoonbarrow.Instance) bool {
			return from.Region != to.Region
		})
		f.eventually(10*time.Minute, "each region sees only itself", func() bool {
			return len(f.nodes[0].Live()) == size/2 && len(f.nodes[1].Live()) == size/2
		})
		time.Sleep(trustAge)
		f.setCut(nil)
		doubts := map[*fakeNode]int{}
		for _, n := range f.nodes {
			doubts[n] = n.count(event.MemberSuspect) + n.count(event.MemberDead)
		}
		f.eventually(15*time.Minute, "complete table again", f.complete)
		wrong := 0
		for _, n := range f.nodes {
			wrong += n.count(event.MemberSuspect) + n.count(event.MemberDead) - doubts[n]
		}
		if wrong != 0 {
			t.Errorf("%d suspicions and deaths while the regions healed", wrong)
		}
	})
}

// Guards against the loss of an availability zone that is noticed late, takes
// live members with it, or exceeds the budget for control traffic.
func TestZoneLoss(t *testing.T) {
	size := fleetSize(100)
	inBubble(t, func(f *fleet) {
		f.addMany(size, 5)
		f.eventually(10*time.Minute, "complete table", f.complete)
		time.Sleep(time.Minute)
		lost := f.loseZone("zone-3")
		before := f.spent()
		start := time.Now()
		f.eventually(10*time.Minute, "zone dead everywhere", func() bool {
			for _, id := range lost {
				if !f.all(id, lagoonbarrow.StateDead) {
					return false
				}
			}
			return true
		})
		bodies, charged := f.spent()[0]-before[0], f.spent()[1]-before[1]
		seconds := time.Since(start).Seconds() * float64(len(f.nodes))
		t.Logf("%d of %d lost: %.0f B/s of bodies and %.0f B/s with connections per node",
			len(lost), size, bodies/seconds, charged/seconds)
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

// Guards against a start without platform that gives up or claims to be ready,
// and against a restart that reuses an incarnation.
func TestStartWithoutPlatform(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.table.down = true
		n := f.add(testInstance(0, 1))
		time.Sleep(time.Minute)
		if n.Ready() {
			t.Error("ready without platform")
		}
		if _, err := n.HandleMessage(context.Background(), "other", lagoonbarrow.Message{
			Kind: kindProbe,
		}); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
			t.Errorf("a probe before the registration gave %v", err)
		}
		f.table.mutex.Lock()
		f.table.down = false
		f.table.lose = true
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

// Guards against a clock that ran ahead in the previous process: the row and
// the peers' memory must still raise the incarnation above the old one.
func TestRestartWithEarlierClock(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(4, 2)
		f.eventually(time.Minute, "complete table", f.complete)
		later := testInstance(9, 2)
		later.Incarnation = firstIncarnation(epochAt(time.Now().Add(time.Hour)))
		later.State = lagoonbarrow.StateReady
		f.nodes[0].Merge(later)
		f.eventually(2*time.Minute, "dead everywhere", func() bool {
			return f.all(later.ID, lagoonbarrow.StateDead)
		})
		f.add(testInstance(9, 2))
		f.eventually(2*time.Minute, "ready everywhere", func() bool {
			return f.all(later.ID, lagoonbarrow.StateReady)
		})
	})
}

// Guards against two processes with one instance id that raise their
// incarnations against each other for ever.
func TestSupersededProcessGivesUp(t *testing.T) {
	inBubble(t, func(f *fleet) {
		var superseded atomic.Int32
		f.tune = func(c *Config) { c.OnSuperseded = func() { superseded.Add(1) } }
		f.addMany(6, 2)
		f.eventually(time.Minute, "complete table", f.complete)
		moved := testInstance(3, 2)
		moved.Peer = "10.9.9.9:7000"
		f.add(moved)
		f.eventually(5*time.Minute, "one process is left", func() bool {
			return superseded.Load() == 1
		})
		f.eventually(time.Minute, "the later process is known", func() bool {
			seen, _ := f.nodes[0].Lookup(moved.ID)
			return seen.Peer == moved.Peer && seen.State == lagoonbarrow.StateReady
		})
	})
}

// Guards against failed calls that have to wait for the probe's turn, and
// against a probe for each of them.
func TestMarkUnreachable(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.tune = func(c *Config) { c.ProbeInterval = time.Hour }
		f.addMany(8, 2)
		caller, victim := f.nodes[7], f.nodes[1]
		// Calls go to instances that the caller knows to be ready.
		f.eventually(time.Minute, "the victim is known as ready", func() bool {
			seen, _ := caller.Lookup(victim.self.ID)
			return caller.Ready() && seen.State == lagoonbarrow.StateReady
		})
		f.kill(victim)
		for range 1000 {
			caller.MarkUnreachable(victim.self.ID)
		}
		f.eventually(5*time.Second, "suspect", func() bool {
			seen, _ := caller.Lookup(victim.self.ID)
			return seen.State == lagoonbarrow.StateSuspect
		})
		if sent := caller.attempts(victim.self.Peer); sent > 2 {
			t.Errorf("%d probes of one instance", sent)
		}
	})
}

// Guards against revisions that travel in one direction only, and against an
// age that loses its transit time or turns "never" into a confirmation.
func TestContractGossip(t *testing.T) {
	inBubble(t, func(f *fleet) {
		heads := map[lagoonbarrow.InstanceID]Gossip{
			"instance-0000": {
				Revision: 7,
				HeadAge:  time.Second,
			},
			"instance-0001": {
				Revision: 5,
				HeadAge:  -1,
			},
		}
		f.tune = func(c *Config) {
			id := c.Self.ID
			c.LocalGossip = func() Gossip { return heads[id] }
		}
		f.addMany(2, 1)
		f.eventually(time.Minute, "heard of each other", func() bool {
			return f.nodes[0].headOf("instance-0001").Revision == 5 && f.nodes[1].headOf("instance-0000").Revision == 7
		})
		if got := f.nodes[0].headOf("instance-0001").HeadAge; got >= 0 {
			t.Errorf("an unconfirmed revision has age %v", got)
		}
		if got := f.nodes[1].headOf("instance-0000").HeadAge; got <= time.Second || got > 2*time.Second {
			t.Errorf("age %v, want a little over 1s", got)
		}
	})
}

// removalBurst is how many rows may be removed within a second: two on average,
// and the nodes chosen for them act at random times.
const removalBurst = 6

// Guards against rows of dead instances that stay for ever or are removed in
// one burst.
func TestDeadRowsAreRemovedSlowly(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.tune = func(c *Config) { c.RowRemovalDelay = time.Minute }
		f.addMany(40, 4)
		f.eventually(time.Minute, "complete table", f.complete)
		lost := f.loseZone("zone-2")
		f.eventually(30*time.Minute, "rows removed", func() bool {
			for _, id := range lost {
				if f.table.has(id) {
					return false
				}
			}
			return true
		})
		if len(f.table.deletes) != len(lost) {
			t.Errorf("%d rows removed, want %d", len(f.table.deletes), len(lost))
		}
		for i := range len(f.table.deletes) - removalBurst {
			if f.table.deletes[i+removalBurst].Sub(f.table.deletes[i]) < time.Second {
				t.Errorf("more than %d rows removed within a second", removalBurst)
			}
		}
	})
}

// Guards against rows that stay for ever because no running node remembers the
// instance, as after a failure of the whole fleet.
func TestOrphanRowIsRemoved(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.tune = func(c *Config) { c.RowRemovalDelay = time.Minute }
		f.table.rows["instances/instance-0009"] = lagoonbarrow.Row{
			Table:   tableName,
			Key:     "instance-0009",
			Version: 1,
			Value:   []byte(`{"id":"instance-0009","service":"service-1","zone":"zone-1","peer":"10.0.0.9:7000","incarnation":1048576}`),
		}
		f.addMany(4, 2)
		f.eventually(time.Minute, "complete table", f.complete)
		f.eventually(time.Hour, "row removed", func() bool {
			return !f.table.has("instance-0009")
		})
		if !f.complete() {
			t.Error("live members were lost")
		}
	})
}

// Guards against a restarted process at the same address whose new record the
// others never ask for.
func TestQuickRestart(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(8, 2)
		f.eventually(time.Minute, "complete table", f.complete)
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
