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

// cluster is a set of nodes with an injected clock.
type cluster struct {
	now     time.Time
	members []lagoonbarrow.Instance
	nodes   map[lagoonbarrow.InstanceID]*Quota
	// rosters holds each node's view of the members, in which states may differ.
	rosters      map[lagoonbarrow.InstanceID][]lagoonbarrow.Instance
	unreachable  map[lagoonbarrow.Address]bool
	contract     lagoonbarrow.ContractRecord
	registry     *contract.Registry
	messagesSent int
}

func newCluster(size int) *cluster {
	c := &cluster{
		now:         time.Unix(1000, 0),
		nodes:       map[lagoonbarrow.InstanceID]*Quota{},
		rosters:     map[lagoonbarrow.InstanceID][]lagoonbarrow.Instance{},
		unreachable: map[lagoonbarrow.Address]bool{},
		registry:    contract.NewRegistry(contract.RegistryConfig{}),
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
	c.registry.Load([]lagoonbarrow.ContractRecord{c.contract}, 1)
	for number := range size {
		name := fmt.Sprintf("node-%d", number)
		c.members = append(c.members, lagoonbarrow.Instance{
			ID:    lagoonbarrow.InstanceID(name),
			Peer:  lagoonbarrow.Address(name),
			State: lagoonbarrow.StateReady,
		})
	}
	for _, member := range c.members {
		c.rosters[member.ID] = slices.Clone(c.members)
		c.restart(member)
	}
	return c
}

// restart replaces a node by a new process of the same instance.
func (c *cluster) restart(member lagoonbarrow.Instance) *Quota {
	side := &nodeView{
		cluster: c,
		self:    member,
	}
	node := New(Config{
		Roster:    side,
		Transport: side,
		Contracts: c.registry,
		Now:       func() time.Time { return c.now },
	})
	node.updateMembers()
	c.nodes[member.ID] = node
	return node
}

func (c *cluster) node(number int) *Quota { return c.nodes[c.members[number].ID] }

// runSecond advances the time by a second, in which each node receives its demand
// as one request and reports it.
func (c *cluster) runSecond(demands ...int) {
	c.now = c.now.Add(time.Second)
	for number, units := range demands {
		if units > 0 {
			c.node(number).Allow(c.contract, lagoonbarrow.WorkUnits(units), lagoonbarrow.ImportanceNormal)
		}
	}
	for number := range demands {
		c.node(number).endInterval(context.Background())
	}
}

// validShare returns the share of a node and whether it is valid.
func (c *cluster) validShare(node *Quota) (grantedShare, bool) {
	b := node.buckets["acme"]
	if b == nil || !c.now.Before(b.granted.until) {
		return grantedShare{}, false
	}
	return b.granted, true
}

// nodeView implements the roster and the transport of one node.
type nodeView struct {
	lagoonbarrow.Roster
	lagoonbarrow.Transport
	cluster *cluster
	self    lagoonbarrow.Instance
}

func (v *nodeView) Self() lagoonbarrow.Instance { return v.self }

func (v *nodeView) Live() []lagoonbarrow.Instance { return slices.Clone(v.cluster.rosters[v.self.ID]) }

func (v *nodeView) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	v.cluster.messagesSent++
	if v.cluster.unreachable[to] {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	return v.cluster.nodes[lagoonbarrow.InstanceID(to)].HandleMessage(ctx, v.self.ID, message)
}
