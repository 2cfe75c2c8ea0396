package roster

import (
	"context"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Guards against members that stay unknown or not ready after a join.
func TestJoin(t *testing.T) {
	inBubble(t, func(f *fleet) {
		f.addMany(24, 4)
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
