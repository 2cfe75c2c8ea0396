package feed

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

const tableName = "table"

// fakeStore is a store with one table whose calls are counted.
type fakeStore struct {
	mu      sync.Mutex
	version lagoonbarrow.RowVersion
	history []lagoonbarrow.Change
	calls   int
	down    bool
	changed chan struct{}
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		changed: make(chan struct{}),
	}
}

func (s *fakeStore) put(key string, deleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.history = append(s.history, lagoonbarrow.Change{
		Row: lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: s.version,
			Value:   []byte(fmt.Sprint(s.version)),
		},
		Deleted: deleted,
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *fakeStore) Rows(context.Context, string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, lagoonbarrow.ErrUnavailable
	}
	rows := map[string]lagoonbarrow.Row{}
	for _, change := range s.history {
		delete(rows, change.Row.Key)
		if !change.Deleted {
			rows[change.Row.Key] = change.Row
		}
	}
	var all []lagoonbarrow.Row
	for _, row := range rows {
		all = append(all, row)
	}
	return all, s.version, nil
}

func (s *fakeStore) Changes(ctx context.Context, _ string, after lagoonbarrow.RowVersion, wait time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var found []lagoonbarrow.Change
		for _, change := range s.history {
			if change.Row.Version > after {
				found = append(found, change)
			}
		}
		version, changed, down := s.version, s.changed, s.down
		s.mu.Unlock()
		if down {
			return nil, 0, lagoonbarrow.ErrUnavailable
		}
		if len(found) > 0 {
			return found, version, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, lagoonbarrow.ErrUnavailable
		}
	}
}

// fleet is a set of nodes over one store.
type fleet struct {
	store *fakeStore
	nodes []*node
	zones int

	mu sync.Mutex
	// crossed counts the questions from a zone to another one.
	crossed int
}

func (f *fleet) crossings() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crossed
}

func (f *fleet) zone(index int) lagoonbarrow.Zone {
	return lagoonbarrow.Zone(fmt.Sprintf("zone-%d", index%f.zones))
}

// sender sends the messages of a node in a zone.
type sender struct {
	fleet *fleet
	zone  lagoonbarrow.Zone
}

type node struct {
	feed    *Feed
	cache   *Cache
	handler *Handler
	mu      sync.Mutex
	// cut makes questions to this node hang, dead makes them fail at once.
	cut  bool
	dead bool
}

func (n *node) set(cut, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	n.dead = dead
}

// newFleet returns nodes in one zone.
func newFleet(count int) *fleet {
	return newZonedFleet(count, 1)
}

// newZonedFleet returns nodes spread over zones.
func newZonedFleet(count, zones int) *fleet {
	f := &fleet{
		store: newFakeStore(),
		zones: zones,
	}
	for i := range count {
		cache := NewCache()
		n := &node{
			cache: cache,
			handler: &Handler{
				Cache: cache,
			},
		}
		n.feed = New(Config{
			Self:    memberID(i),
			Zone:    f.zone(i),
			Store:   f.store,
			Members: f.members,
			Sender:  sender{fleet: f, zone: f.zone(i)},
			Cache:   cache,
			Logger:  hclog.NewNullLogger(),
		})
		f.nodes = append(f.nodes, n)
	}
	return f
}

func memberID(index int) lagoonbarrow.InstanceID {
	return lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", index))
}

func (f *fleet) members() []lagoonbarrow.Instance {
	var members []lagoonbarrow.Instance
	for i := range f.nodes {
		members = append(members, lagoonbarrow.Instance{
			ID:   memberID(i),
			Zone: f.zone(i),
			Peer: lagoonbarrow.Address(memberID(i)),
		})
	}
	return members
}

func (s sender) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	f := s.fleet
	for i, n := range f.nodes {
		if to != lagoonbarrow.Address(memberID(i)) {
			continue
		}
		if f.zone(i) != s.zone {
			f.mu.Lock()
			f.crossed++
			f.mu.Unlock()
		}
		n.mu.Lock()
		cut, dead := n.cut, n.dead
		n.mu.Unlock()
		if dead {
			return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
		}
		if cut {
			<-ctx.Done()
			return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
		}
		return n.handler.HandleMessage(ctx, "", message)
	}
	return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
}

// reader returns the index of the node that the others ask first.
func (f *fleet) reader() int {
	first := f.nodes[0].feed.sources()[0].ID
	for i := range f.nodes {
		if memberID(i) == first {
			return i
		}
	}
	return -1
}

