package roster

import (
	"context"
	"fmt"
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

// fakeTable is the platform's table in memory.
type fakeTable struct {
	mutex   sync.Mutex
	rows    map[string]lagoonbarrow.Row
	next    lagoonbarrow.RowVersion
	down    bool
	lose    bool
	deletes []time.Time
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
	f.next++
	if write.Delete {
		delete(f.rows, key)
		f.deletes = append(f.deletes, time.Now())
		return 0, nil
	}
	f.rows[key] = lagoonbarrow.Row{
		Table:   write.Table,
		Key:     write.Key,
		Version: f.next,
		Value:   write.Value,
	}
	if f.lose {
		f.lose = false
		return 0, lagoonbarrow.ErrOutcomeUnknown
	}
	return f.next, nil
}

func (f *fakeTable) Transact(context.Context, []lagoonbarrow.Write) error {
	return lagoonbarrow.ErrUnavailable
}

func (f *fakeTable) Available() bool { return true }

func (f *fakeTable) has(id lagoonbarrow.InstanceID) bool {
	_, err := f.Get(context.Background(), tableName, string(id))
	return err == nil
}

// fakeNet connects rosters. cut tells which instances can't reach each other.
type fakeNet struct {
	mutex sync.Mutex
	nodes map[lagoonbarrow.Address]*fakeNode
	cut   func(from, to lagoonbarrow.Instance) bool
}

// fakeNode is one roster with its transport and recorder.
type fakeNode struct {
	*Roster
	net    *fakeNet
	self   lagoonbarrow.Instance
	mutex  sync.Mutex
	peers  map[lagoonbarrow.Address]bool
	events map[string]int
	bytes  int
	heads  map[lagoonbarrow.InstanceID]Gossip
	tries  map[lagoonbarrow.Address]int
}

func (n *fakeNode) Record(kind event.Kind, _ event.Fields) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.events[kind.Name]++
}

func (n *fakeNode) count(kind event.Kind) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.events[kind.Name]
}

// headOf returns the last revision heard from an instance.
func (n *fakeNode) headOf(id lagoonbarrow.InstanceID) Gossip {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.heads[id]
}

// attempts returns how many messages were sent to an address.
func (n *fakeNode) attempts(to lagoonbarrow.Address) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.tries[to]
}

func (n *fakeNode) Call(context.Context, lagoonbarrow.Instance, *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	return nil, lagoonbarrow.ErrNotSent
}

func (f *fakeNet) reach(from, to lagoonbarrow.Instance) bool {
	return f.cut == nil || !f.cut(from, to)
}

// Send delivers a message 1 ms later each way; to a part that was cut off it
// waits for its context, as a connection into a partition does.
func (n *fakeNode) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	n.mutex.Lock()
	n.tries[to]++
	n.mutex.Unlock()
	n.net.mutex.Lock()
	other, found := n.net.nodes[to]
	open := found && n.net.reach(n.self, other.self)
	n.net.mutex.Unlock()
	if !found {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	if !open {
		<-ctx.Done()
		return lagoonbarrow.Message{}, ctx.Err()
	}
	n.mutex.Lock()
	n.peers[to] = true
	n.bytes += len(message.Body)
	n.mutex.Unlock()
	time.Sleep(time.Millisecond)
	reply, err := other.HandleMessage(ctx, n.self.ID, message)
	time.Sleep(time.Millisecond)
	other.mutex.Lock()
	other.bytes += len(reply.Body)
	other.mutex.Unlock()
	return reply, err
}

func (n *fakeNode) Broadcast(ctx context.Context, message lagoonbarrow.Message) {
	n.net.mutex.Lock()
	defer n.net.mutex.Unlock()
	for address := range n.peers {
		other, found := n.net.nodes[address]
		if found && n.net.reach(n.self, other.self) {
			_, _ = other.HandleMessage(ctx, n.self.ID, message)
		}
	}
}

