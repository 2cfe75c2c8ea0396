package roster

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// fakeTable is an in-memory platform table. If down is set, every request fails. If
// loseAnswer is set, the next write takes effect but its outcome is unknown.
type fakeTable struct {
	mutex       sync.Mutex
	rows        map[string]lagoonbarrow.Row
	nextVersion lagoonbarrow.RowVersion
	down        bool
	loseAnswer  bool
	deletedAt   []time.Time
}

func (f *fakeTable) Get(_ context.Context, table, key string) (lagoonbarrow.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrUnavailable
	}
	row, found := f.rows[table+"/"+key]
	if !found {
		return lagoonbarrow.Row{}, lagoonbarrow.ErrNotFound
	}
	return row, nil
}

func (f *fakeTable) Scan(_ context.Context, table, after string, limit int) ([]lagoonbarrow.Row, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return nil, lagoonbarrow.ErrUnavailable
	}
	var rows []lagoonbarrow.Row
	for _, row := range f.rows {
		if row.Table == table && row.Key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b lagoonbarrow.Row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	return rows[:min(limit, len(rows))], nil
}

func (f *fakeTable) Put(_ context.Context, write lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.down {
		return 0, lagoonbarrow.ErrUnavailable
	}
	key := write.Table + "/" + write.Key
	if f.rows[key].Version != write.Expected {
		return 0, lagoonbarrow.ErrConflict
	}
	f.nextVersion++
	if write.Delete {
		delete(f.rows, key)
		f.deletedAt = append(f.deletedAt, time.Now())
		return 0, nil
	}
	f.rows[key] = lagoonbarrow.Row{
		Table:   write.Table,
		Key:     write.Key,
		Version: f.nextVersion,
		Value:   write.Value,
	}
	if f.loseAnswer {
		f.loseAnswer = false
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	return f.nextVersion, nil
}

func (f *fakeTable) Transact(context.Context, []lagoonbarrow.Write) error {
	return lagoonbarrow.ErrUnavailable
}

func (f *fakeTable) Available() bool { return true }

func (f *fakeTable) hasRow(id lagoonbarrow.InstanceID) bool {
	_, err := f.Get(context.Background(), tableName, string(id))
	return err == nil
}

// fakeNetwork connects rosters. blocked reports whether messages between two
// instances are blocked. If it is nil, all instances reach each other.
type fakeNetwork struct {
	mutex   sync.Mutex
	nodes   map[lagoonbarrow.Address]*fakeNode
	blocked func(from, to lagoonbarrow.Instance) bool
}

// fakeNode is one roster. It is also its own transport and recorder.
type fakeNode struct {
	*Roster
	network   *fakeNetwork
	self      lagoonbarrow.Instance
	mutex     sync.Mutex
	peers     map[lagoonbarrow.Address]bool
	events    map[string]int
	bodyBytes int
	revisions map[lagoonbarrow.InstanceID]RevisionGossip
	sent      map[lagoonbarrow.Address]int
}

func (n *fakeNode) Record(kind event.Kind, _ event.Fields) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.events[kind.Name]++
}

func (n *fakeNode) eventCount(kind event.Kind) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.events[kind.Name]
}

// revisionFrom returns the last revision received from an instance.
func (n *fakeNode) revisionFrom(id lagoonbarrow.InstanceID) RevisionGossip {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.revisions[id]
}

// sentTo returns how many messages were sent to an address.
func (n *fakeNode) sentTo(to lagoonbarrow.Address) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.sent[to]
}

func (n *fakeNode) Call(context.Context, lagoonbarrow.Instance, *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	return nil, lagoonbarrow.ErrNotSent
}

func (f *fakeNetwork) reachable(from, to lagoonbarrow.Instance) bool {
	return f.blocked == nil || !f.blocked(from, to)
}

// Send delivers a message with a latency of 1 ms each way. A blocked message waits
// for its context, as on a connection into a partition.
func (n *fakeNode) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	n.mutex.Lock()
	n.sent[to]++
	n.mutex.Unlock()
	n.network.mutex.Lock()
	other, found := n.network.nodes[to]
	open := found && n.network.reachable(n.self, other.self)
	n.network.mutex.Unlock()
	if !found {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	if !open {
		<-ctx.Done()
		return lagoonbarrow.Message{}, ctx.Err()
	}
	n.mutex.Lock()
	n.peers[to] = true
	n.bodyBytes += len(message.Body)
	n.mutex.Unlock()
	time.Sleep(time.Millisecond)
	reply, err := other.HandleMessage(ctx, n.self.ID, message)
	time.Sleep(time.Millisecond)
	other.mutex.Lock()
	other.bodyBytes += len(reply.Body)
	other.mutex.Unlock()
	return reply, err
}

func (n *fakeNode) Broadcast(ctx context.Context, message lagoonbarrow.Message) {
	// Send adds peers at the same time.
	n.mutex.Lock()
	peers := maps.Clone(n.peers)
	n.mutex.Unlock()
	n.network.mutex.Lock()
	defer n.network.mutex.Unlock()
	for address := range peers {
		other, found := n.network.nodes[address]
		if found && n.network.reachable(n.self, other.self) {
			_, _ = other.HandleMessage(ctx, n.self.ID, message)
		}
	}
}

