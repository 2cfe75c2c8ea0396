package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// bench is a chooser with a clock of its own over four instances, the first of
// which is in the chooser's zone.
type bench struct {
	now       time.Time
	chooser   *Chooser
	instances []lagoonbarrow.Instance
}

func newBench() *bench {
	b := &bench{
		now: time.Unix(0, 0),
	}
	b.chooser = New(Config{
		Zone: "zone-0",
		Now:  func() time.Time { return b.now },
		Seed: 1,
	})
	for i := range 4 {
		b.instances = append(b.instances, lagoonbarrow.Instance{
			ID:    lagoonbarrow.InstanceID(fmt.Sprintf("instance-%d", i)),
			Zone:  lagoonbarrow.Zone(fmt.Sprintf("zone-%d", i)),
			Slots: 10,
		})
	}
	return b
}

func (b *bench) pick(t *testing.T, tried ...lagoonbarrow.InstanceID) Choice {
	t.Helper()
	choice, err := b.chooser.Pick(b.instances, tried)
	if err != nil {
		t.Fatal(err)
	}
	return choice
}

// answer notes an answered request.
func (b *bench) answer(index int, observed lagoonbarrow.Observation) {
	flight := b.chooser.Started(b.instances[index].ID, "route")
	b.now = b.now.Add(observed.Latency)
	flight.Ended(observed)
}

func (b *bench) ownZone(t *testing.T) int {
	t.Helper()
	count := 0
	for range 100 {
		if b.pick(t).Instance.Zone == "zone-0" {
			count++
		}
	}
	return count
}

// Guards against bytes between zones while the own zone has room.
func TestPrefersTheOwnZone(t *testing.T) {
	b := newBench()
	if count := b.ownZone(t); count != 100 {
		t.Fatalf("%d of 100 choices in the own zone", count)
	}
}

// Guards against an own zone that is kept to although its instance is full, slow,
// failing, silent or unreachable.
func TestLeavesAZoneThatServesBadly(t *testing.T) {
	rows := []struct {
		name string
		make func(b *bench)
	}{
		{"full", func(b *bench) {
			b.answer(0, lagoonbarrow.Observation{
				Latency: time.Millisecond,
				HasLoad: true,
				Load: lagoonbarrow.Load{
					Limit:   10,
					Running: 10,
					Queued:  2,
				},
			})
		}},
		{"slow", func(b *bench) {
			for range 50 {
				b.answer(1, lagoonbarrow.Observation{
					Latency: 10 * time.Millisecond,
				})
				b.answer(0, lagoonbarrow.Observation{
					Latency: 50 * time.Millisecond,
				})
			}
		}},
		{"timing out", func(b *bench) {
			for range 10 {
				b.answer(1, lagoonbarrow.Observation{
					Latency: 100 * time.Millisecond,
				})
				b.answer(0, lagoonbarrow.Observation{
					Latency: 300 * time.Millisecond,
					Failed:  true,
				})
			}
		}},
		{"failing", func(b *bench) {
			for range 10 {
				b.answer(0, lagoonbarrow.Observation{
					Latency: time.Millisecond,
					Failed:  true,
				})
			}
		}},
		{"failing half of the requests", func(b *bench) {
			for i := range 20 {
				b.answer(0, lagoonbarrow.Observation{
					Latency: time.Millisecond,
					Failed:  i%2 == 1,
				})
			}
		}},
		{"silent", func(b *bench) {
			b.chooser.Started(b.instances[0].ID, "route")
			b.now = b.now.Add(2 * silentAfter)
		}},
		{"unreachable", func(b *bench) {
			b.chooser.Unreachable(b.instances[0].ID)
		}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			b := newBench()
			row.make(b)
			if count := b.ownZone(t); count != 0 {
				t.Fatalf("%d of 100 choices in the own zone", count)
			}
		})
	}
}

// Guards against an instance that is left for good after its trouble has ended.
func TestReturnsAfterTheTrouble(t *testing.T) {
	b := newBench()
	for range 10 {
		b.answer(0, lagoonbarrow.Observation{
			Latency: time.Millisecond,
			Failed:  true,
		})
	}
	b.chooser.Unreachable(b.instances[0].ID)
	b.now = b.now.Add(5 * memoryHalfLife)
	if zone := b.pick(t).Instance.Zone; zone != "zone-0" {
		t.Fatalf("the instance isn't tried, but one in %s", zone)
	}
	b.answer(0, lagoonbarrow.Observation{
		Latency: time.Millisecond,
		HasLoad: true,
	})
	if count := b.ownZone(t); count != 100 {
		t.Fatalf("%d of 100 choices in the own zone", count)
	}
}

// Guards against a request that is sent twice to an instance that refused it, and
// against choosing none while an avoided one is left.
func TestTriedInstancesAreLeftOut(t *testing.T) {
	b := newBench()
	b.chooser.Unreachable("instance-3")
	choice := b.pick(t, "instance-0", "instance-1", "instance-2")
	if choice.Instance.ID != "instance-3" || !choice.Last {
		t.Fatalf("choice %+v", choice)
	}
	_, err := b.chooser.Pick(b.instances, []lagoonbarrow.InstanceID{"instance-0", "instance-1", "instance-2", "instance-3"})
	if !errors.Is(err, lagoonbarrow.ErrNoInstance) {
		t.Fatalf("error %v", err)
	}
}

// Guards against statistics that grow with every change of the configuration.
func TestRemovedRoutesAreForgotten(t *testing.T) {
	b := newBench()
	b.answer(0, lagoonbarrow.Observation{
		Latency: time.Millisecond,
	})
	b.chooser.KeepRoutes(map[lagoonbarrow.RouteName]bool{
		"another": true,
	})
	if kept := len(b.chooser.routes); kept != 0 {
		t.Fatalf("%d routes are kept", kept)
	}
}

// Guards against requests that leave their zone for a single lost answer.
func TestStaysForASingleFailure(t *testing.T) {
	b := newBench()
	for i := range 20 {
		b.answer(0, lagoonbarrow.Observation{
			Latency: time.Millisecond,
			Failed:  i == 19,
		})
	}
	if count := b.ownZone(t); count != 100 {
		t.Fatalf("%d of 100 choices in the own zone", count)
	}
}

// Guards against many requests that wait for a connection to a lost machine each
// time that its avoidance ends.
func TestOneRequestTriesAnInstanceAfterItsAvoidance(t *testing.T) {
	b := newBench()
	b.chooser.Unreachable(b.instances[0].ID)
	for range 3 {
		b.now = b.now.Add(lastAvoidance + time.Millisecond)
		if count := b.ownZone(t); count != 1 {
			t.Fatalf("%d requests try the instance at once, want 1", count)
		}
		b.chooser.Unreachable(b.instances[0].ID)
	}
	b.now = b.now.Add(firstAvoidance)
	if count := b.ownZone(t); count != 0 {
		t.Fatalf("%d requests try the instance before its avoidance has grown", count)
	}
	b.now = b.now.Add(lastAvoidance)
	b.pick(t)
	b.answer(0, lagoonbarrow.Observation{
		HasLoad: true,
	})
	if count := b.ownZone(t); count != 100 {
		t.Fatalf("%d of 100 requests go to an instance that has answered", count)
	}
}
