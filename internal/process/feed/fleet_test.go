package feed

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/follower"
)

const tableName = "table"

// fakeStore is a store with one table. It counts calls.
type fakeStore struct {
	mu sync.Mutex
	// era counts the restores.
	era     lagoonbarrow.Era
	version lagoonbarrow.RowVersion
	history []lagoonbarrow.Change
	// putAt holds the time of each version.
	putAt []time.Time
	// droppedVersion is the version up to which the history was dropped.
	droppedVersion lagoonbarrow.RowVersion
	calls          int
	down           bool
	changed        chan struct{}
	// contents holds the rows after each change or restore.
	contents []storeContent
}

// storeContent is the rows of a store since a time.
type storeContent struct {
	since time.Time
	rows  string
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
	s.putAt = append(s.putAt, time.Now())
	s.history = append(s.history, lagoonbarrow.Change{
		Row: lagoonbarrow.Row{
			Table:   tableName,
			Key:     key,
			Version: s.version,
			Value:   []byte(fmt.Sprint(len(s.contents))),
		},
		Deleted: deleted,
	})
	s.recordContent()
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore replaces the rows by those of a time ago. The versions since are given out again.
func (s *fakeStore) restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, _ := slices.BinarySearchFunc(s.putAt, time.Now().Add(-ago), time.Time.Compare)
	s.era++
	s.version = lagoonbarrow.RowVersion(count)
	s.history = s.history[:count:count]
	s.putAt = s.putAt[:count:count]
	s.droppedVersion = min(s.droppedVersion, s.version)
	s.recordContent()
	close(s.changed)
	s.changed = make(chan struct{})
}

// recordContent records the present rows. The caller holds the mutex.
func (s *fakeStore) recordContent() {
	s.contents = append(s.contents, storeContent{
		since: time.Now(),
		rows:  describe(s.rows()),
	})
}

// hadSince reports whether the store has had these rows at a time or later.
func (s *fakeStore) hadSince(start time.Time, rows string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, content := range slices.Backward(s.contents) {
		if content.rows == rows {
			return true
		}
		if content.since.Before(start) {
			return false
		}
	}
	return rows == describe(nil)
}

// rows returns the rows by key. The caller holds the mutex.
func (s *fakeStore) rows() map[string]lagoonbarrow.Row {
	rows := map[string]lagoonbarrow.Row{}
	for _, change := range s.history {
		delete(rows, change.Row.Key)
		if !change.Deleted {
			rows[change.Row.Key] = s.inEra(change).Row
		}
	}
	return rows
}

// inEra returns a change with its version in the present era. The caller holds the mutex.
func (s *fakeStore) inEra(change lagoonbarrow.Change) lagoonbarrow.Change {
	change.Row.Version = lagoonbarrow.NewRowVersion(s.era, change.Row.Version.Number())
	return change
}

// describe returns the keys and values of rows.
func describe(rows map[string]lagoonbarrow.Row) string {
	var text []string
	for key, row := range rows {
		text = append(text, key+"="+string(row.Value))
	}
	slices.Sort(text)
	return strings.Join(text, " ")
}

func (s *fakeStore) currentVersion() lagoonbarrow.RowVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// versionBefore returns the newest version that is older than a time.
func (s *fakeStore) versionBefore(end time.Time) lagoonbarrow.RowVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	count, _ := slices.BinarySearchFunc(s.putAt, end, time.Time.Compare)
	return lagoonbarrow.RowVersion(count)
}

// dropHistory forgets the changes until now, and ends the calls that wait for changes.
func (s *fakeStore) dropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedVersion = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) callCount() int {
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
	return slices.Collect(maps.Values(s.rows())), lagoonbarrow.NewRowVersion(s.era, s.version.Number()), nil
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
			if change.Row.Version.Number() > after.Number() {
				found = append(found, s.inEra(change))
			}
		}
		version, changed, down := lagoonbarrow.NewRowVersion(s.era, s.version.Number()), s.changed, s.down
		lost := after.Number() < s.droppedVersion.Number() || after.Number() > s.version.Number()
		s.mu.Unlock()
		if down {
			return nil, 0, lagoonbarrow.ErrUnavailable
		}
		if lost {
			return nil, 0, lagoonbarrow.ErrHistoryLost
		}
		if len(found) > 0 || wait <= 0 {
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
	nodes []*testNode
	zones int

	mu sync.Mutex
	// crossZoneRequests counts the requests from one zone to another.
	crossZoneRequests int
}

func (f *fleet) crossZoneCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crossZoneRequests
}

func (f *fleet) zone(index int) lagoonbarrow.Zone {
	return lagoonbarrow.Zone(fmt.Sprintf("zone-%d", index%f.zones))
}

// fakeSender delivers the messages of a node in a zone.
type fakeSender struct {
	fleet *fleet
	zone  lagoonbarrow.Zone
}

// testNode is one node of a fleet.
type testNode struct {
	feed    *Feed
	cache   *Cache
	handler *Handler
	mu      sync.Mutex
	// hangs makes requests to this node hang, and fails makes them fail at once.
	hangs bool
	fails bool
}

func (n *testNode) setFaults(hangs, fails bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hangs = hangs
	n.fails = fails
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
		n := &testNode{
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
			Sender:  fakeSender{fleet: f, zone: f.zone(i)},
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

func (s fakeSender) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	f := s.fleet
	for i, n := range f.nodes {
		if to != lagoonbarrow.Address(memberID(i)) {
			continue
		}
		f.mu.Lock()
		if f.zone(i) != s.zone {
			f.crossZoneRequests++
		}
		f.mu.Unlock()
		n.mu.Lock()
		hangs, fails := n.hangs, n.fails
		n.mu.Unlock()
		if fails {
			return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
		}
		if hangs {
			<-ctx.Done()
			return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
		}
		reply, err := n.handler.HandleMessage(ctx, "", message)
		n.mu.Lock()
		hangs = n.hangs
		n.mu.Unlock()
		if hangs {
			<-ctx.Done()
			return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
		}
		return reply, err
	}
	return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
}

// firstReader returns the index of the node that the others query first.
func (f *fleet) firstReader() int {
	first := f.nodes[0].feed.sources()[0].ID
	for i := range f.nodes {
		if memberID(i) == first {
			return i
		}
	}
	return -1
}

// follow makes all nodes but the excluded ones read the table's changes until the test
// ends.
func (f *fleet) follow(t *testing.T, excluded map[int]bool) {
	t.Helper()
	for i, n := range f.nodes {
		if excluded[i] {
			continue
		}
		reads := follower.New(follower.Config{
			Feed:        n.feed,
			Table:       tableName,
			PollTimeout: 100 * time.Millisecond,
			Replace:     func([]lagoonbarrow.Row, lagoonbarrow.RowVersion) {},
			Apply:       func([]lagoonbarrow.Change, lagoonbarrow.RowVersion) {},
			Logger:      hclog.NewNullLogger(),
		})
		reads.Start()
		t.Cleanup(reads.Stop)
	}
}

// awaitVersion waits until all nodes but the excluded ones have the version.
func (f *fleet) awaitVersion(t *testing.T, version lagoonbarrow.RowVersion, excluded map[int]bool) {
	t.Helper()
	for range 1000 {
		behind := 0
		for i, n := range f.nodes {
			if !excluded[i] && n.cache.changesAfter(tableName, 0).version < version {
				behind++
			}
		}
		if behind == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("some nodes don't have version %d", version)
}