// fleet is a set of rosters in one synctest bubble. configure, if set, changes the
// Config of each added roster.
type fleet struct {
	t         testing.TB
	table     *fakeTable
	network   *fakeNetwork
	nodes     []*fakeNode
	configure func(*Config)
}

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t: t,
		table: &fakeTable{
			rows: map[string]lagoonbarrow.Row{},
		},
		network: &fakeNetwork{
			nodes: map[lagoonbarrow.Address]*fakeNode{},
		},
	}
}

func testInstance(i, zones int) lagoonbarrow.Instance {
	zone := i % zones
	return lagoonbarrow.Instance{
		ID:      lagoonbarrow.InstanceID(fmt.Sprintf("instance-%04d", i)),
		Service: lagoonbarrow.ServiceName(fmt.Sprintf("service-%d", i/6)),
		Zone:    lagoonbarrow.Zone(fmt.Sprintf("zone-%d", zone)),
		Region:  lagoonbarrow.Region(fmt.Sprintf("region-%d", zone%2)),
		Peer:    lagoonbarrow.Address(fmt.Sprintf("10.%d.%d.%d:7000", zone, i/250, i%250)),
		Admin:   lagoonbarrow.Address(fmt.Sprintf("10.%d.%d.%d:7001", zone, i/250, i%250)),
		Slots:   70,
	}
}

// add starts one roster and makes it ready.
func (f *fleet) add(self lagoonbarrow.Instance) *fakeNode {
	n := &fakeNode{
		network:   f.network,
		self:      self,
		peers:     map[lagoonbarrow.Address]bool{},
		events:    map[string]int{},
		revisions: map[lagoonbarrow.InstanceID]RevisionGossip{},
		sent:      map[lagoonbarrow.Address]int{},
	}
	config := Config{
		Self:      self,
		Table:     f.table,
		Transport: n,
		Recorder:  n,
		OnRevision: func(from lagoonbarrow.Instance, g RevisionGossip) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.revisions[from.ID] = g
		},
	}
	if f.configure != nil {
		f.configure(&config)
	}
	created, err := New(config)
	if err != nil {
		f.t.Fatal(err)
	}
	n.Roster = created
	f.network.mutex.Lock()
	f.network.nodes[self.Peer] = n
	f.network.mutex.Unlock()
	if err := n.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	n.SetState(lagoonbarrow.StateReady)
	f.nodes = append(f.nodes, n)
	return n
}

func (f *fleet) addMany(count, zones int) {
	for i := range count {
		f.add(testInstance(i, zones))
		time.Sleep(20 * time.Millisecond)
	}
}

// kill stops a roster and removes it from the network without announcing it.
func (f *fleet) kill(n *fakeNode) {
	f.network.mutex.Lock()
	delete(f.network.nodes, n.self.Peer)
	f.network.mutex.Unlock()
	n.Stop()
	f.nodes = slices.DeleteFunc(f.nodes, func(other *fakeNode) bool { return other == n })
}

func (f *fleet) blockTraffic(blocked func(from, to lagoonbarrow.Instance) bool) {
	f.network.mutex.Lock()
	defer f.network.mutex.Unlock()
	f.network.blocked = blocked
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.Stop()
	}
}

// eventually waits in the bubble's time until the condition holds, and fails the
// test after the limit.
func (f *fleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			f.t.Fatalf("%s: not after %v", what, limit)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Logf("%s: after %v", what, time.Since(start))
}

// allSee reports whether every node has the instance in the given state.
func (f *fleet) allSee(id lagoonbarrow.InstanceID, state lagoonbarrow.InstanceState) bool {
	for _, n := range f.nodes {
		if seen, _ := n.Lookup(id); seen.State != state {
			return false
		}
	}
	return true
}

// converged reports whether every node has exactly the running nodes as live, all
// of them ready.
func (f *fleet) converged() bool {
	for _, n := range f.nodes {
		live := n.Live()
		if len(live) != len(f.nodes) {
			return false
		}
		for _, instance := range live {
			if instance.State != lagoonbarrow.StateReady {
				return false
			}
		}
	}
	return true
}

// runInBubble runs a test in synthetic time. No assertion depends on the speed of
// the machine.
func runInBubble(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		run(f)
	})
}

// fleetSize returns the size of a large fleet: LAGOONBARROW_FLEET if it is set, and
// otherwise a size that suits every test run.
func fleetSize(standard int) int {
	if size, err := strconv.Atoi(os.Getenv("LAGOONBARROW_FLEET")); err == nil {
		return size
	}
	return standard
}

// killZone stops all instances of an availability zone at once and cuts the zone off.
func (f *fleet) killZone(zone lagoonbarrow.Zone) []lagoonbarrow.InstanceID {
	var killed []*fakeNode
	for _, n := range f.nodes {
		if n.self.Zone == zone {
			killed = append(killed, n)
		}
	}
	f.blockTraffic(func(from, to lagoonbarrow.Instance) bool {
		return from.Zone == zone || to.Zone == zone
	})
	var ids []lagoonbarrow.InstanceID
	for _, n := range killed {
		ids = append(ids, n.self.ID)
		n.Stop()
	}
	f.nodes = slices.DeleteFunc(f.nodes, func(n *fakeNode) bool { return n.self.Zone == zone })
	return ids
}

// traffic returns the bytes of message bodies and the bytes charged to the budgets
// so far, summed over all running nodes.
func (f *fleet) traffic() [2]float64 {
	var sum [2]float64
	for _, n := range f.nodes {
		n.mutex.Lock()
		sum[0] += float64(n.bodyBytes)
		n.mutex.Unlock()
		sum[1] += float64(n.budget.totalCharged())
	}
	return sum
}
