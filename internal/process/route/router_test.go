package route

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"lagoonbarrow"
)

type manualClock struct {
	now time.Time
}

func (c *manualClock) Now() time.Time {
	return c.now
}

func newRouter(t testing.TB, instances []lagoonbarrow.Instance, config Config) (*Router, *manualClock) {
	t.Helper()
	clock := &manualClock{
		now: time.Unix(1_000_000, 0),
	}
	config.Roster = &staticRoster{
		self:      instances[0],
		instances: instances,
	}
	config.Clock = clock
	config.Seed = 1
	router, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return router, clock
}

// inOneZone sets the same zone for all instances, so that ties are broken at random.
func inOneZone(instances []lagoonbarrow.Instance) []lagoonbarrow.Instance {
	for i := range instances {
		instances[i].Zone = "z"
	}
	return instances
}

// countPicks returns how often each instance is chosen in 1,000 calls of Pick.
func countPicks(t *testing.T, router *Router, avoid ...lagoonbarrow.InstanceID) map[lagoonbarrow.InstanceID]int {
	t.Helper()
	counts := map[lagoonbarrow.InstanceID]int{}
	for range 1000 {
		chosen, err := router.Pick("a", "", avoid)
		if err != nil {
			t.Fatal(err)
		}
		counts[chosen.ID]++
	}
	return counts
}

// Guards against calls to instances that are leaving, dead or to be avoided, and
// against the use of remote, suspect or failed instances while better ones are left.
func TestUsableInstances(t *testing.T) {
	instances := inOneZone(readyInstances(7))
	instances[6].Region = "other"
	states := []lagoonbarrow.InstanceState{
		lagoonbarrow.StateReady,
		lagoonbarrow.StateReady,
		lagoonbarrow.StateSuspect,
		lagoonbarrow.StateLeaving,
		lagoonbarrow.StateDead,
		lagoonbarrow.StateStarting,
		lagoonbarrow.StateReady,
	}
	for i := range instances {
		instances[i].State = states[i]
	}
	router, clock := newRouter(t, instances, Config{})
	router.StartCall("1")(lagoonbarrow.Observation{
		Failed: true,
	})
	steps := []struct {
		avoid []lagoonbarrow.InstanceID
		want  lagoonbarrow.InstanceID
	}{
		{
			want: "0",
		},
		{
			avoid: []lagoonbarrow.InstanceID{"0"},
			want:  "6",
		},
		{
			avoid: []lagoonbarrow.InstanceID{"0", "6"},
			want:  "2",
		},
		{
			avoid: []lagoonbarrow.InstanceID{"0", "6", "2"},
			want:  "1",
		},
	}
	for _, step := range steps {
		if counts := countPicks(t, router, step.avoid...); counts[step.want] != 1000 {
			t.Errorf("avoiding %v: %v", step.avoid, counts)
		}
	}
	if _, err := router.Pick("a", "", []lagoonbarrow.InstanceID{"0", "1", "2", "6"}); !errors.Is(err, lagoonbarrow.ErrNoInstance) {
		t.Errorf("avoiding all: %v", err)
	}
	clock.now = clock.now.Add(minPenalty)
	if counts := countPicks(t, router); counts["1"] == 0 {
		t.Errorf("after the penalty: %v", counts)
	}
}

// Guards against a penalty that does not grow, that grows with the failures of
// calls sent before it, or that never ends.
func TestPenaltyDoubles(t *testing.T) {
	router, clock := newRouter(t, inOneZone(readyInstances(2)), Config{})
	want := []time.Duration{1, 2, 4, 8, 10, 10}
	for _, seconds := range want {
		for range 3 {
			router.StartCall("1")(lagoonbarrow.Observation{
				Failed: true,
			})
		}
		clock.now = clock.now.Add(seconds*time.Second - 1)
		if counts := countPicks(t, router); counts["1"] > 0 {
			t.Errorf("used before %d s", seconds)
		}
		clock.now = clock.now.Add(1)
		if counts := countPicks(t, router); counts["1"] == 0 {
			t.Errorf("not used after %d s", seconds)
		}
	}
	router.StartCall("1")(lagoonbarrow.Observation{
		Latency: time.Millisecond,
	})
	router.StartCall("1")(lagoonbarrow.Observation{
		Failed: true,
	})
	if got := router.entries["1"].penalty; got != minPenalty {
		t.Errorf("penalty %v after a success", got)
	}
}

// Guards against keys that move when another instance joins or leaves, and against
// keys whose owner has left.
func TestOwners(t *testing.T) {
	instances := readyInstances(5)
	all, _ := newRouter(t, instances, Config{})
	fewer, _ := newRouter(t, instances[:4], Config{})
	owned := map[lagoonbarrow.InstanceID]int{}
	for i := range 1000 {
		key := fmt.Sprint(i)
		owner, _ := all.Pick("a", key, nil)
		again, _ := fewer.Pick("a", key, nil)
		second, _ := all.Pick("a", key, []lagoonbarrow.InstanceID{owner.ID})
		owned[owner.ID]++
		if owner.ID != "4" && again.ID != owner.ID {
			t.Errorf("key %s moved from %s to %s", key, owner.ID, again.ID)
		}
		if owner.ID == "4" && again.ID != second.ID {
			t.Errorf("key %s: second choice %s, owner without %s is %s", key, second.ID, owner.ID, again.ID)
		}
	}
	for id, count := range owned {
		if count < 150 || count > 250 {
			t.Errorf("%s owns %d of 1000 keys", id, count)
		}
	}
}

