package feed

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Guards against calls to the store that grow with the number of nodes.
func TestOnlyReadersQueryTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(30)
		f.follow(t, nil)
		f.store.put("a", false)
		f.awaitVersion(t, 1, nil)
		before := f.store.callCount()
		for range 5 {
			f.store.put("a", false)
			time.Sleep(20 * time.Millisecond)
		}
		f.awaitVersion(t, 6, nil)
		// Each reader may query the store once for each change and once more.
		if calls := f.store.callCount() - before; calls > 2*maxSources*6 {
			t.Fatalf("%d calls for 5 changes", calls)
		}
	})
}

// Guards against traffic between zones that grows with the number of nodes. With a
// reader in each zone, requests stay within the zone.
func TestRequestsStayInTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const changes = 5
		f := newZonedFleet(4*minReaderZoneSize, 4)
		f.follow(t, nil)
		f.store.put("a", false)
		f.awaitVersion(t, 1, nil)
		// Nodes that were queried before their first read are queried again after this time.
		time.Sleep(startAvoidDuration)
		before := f.crossZoneCount()
		for range changes {
			f.store.put("a", false)
			time.Sleep(20 * time.Millisecond)
		}
		f.awaitVersion(t, 1+changes, nil)
		// Each node sends at least one request. If zones were ignored, three in four would
		// cross.
		if crossing := f.crossZoneCount() - before; crossing > len(f.nodes)/4 {
			t.Fatalf("%d requests of %d nodes left their zone", crossing, len(f.nodes))
		}
	})
}

// Guards against nodes that avoid their reader for long because it starts at the same
// time as they do.
func TestStartingReaderIsQueriedAgain(t *testing.T) {
	f := newFleet(4)
	now := time.Now()
	other := f.nodes[(f.firstReader()+1)%len(f.nodes)].feed
	other.config.Now = func() time.Time { return now }
	first := other.sources()[0]
	if _, _, err := other.Changes(context.Background(), tableName, 0, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if other.sources()[0] == first {
		t.Fatal("a reader without a copy is queried again at once")
	}
	now = now.Add(startAvoidDuration + time.Millisecond)
	if other.sources()[0] != first {
		t.Fatal("a reader that has started is not queried again")
	}
}

// Guards against nodes of a zone that query different readers first, and against a
// second reader in the same zone, which would be lost together with the first.
func TestSecondSourceIsInAnotherZone(t *testing.T) {
	f := newZonedFleet(4*minReaderZoneSize, 4)
	own := f.nodes[0].feed.sources()
	if own[0].Zone != f.zone(0) || own[1].Zone == f.zone(0) {
		t.Fatalf("sources %v of a node in %s", own, f.zone(0))
	}
	for _, n := range f.nodes {
		if found := n.feed.sources(); n.feed.config.Zone == f.zone(0) && found[0] != own[0] {
			t.Fatalf("nodes of a zone query %v and %v first", own[0], found[0])
		}
	}
}

// Guards against a burst of calls to the store after a zone has lost its reader.
func TestLostReaderOfAZoneIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			zones   = 4
			changes = 5
		)
		f := newZonedFleet(zones*minReaderZoneSize, zones)
		lost := map[int]bool{
			f.firstReader(): true,
		}
		f.follow(t, lost)
		f.store.put("a", false)
		f.awaitVersion(t, 1, lost)
		f.nodes[f.firstReader()].setFaults(false, true)
		time.Sleep(startAvoidDuration)
		before := f.store.callCount()
		for range changes {
			f.store.put("a", false)
			time.Sleep(20 * time.Millisecond)
		}
		f.awaitVersion(t, 1+changes, lost)
		// Each reader queries the store once for each change and once more. Without a second
		// source, all nodes of the zone would query it.
		if calls := f.store.callCount() - before; calls > 2*zones*(changes+1) {
			t.Fatalf("%d calls to the store for %d changes", calls, changes)
		}
	})
}

// Guards against nodes that query the lost reader of their zone again every few seconds
// until its row is removed: each query waits for a connection, and the nodes of the zone
// don't agree on their reader meanwhile.
func TestLostReaderIsQueriedLessAndLess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 10 * time.Minute
		f := newFleet(minReaderZoneSize)
		lost := f.firstReader()
		asking := f.nodes[(lost+1)%len(f.nodes)]
		now := time.Now()
		asking.feed.config.Now = func() time.Time { return now }
		queryUntilFound := func(end time.Duration) (queries int) {
			for started := now; now.Sub(started) < end; now = now.Add(time.Second) {
				if asking.feed.sources()[0].ID == memberID(lost) {
					queries++
				}
				if _, _, err := asking.feed.Changes(context.Background(), tableName, 0, 0); err != nil {
					t.Fatal(err)
				}
			}
			return queries
		}
		f.nodes[lost].setFaults(false, true)
		if queries := queryUntilFound(length); queries > 20 {
			t.Errorf("%d queries to a lost reader in %s", queries, length)
		}
		f.nodes[lost].setFaults(false, false)
		for _, n := range f.nodes {
			n.cache.Replace(tableName, nil, 0, 0)
		}
		if queries := queryUntilFound(2 * maxAvoidDuration); queries < int(maxAvoidDuration/time.Second)/2 {
			t.Errorf("%d queries to the reader after its return", queries)
		}
		f.nodes[lost].setFaults(false, true)
		before := now
		if _, _, err := asking.feed.Changes(context.Background(), tableName, 0, 0); err != nil {
			t.Fatal(err)
		}
		if until := asking.feed.avoided[memberID(lost)].until; until.Sub(before) != avoidDuration {
			t.Errorf("avoided for %s after a useful reply, want %s", until.Sub(before), avoidDuration)
		}
	})
}

