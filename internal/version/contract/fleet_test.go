package contract

import (
	"context"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
)

// fleet is a set of distributors that share a table and a fake clock. Messages
// between them are delivered synchronously.
type fleet struct {
	t        *testing.T
	table    *fakeTable
	mutex    sync.Mutex
	now      time.Time
	members  []lagoonbarrow.Instance
	nodes    map[lagoonbarrow.Address]*Distributor
	isolated map[lagoonbarrow.Address]bool
	sent     int
}

func newFleet(t *testing.T, table *fakeTable, size int) *fleet {
	f := &fleet{
		t:        t,
		table:    table,
		now:      time.Unix(1000, 0),
		nodes:    map[lagoonbarrow.Address]*Distributor{},
		isolated: map[lagoonbarrow.Address]bool{},
	}
	for number := range size {
		f.members = append(f.members, lagoonbarrow.Instance{
			ID:    lagoonbarrow.InstanceID(testHash(number)),
			Peer:  lagoonbarrow.Address(testHash(number)),
			Zone:  lagoonbarrow.Zone(rune('a' + number%5)),
			State: lagoonbarrow.StateReady,
		})
	}
	for number := range size {
		f.startNode(number)
	}
	return f
}

// startNode starts a new distributor for a member and replaces the previous one.
func (f *fleet) startNode(number int) *Distributor {
	view := &memberView{
		fleet: f,
		self:  f.members[number],
	}
	node := NewDistributor(Config{
		Table:     f.table,
		Roster:    view,
		Transport: view,
		Registry:  NewRegistry(RegistryConfig{}),
		Now:       func() time.Time { return f.now },
	})
	node.submit = func(task func()) { task() }
	f.nodes[view.self.Peer] = node
	f.t.Cleanup(node.Stop)
	return node
}

func (f *fleet) node(number int) *Distributor { return f.nodes[f.members[number].Peer] }

// gossip exchanges membership messages between two members.
func (f *fleet) gossip(from, to int) {
	if f.isolated[f.members[from].Peer] || f.isolated[f.members[to].Peer] {
		return
	}
	f.deliverGossip(from, to)
	f.deliverGossip(to, from)
}

func (f *fleet) deliverGossip(from, to int) {
	revision, age, known := f.node(from).Gossip()
	f.node(to).HandleGossip(f.members[from], revision, age, known)
	f.node(to).runPendingPull(context.Background())
}

// runPendingPulls runs the pulls that pushes caused until none is pending, and
// returns the number of message hops.
func (f *fleet) runPendingPulls() int {
	for hops := 0; ; hops++ {
		pulled := false
		for _, node := range f.nodes {
			select {
			case <-node.pullSignal:
				node.runPendingPull(context.Background())
				pulled = true
			default:
			}
		}
		if !pulled {
			return hops
		}
	}
}

func (f *fleet) tickAll() {
	for number := range f.members {
		if !f.isolated[f.members[number].Peer] {
			f.node(number).tick(context.Background())
		}
	}
}

// countBehind returns the number of members below a revision.
func (f *fleet) countBehind(revision lagoonbarrow.Revision) int {
	behind := 0
	for _, node := range f.nodes {
		if node.config.Registry.Revision() < revision {
			behind++
		}
	}
	return behind
}

// memberView implements the roster and the transport of one member.
type memberView struct {
	lagoonbarrow.Roster
	lagoonbarrow.Transport
	fleet *fleet
	self  lagoonbarrow.Instance
}

func (v *memberView) Self() lagoonbarrow.Instance { return v.self }

func (v *memberView) Live() []lagoonbarrow.Instance {
	return append([]lagoonbarrow.Instance(nil), v.fleet.members...)
}

func (v *memberView) Lookup(id lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	for _, member := range v.fleet.members {
		if member.ID == id {
			return member, true
		}
	}
	return lagoonbarrow.Instance{}, false
}

func (v *memberView) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	v.fleet.mutex.Lock()
	v.fleet.sent++
	v.fleet.mutex.Unlock()
	if v.fleet.isolated[to] || v.fleet.isolated[v.self.Peer] {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	return v.fleet.nodes[to].HandleMessage(ctx, v.self.ID, message)
}
