package departure

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

const (
	// maxHolders is the number of nodes that are asked to keep the departures of one node. Some
	// of them may be gone or frozen.
	maxHolders = 8
	// enoughHolders is the number of nodes that have to keep a departure, so that two of them
	// may be lost. In a small deployment it is all other nodes.
	enoughHolders = 3
	// messageTimeout bounds one message to another node.
	messageTimeout = 250 * time.Millisecond
)

// Config configures a Recorder and a Query.
type Config struct {
	Self lagoonbarrow.InstanceID
	// Members returns the known nodes, and whether they are known yet.
	Members func() ([]lagoonbarrow.Instance, bool)
	Sender  lagoonbarrow.MessageSender
	Logger  hclog.Logger
}

// holders returns the other nodes that may keep this node's departures. A process that starts
// again beside the same server finds the same ones, unless many nodes have joined.
func (c Config) holders() []lagoonbarrow.Instance {
	members, _ := c.Members()
	others := slices.DeleteFunc(slices.Clone(members), func(m lagoonbarrow.Instance) bool { return m.ID == c.Self })
	slices.SortFunc(others, func(a, b lagoonbarrow.Instance) int {
		return cmp.Compare(c.rank(a), c.rank(b))
	})
	return others[:min(maxHolders, len(others))]
}

// neededHolders returns how many of the nodes that may keep a departure have to keep it.
func neededHolders(candidates int) int {
	return min(enoughHolders, candidates)
}

// rank orders the nodes differently for each node (rendezvous hashing).
func (c Config) rank(member lagoonbarrow.Instance) uint64 {
	return xxhash.Sum64String(string(c.Self) + "/" + string(member.ID))
}

// send sends a message to a node and returns the reply.
func (c Config) send(ctx context.Context, node lagoonbarrow.Instance, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	return c.Sender.Send(ctx, node.Peer, message)
}