// fleet is a set of rosters under test in one synctest bubble.
type fleet struct {
	t     testing.TB
	table *fakeTable
	net   *fakeNet
	nodes []*fakeNode
	tune  func(*Config)
}

func newFleet(t testing.TB) *fleet {
	return &fleet{
		t: t,
		table: &fakeTable{
			rows: map[string]lagoonbarrow.Row{},
		},
		net: &fakeNet{
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
		net:    f.net,
		self:   self,
		peers:  map[lagoonbarrow.Address]bool{},
		events: map[string]int{},
		heads:  map[lagoonbarrow.InstanceID]Gossip{},
		tries:  map[lagoonbarrow.Address]int{},
	}
	config := Config{
		Self:      self,
		Table:     f.table,
		Transport: n,
		Recorder:  n,
		OnGossip: func(from lagoonbarrow.Instance, g Gossip) {
			n.mutex.Lock()
			defer n.mutex.Unlock()
			n.heads[from.ID] = g
		},
	}
	if f.tune != nil {
		f.tune(&config)
	}
	created, err := New(config)
	if err != nil {
		f.t.Fatal(err)
	}
	n.Roster = created
	f.net.mutex.Lock()
	f.net.nodes[self.Peer] = n
	f.net.mutex.Unlock()
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

// kill stops a roster without a leave and takes it off the network.
func (f *fleet) kill(n *fakeNode) {
	f.net.mutex.Lock()
	delete(f.net.nodes, n.self.Peer)
	f.net.mutex.Unlock()
	n.Stop()
	f.nodes = slices.DeleteFunc(f.nodes, func(other *fakeNode) bool { return other == n })
}

func (f *fleet) setCut(cut func(from, to lagoonbarrow.Instance) bool) {
	f.net.mutex.Lock()
	defer f.net.mutex.Unlock()
	f.net.cut = cut
}

func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.Stop()
	}
}

// eventually waits in the bubble's time until the condition holds.
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

// all reports whether every node sees the instance in the state.
func (f *fleet) all(id lagoonbarrow.InstanceID, state lagoonbarrow.InstanceState) bool {
	for _, n := range f.nodes {
		if seen, _ := n.Lookup(id); seen.State != state {
			return false
		}
	}
	return true
}

// complete reports whether every node sees every node ready.
func (f *fleet) complete() bool {
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

// inBubble runs a test in synthetic time, so that no assertion depends on the
// speed of the machine.
func inBubble(t *testing.T, run func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stop()
		run(f)
	})
}

// fleetSize returns the size of a large fleet: LAGOONBARROW_FLEET for trials,
// and a size that suits every run of the tests otherwise.
func fleetSize(standard int) int {
	if size, err := strconv.Atoi(os.Getenv("LAGOONBARROW_FLEET")); err == nil {
		return size
	}
	return standard
}

// loseZone kills all instances of an availability zone at once.
func (f *fleet) loseZone(zone lagoonbarrow.Zone) []lagoonbarrow.InstanceID {
	var lost []*fakeNode
	for _, n := range f.nodes {
		if n.self.Zone == zone {
			lost = append(lost, n)
		}
	}
	f.setCut(func(from, to lagoonbarrow.Instance) bool {
		return from.Zone == zone || to.Zone == zone
	})
	var ids []lagoonbarrow.InstanceID
	for _, n := range lost {
		ids = append(ids, n.self.ID)
		n.Stop()
	}
	f.nodes = slices.DeleteFunc(f.nodes, func(n *fakeNode) bool { return n.self.Zone == zone })
	return ids
}

// spent returns the bytes of message bodies and the bytes charged to the
// budgets so far, over all running nodes.
func (f *fleet) spent() [2]float64 {
	var sum [2]float64
	for _, n := range f.nodes {
		n.mutex.Lock()
		sum[0] += float64(n.bytes)
		n.mutex.Unlock()
		sum[1] += float64(n.budget.spent())
	}
	return sum
}