// Guards against nodes that receive no changes because the reader that they query is
// dead or disconnected.
func TestChangesArriveWhenTheReaderIsLost(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n *testNode)
	}{
		{"dead", func(n *testNode) { n.setFaults(false, true) }},
		{"cut off", func(n *testNode) { n.setFaults(true, false) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(6)
				lost := map[int]bool{
					f.firstReader(): true,
				}
				f.follow(t, lost)
				test.fault(f.nodes[f.firstReader()])
				f.store.put("a", false)
				f.awaitVersion(t, 1, lost)
			})
		})
	}
}

// Guards against a reader that is avoided without a line in the log.
func TestAvoidingAReaderIsLogged(t *testing.T) {
	f := newFleet(4)
	f.nodes[f.firstReader()].setFaults(false, true)
	other := f.nodes[(f.firstReader()+1)%len(f.nodes)].feed
	first := other.sources()[0].ID
	var lines bytes.Buffer
	other.config.Logger = hclog.New(&hclog.LoggerOptions{
		Output: &lines,
	})
	if _, _, err := other.Changes(context.Background(), tableName, 0, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{string(first), tableName, "3s", lagoonbarrow.ErrNotSent.Error()} {
		if !strings.Contains(lines.String(), part) {
			t.Errorf("%q is missing in %q", part, lines.String())
		}
	}
}

// Guards against a copy that stays old for long without a line in the log.
func TestLateConfirmationIsLogged(t *testing.T) {
	f := newFleet(1)
	var lines bytes.Buffer
	node := f.nodes[0]
	node.feed.config.Logger = hclog.New(&hclog.LoggerOptions{
		Output: &lines,
	})
	for _, age := range []time.Duration{0, 2 * maxAge} {
		lines.Reset()
		node.cache.Replace(tableName, nil, 0, age)
		if _, _, err := node.feed.Changes(context.Background(), tableName, 0, time.Millisecond); err != nil {
			t.Fatal(err)
		}
		if logged := strings.Contains(lines.String(), "unconfirmed="); logged != (age > maxAge) {
			t.Errorf("a copy that is %s old: log %q", age, lines.String())
		}
	}
}

// Guards against readers that are avoided, and a store that gets more calls, because the
// node itself stopped a query.
func TestStoppedQueryAvoidsNoReader(t *testing.T) {
	f := newFleet(20)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	calls := f.store.callCount()
	for _, n := range f.nodes {
		if _, _, err := n.feed.Changes(ctx, tableName, 0, time.Second); err == nil {
			t.Fatal("a stopped query returned no error")
		}
		if avoided := len(n.feed.avoided); avoided != 0 {
			t.Fatalf("%d nodes are avoided", avoided)
		}
	}
	if got := f.store.callCount() - calls; got > 1 {
		t.Fatalf("%d calls to the store", got)
	}
}

// Guards against accepting a stale copy as recent, such as that of a reader that has lost
// the store.
func TestStaleReaderIsAvoided(t *testing.T) {
	f := newFleet(4)
	stale := f.nodes[f.firstReader()]
	stale.cache.Replace(tableName, nil, 0, 2*maxAge)
	f.store.put("a", false)
	other := f.nodes[(f.firstReader()+1)%len(f.nodes)]
	changes, version, err := other.feed.Changes(context.Background(), tableName, 0, time.Millisecond)
	if err != nil || len(changes) != 1 || version != 1 {
		t.Fatalf("changes %v, version %d, error %v", changes, version, err)
	}
}

// Guards against nodes that don't resume reading after an outage of the store.
func TestChangesArriveAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6)
		f.follow(t, nil)
		f.store.put("a", false)
		f.awaitVersion(t, 1, nil)
		f.store.setDown(true)
		time.Sleep(200 * time.Millisecond)
		f.store.put("b", false)
		f.store.setDown(false)
		f.awaitVersion(t, 2, nil)
	})
}

// Guards against a store error that is not returned to the caller.
func TestStoreErrorsAreReturned(t *testing.T) {
	f := newFleet(1)
	f.store.setDown(true)
	if _, _, err := f.nodes[0].feed.Changes(context.Background(), tableName, 0, time.Millisecond); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
}

// BenchmarkSources measures the choice of the sources at the planned number of nodes.
// Each call of Changes repeats it.
func BenchmarkSources(b *testing.B) {
	f := newZonedFleet(7800, 5)
	members := f.members()
	feed := f.nodes[0].feed
	feed.config.Members = func() []lagoonbarrow.Instance { return slices.Clone(members) }
	for b.Loop() {
		if len(feed.sources()) != maxSources {
			b.Fatal("no sources")
		}
	}
}

// Guards against a store that gets a read of each node when its history is dropped.
func TestDroppedHistoryCostsFewCalls(t *testing.T) {
	f := newFleet(40)
	f.store.put("a", false)
	reader := f.nodes[f.firstReader()]
	for _, n := range f.nodes {
		if _, _, err := n.feed.Rows(context.Background(), tableName); err != nil {
			t.Fatal(err)
		}
	}
	f.store.put("b", false)
	before := f.store.callCount()
	if _, _, err := reader.feed.Rows(context.Background(), tableName); err != nil {
		t.Fatal(err)
	}
	for _, n := range f.nodes {
		changes, version, err := n.feed.Changes(context.Background(), tableName, 1, time.Millisecond)
		if err != nil || version != 2 || len(changes) != 1 {
			t.Fatalf("version %d, changes %v, error %v", version, changes, err)
		}
	}
	// The reader reads once, and follows the changes at the store itself.
	if calls := f.store.callCount() - before; calls > 2 {
		t.Fatalf("%d calls to the store of 40 nodes", calls)
	}
}
