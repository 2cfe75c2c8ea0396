// Package departure keeps the departures of backend servers at other nodes while the
// platform's store can't record them. A process that starts again beside a server asks those
// nodes, so that a late heartbeat doesn't put a departed server back in use.
package departure

import (
	"slices"
	"sync"

	"lagoonbarrow"
)

const (
	// maxNodes bounds the nodes whose departures are kept. When it is exceeded, those of the
	// node that was heard of first are dropped.
	maxNodes = 1024
	// maxPerNode bounds the departures of one node, of which the latest are kept.
	maxPerNode = 4
)

// Keeper holds the departures of other nodes' servers until the process ends. It is safe for
// concurrent use.
type Keeper struct {
	mu   sync.Mutex
	held map[lagoonbarrow.InstanceID][]lagoonbarrow.Departure
	// order holds the nodes in the order in which they were first heard of.
	order []lagoonbarrow.InstanceID
}

// NewKeeper returns an empty keeper.
func NewKeeper() *Keeper {
	return &Keeper{
		held: map[lagoonbarrow.InstanceID][]lagoonbarrow.Departure{},
	}
}

// Keep adds the departure of a server beside a node.
func (k *Keeper) Keep(node lagoonbarrow.InstanceID, departed lagoonbarrow.Departure) {
	k.mu.Lock()
	defer k.mu.Unlock()
	held, found := k.held[node]
	if !found {
		k.makeRoom()
		k.order = append(k.order, node)
	}
	held = slices.DeleteFunc(held, departed.States)
	held = append(held, departed)
	if len(held) > maxPerNode {
		held = held[1:]
	}
	k.held[node] = held
}

// makeRoom drops the departures of the oldest node if another one doesn't fit. The caller
// holds the mutex.
func (k *Keeper) makeRoom() {
	if len(k.order) < maxNodes {
		return
	}
	delete(k.held, k.order[0])
	k.order = k.order[1:]
}

// Kept returns the departures of the servers beside a node, in a new slice.
func (k *Keeper) Kept(node lagoonbarrow.InstanceID) []lagoonbarrow.Departure {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.held[node])
}