// follow lets all nodes but the excluded ones follow the table until the test ends.
func (f *fleet) follow(t *testing.T, excluded map[int]bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var ended sync.WaitGroup
	for i, n := range f.nodes {
		if excluded[i] {
			continue
		}
		ended.Add(1)
		go func() {
			defer ended.Done()
			version := lagoonbarrow.RowVersion(0)
			known := false
			for ctx.Err() == nil {
				var err error
				if known {
					_, version, err = n.feed.Changes(ctx, tableName, version, 100*time.Millisecond)
				} else {
					_, version, err = n.feed.Rows(ctx, tableName)
				}
				known = err == nil
				if err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		}()
	}
	t.Cleanup(func() {
		cancel()
		ended.Wait()
	})
}

// await waits until the nodes know the version.
func (f *fleet) await(t *testing.T, version lagoonbarrow.RowVersion, excluded map[int]bool) {
	t.Helper()
	for range 1000 {
		behind := 0
		for i, n := range f.nodes {
			if !excluded[i] && n.cache.after(tableName, 0).version < version {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("some nodes don't know version %d", version)
}

// Guards against calls to the store that grow with the number of nodes.
func TestOnlyReadersAskTheStore(t *testing.T) {
	f := newFleet(30)
	f.follow(t, nil)
	f.store.put("a", false)
	f.await(t, 1, nil)
	before := f.store.count()
	for range 5 {
		f.store.put("a", false)
		time.Sleep(20 * time.Millisecond)
	}
	f.await(t, 6, nil)
	// Each of the readers may have asked once a change and once more.
	if calls := f.store.count() - before; calls > 2*sources*6 {
		t.Fatalf("%d calls for 5 changes", calls)
	}
}

// Guards against bytes between zones that grow with the number of nodes: with a
// reader in each zone, questions stay within it.
func TestQuestionsStayInTheZone(t *testing.T) {
	const changes = 5
	f := newZonedFleet(4*zoneMembers, 4)
	f.follow(t, nil)
	f.store.put("a", false)
	f.await(t, 1, nil)
	// Nodes that were asked before they had read anything are asked again.
	time.Sleep(startTime)
	before := f.crossings()
	for range changes {
		f.store.put("a", false)
		time.Sleep(20 * time.Millisecond)
	}
	f.await(t, 1+changes, nil)
	// Each node asks at least once; without zones, three in four questions cross.
	if crossed := f.crossings() - before; crossed > len(f.nodes)/4 {
		t.Fatalf("%d questions of %d nodes left their zone", crossed, len(f.nodes))
	}
}

// Guards against nodes that leave their reader for long because it starts with them.
func TestReaderThatStartsIsAskedAgainSoon(t *testing.T) {
	f := newFleet(4)
	now := time.Now()
	other := f.nodes[(f.reader()+1)%len(f.nodes)].feed
	other.config.Now = func() time.Time { return now }
	first := other.sources()[0]
	if _, _, err := other.Changes(context.Background(), tableName, 0, time.Millisecond); err != nil {
		t.Fatal(err)
	}
	if other.sources()[0] == first {
		t.Fatal("a reader that knows nothing is asked again at once")
	}
	now = now.Add(startTime + time.Millisecond)
	if other.sources()[0] != first {
		t.Fatal("a reader that has started is not asked again")
	}
}

// Guards against nodes of a zone that ask different readers first, and against a
// second one that is lost together with the first.
func TestAnotherZoneStepsIn(t *testing.T) {
	f := newZonedFleet(4*zoneMembers, 4)
	own := f.nodes[0].feed.sources()
	if own[0].Zone != f.zone(0) || own[1].Zone == f.zone(0) {
		t.Fatalf("sources %v of a node in %s", own, f.zone(0))
	}
	for _, n := range f.nodes {
		if found := n.feed.sources(); n.feed.config.Zone == f.zone(0) && found[0] != own[0] {
			t.Fatalf("nodes of a zone ask %v and %v first", own[0], found[0])
		}
	}
}

// Guards against a burst of calls to the store after a zone has lost its reader.
func TestLostReaderOfAZoneIsReplaced(t *testing.T) {
	const (
		zones   = 4
		changes = 5
	)
	f := newZonedFleet(zones*zoneMembers, zones)
	lost := map[int]bool{
		f.reader(): true,
	}
	f.follow(t, lost)
	f.store.put("a", false)
	f.await(t, 1, lost)
	f.nodes[f.reader()].set(false, true)
	time.Sleep(startTime)
	before := f.store.count()
	for range changes {
		f.store.put("a", false)
		time.Sleep(20 * time.Millisecond)
	}
	f.await(t, 1+changes, lost)
	// Each reader asks once a change and once more. Without a second source all nodes
	// of the zone would.
	if calls := f.store.count() - before; calls > 2*zones*(changes+1) {
		t.Fatalf("%d calls to the store for %d changes", calls, changes)
	}
}

// Guards against nodes that learn nothing because the node that they ask is dead,
// cut off, or has lost the store.
func TestChangesArriveWithoutTheReader(t *testing.T) {
	rows := []struct {
		name string
		make func(n *node)
	}{
		{"dead", func(n *node) { n.set(false, true) }},
		{"cut off", func(n *node) { n.set(true, false) }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			f := newFleet(6)
			lost := map[int]bool{
				f.reader(): true,
			}
			f.follow(t, lost)
			row.make(f.nodes[f.reader()])
			f.store.put("a", false)
			f.await(t, 1, lost)
		})
	}
}

// Guards against a dependency that is lost without a line in the log.
func TestLeavingAReaderIsLogged(t *testing.T) {
	f := newFleet(4)
	f.nodes[f.reader()].set(false, true)
	other := f.nodes[(f.reader()+1)%len(f.nodes)].feed
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

// Guards against a reader whose old knowledge is taken for recent.
func TestStaleReaderIsLeft(t *testing.T) {
	f := newFleet(4)
	stale := f.nodes[f.reader()]
	stale.cache.Replace(tableName, nil, 0, 2*maxAge)
	f.store.put("a", false)
	other := f.nodes[(f.reader()+1)%len(f.nodes)]
	changes, version, err := other.feed.Changes(context.Background(), tableName, 0, time.Millisecond)
	if err != nil || len(changes) != 1 || version != 1 {
		t.Fatalf("changes %v, version %d, error %v", changes, version, err)
	}
}

// Guards against nodes that don't notice when the store is back.
func TestChangesArriveAfterAnOutage(t *testing.T) {
	f := newFleet(6)
	f.follow(t, nil)
	f.store.put("a", false)
	f.await(t, 1, nil)
	f.store.setDown(true)
	time.Sleep(200 * time.Millisecond)
	f.store.put("b", false)
	f.store.setDown(false)
	f.await(t, 2, nil)
}

// Guards against deleted rows that stay known, and changes that are skipped.
func TestCacheTellsOfAllChanges(t *testing.T) {
	cache := NewCache()
	row := func(key string, version lagoonbarrow.RowVersion) lagoonbarrow.Row {
		return lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: version,
		}
	}
	if cache.after(tableName, 0).known {
		t.Fatal("an empty cache knows the table")
	}
	cache.Replace(tableName, []lagoonbarrow.Row{row("a", 3), row("b", 5)}, 5, 0)
	cache.Apply(tableName, []lagoonbarrow.Change{
		{
			Row: row("c", 6),
		},
		{
			Row:     row("a", 7),
			Deleted: true,
		},
	}, 8, 0)
	found := cache.after(tableName, 5)
	if found.historyLost || found.version != 8 || len(found.changes) != 2 || found.changes[0].Row.Key != "c" || !found.changes[1].Deleted {
		t.Fatalf("view %+v", found)
	}
	if found := cache.after(tableName, 4); !found.historyLost {
		t.Fatal("changes before the copy began are told as complete")
	}
	cache.Replace(tableName, nil, 4, 0)
	if found := cache.after(tableName, 5); found.version != 8 {
		t.Fatal("an older reading replaced the copy")
	}
}

// Guards against an error of the store that is hidden from the follower.
func TestStoreErrorsArePassedOn(t *testing.T) {
	f := newFleet(1)
	f.store.setDown(true)
	if _, _, err := f.nodes[0].feed.Changes(context.Background(), tableName, 0, time.Millisecond); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
		t.Fatalf("error %v", err)
	}
}

// BenchmarkSources measures the choice of whom to ask at the planned size, which
// each question makes anew.
func BenchmarkSources(b *testing.B) {
	f := newZonedFleet(7800, 5)
	members := f.members()
	chooser := f.nodes[0].feed
	chooser.config.Members = func() []lagoonbarrow.Instance { return slices.Clone(members) }
	for b.Loop() {
		if len(chooser.sources()) != sources {
			b.Fatal("no sources")
		}
	}
}