// Guards against unnecessary cross-zone calls, and against a zone preference that
// overrides load.
func TestZonePreferenceAndLoad(t *testing.T) {
	instances := readyInstances(2)
	router, clock := newRouter(t, instances, Config{})
	if counts := countPicks(t, router); counts["0"] != 1000 {
		t.Errorf("on a tie: %v", counts)
	}
	ended := router.StartCall("0")
	if counts := countPicks(t, router); counts["1"] != 1000 {
		t.Errorf("with a call in flight in the own zone: %v", counts)
	}
	ended(lagoonbarrow.Observation{
		HasLoad: true,
		Load: lagoonbarrow.Load{
			Queued: 5,
		},
	})
	ended(lagoonbarrow.Observation{})
	if counts := countPicks(t, router); counts["1"] != 1000 {
		t.Errorf("with a reported queue in the own zone: %v", counts)
	}
	clock.now = clock.now.Add(maxReportAge + 1)
	if counts := countPicks(t, router); counts["0"] != 1000 {
		t.Errorf("with an old report: %v", counts)
	}
}

// Guards against an instance that looks fast because it refuses calls.
func TestRefusalsDoNotCountAsLatency(t *testing.T) {
	router, _ := newRouter(t, readyInstances(2), Config{})
	router.StartCall("0")(lagoonbarrow.Observation{
		Latency: time.Millisecond,
	})
	router.StartCall("1")(lagoonbarrow.Observation{})
	if router.entries["1"].hasLatency {
		t.Error("a refusal counts as a latency")
	}
}

// Guards against a former straggler that is never tried again under low load.
func TestStragglerIsTriedAgain(t *testing.T) {
	router, clock := newRouter(t, inOneZone(readyInstances(4)), Config{})
	for range 20 {
		for _, id := range []lagoonbarrow.InstanceID{"0", "1", "2", "3"} {
			latency := 10 * time.Millisecond
			if id == "3" {
				latency = time.Second
			}
			router.StartCall(id)(lagoonbarrow.Observation{
				Latency: latency,
			})
		}
		clock.now = clock.now.Add(maxMedianAge)
		_, _ = router.Pick("a", "", nil)
	}
	for range picksPerTrial - 21 {
		if chosen, _ := router.Pick("a", "", nil); chosen.ID == "3" {
			t.Fatal("straggler chosen before a trial was due")
		}
	}
	clock.now = clock.now.Add(maxTrialInterval)
	if chosen, _ := router.Pick("a", "", nil); chosen.ID != "3" {
		t.Error("no trial")
	}
	router.StartCall("3")(lagoonbarrow.Observation{
		Latency: 10 * time.Millisecond,
	})
	if counts := countPicks(t, router); counts["3"] == 0 {
		t.Errorf("after a fast trial: %v", counts)
	}
}

// Guards against tables that exceed their limits or lose calls in flight.
func TestBoundedTables(t *testing.T) {
	router, _ := newRouter(t, readyInstances(1), Config{
		Entries: 2,
	})
	router.StartCall("0")
	router.StartCall("1")(lagoonbarrow.Observation{})
	router.StartCall("2")
	router.StartCall("3")(lagoonbarrow.Observation{})
	if len(router.entries) != 2 || router.entries["0"].inFlight != 1 || router.entries["2"].inFlight != 1 {
		t.Errorf("entries %v", router.entries)
	}
	for i := range maxServices + 1 {
		_, _ = router.Pick(lagoonbarrow.ServiceName(fmt.Sprint(i)), "", nil)
	}
	if len(router.services) > maxServices {
		t.Errorf("%d services", len(router.services))
	}
}

// Guards against a benchmark baseline that is not round robin.
func TestRoundRobin(t *testing.T) {
	router, _ := newRouter(t, readyInstances(4), Config{
		RoundRobin: true,
	})
	router.StartCall("1")(lagoonbarrow.Observation{
		Failed: true,
	})
	for id, count := range countPicks(t, router) {
		if count != 250 {
			t.Errorf("%s: %d", id, count)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{4, 50} {
		for _, key := range []string{"", "8d7f2c"} {
			b.Run(fmt.Sprintf("instances=%d,keyed=%v", count, key != ""), func(b *testing.B) {
				router, _ := newRouter(b, readyInstances(count), Config{})
				router.config.Clock = systemClock{}
				for i := range count {
					router.StartCall(lagoonbarrow.InstanceID(fmt.Sprint(i)))(lagoonbarrow.Observation{
						Latency: time.Duration(i+50) * time.Millisecond,
					})
				}
				b.ReportAllocs()
				for b.Loop() {
					chosen, err := router.Pick("a", key, nil)
					if err != nil {
						b.Fatal(err)
					}
					router.StartCall(chosen.ID)(lagoonbarrow.Observation{
						Latency: 60 * time.Millisecond,
					})
				}
			})
		}
	}
}
