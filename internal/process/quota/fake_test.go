package quota

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/version/contract"
)

const (
	testRate  = 100
	testBurst = 50
)

// world is a set of nodes under injected time.
type world struct {
	now     time.Time
	members []lagoonbarrow.Instance
	nodes   map[lagoonbarrow.InstanceID]*Quota
	// views holds each node's roster, in which states may differ.
	views    map[lagoonbarrow.InstanceID][]lagoonbarrow.Instance
	silent   map[lagoonbarrow.Address]bool
	contract lagoonbarrow.ContractRecord
	registry *contract.Registry
	messages int
}

func newWorld(size int) *world {
	w := &world{
		now:      time.Unix(1000, 0),
		nodes:    map[lagoonbarrow.InstanceID]*Quota{},
		views:    map[lagoonbarrow.InstanceID][]lagoonbarrow.Instance{},
		silent:   map[lagoonbarrow.Address]bool{},
		registry: contract.NewRegistry(contract.RegistryConfig{}),
		contract: lagoonbarrow.ContractRecord{
			Customer: "acme",
			Version:  1,
			Revision: 1,
			Contract: &lagoonbarrow.Contract{
				Customer:           "acme",
				WorkUnitsPerSecond: testRate,
				BurstWorkUnits:     testBurst,
			},
		},
	}
	w.registry.Load([]lagoonbarrow.ContractRecord{w.contract}, 1)
	for number := range size {
		name := fmt.Sprintf("node-%d", number)
		w.members = append(w.members, lagoonbarrow.Instance{
			ID:    lagoonbarrow.InstanceID(name),
			Peer:  lagoonbarrow.Address(name),
			State: lagoonbarrow.StateReady,
		})
	}
	for _, member := range w.members {
		w.views[member.ID] = slices.Clone(w.members)
		w.start(member)
	}
	return w
}

// start puts a new process in place of a node.
func (w *world) start(member lagoonbarrow.Instance) *Quota {
	side := &nodeView{
		world: w,
		self:  member,
	}
	node := New(Config{
		Roster:    side,
		Transport: side,
		Contracts: w.registry,
		Now:       func() time.Time { return w.now },
	})
	node.updateMembers()
	w.nodes[member.ID] = node
	return node
}

func (w *world) node(number int) *Quota { return w.nodes[w.members[number].ID] }

// second lets each node ask for its demand and report it once.
func (w *world) second(demands ...int) {
	w.now = w.now.Add(time.Second)
	for number, units := range demands {
		if units > 0 {
			w.node(number).AllowLevel(w.contract, lagoonbarrow.WorkUnits(units), lagoonbarrow.ImportanceNormal)
		}
	}
	for number := range demands {
		w.node(number).tick(context.Background())
	}
}

// share returns the valid share of a node and whether there is one.
func (w *world) share(node *Quota) (holding, bool) {
	present := node.buckets["acme"]
	if present == nil || !w.now.Before(present.held.until) {
		return holding{}, false
	}
	return present.held, true
}

// nodeView is the roster and transport of one node.
type nodeView struct {
	lagoonbarrow.Roster
	lagoonbarrow.Transport
	world *world
	self  lagoonbarrow.Instance
}

func (v *nodeView) Self() lagoonbarrow.Instance { return v.self }

func (v *nodeView) Live() []lagoonbarrow.Instance { return slices.Clone(v.world.views[v.self.ID]) }

func (v *nodeView) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	v.world.messages++
	if v.world.silent[to] {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	return v.world.nodes[lagoonbarrow.InstanceID(to)].HandleMessage(ctx, v.self.ID, message)
}
