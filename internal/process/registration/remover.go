package registration

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

const (
	// presenceInterval is the time between two looks for the next node.
	presenceInterval = time.Minute
	// presenceTimeout bounds one look.
	presenceTimeout = 2 * time.Second
	// removeAfter is the number of looks in a row that must fail before a row is
	// removed. Restarts and short cuts end well before.
	removeAfter = 10
	// kindPresence asks a node who it is.
	kindPresence = "presence"
)

// RemoverConfig configures a Remover.
type RemoverConfig struct {
	Self  lagoonbarrow.InstanceID
	Store lagoonbarrow.RowStore
	Table string
	// Members returns all nodes, this one included.
	Members func() []lagoonbarrow.Instance
	// Version returns the version of a node's row.
	Version func(id lagoonbarrow.InstanceID) lagoonbarrow.RowVersion
	Sender  lagoonbarrow.MessageSender
	Logger  hclog.Logger
}

// Remover removes the rows of nodes that are gone for good. Each node looks for the
// one after it in the order of the ids' hashes, so that the cost of a node doesn't
// grow with their number. A node that is alive writes its row again if it was
// removed because of a cut.
type Remover struct {
	config RemoverConfig
	task   background.Task
	// target is the node that is looked for, and missed the failed looks in a row.
	target lagoonbarrow.InstanceID
	missed int
}

// NewRemover returns a remover that is not started yet.
func NewRemover(config RemoverConfig) *Remover {
	return &Remover{
		config: config,
		task:   background.NewTask(),
	}
}

// Start begins to look for the next node.
func (r *Remover) Start() {
	r.task.Go(r.run)
}

// Stop ends looking.
func (r *Remover) Stop() {
	r.task.Stop()
}

func (r *Remover) run(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Pause(ctx, presenceInterval)
		r.look(ctx)
	}
}

// look looks for the next node once.
func (r *Remover) look(ctx context.Context) {
	next, found := successor(r.config.Self, r.config.Members())
	if !found || ctx.Err() != nil {
		return
	}
	if next.ID != r.target {
		r.target = next.ID
		r.missed = 0
	}
	// A row that is written meanwhile is that of a live node.
	version := r.config.Version(next.ID)
	err := r.reach(ctx, next)
	if err == nil {
		r.missed = 0
		return
	}
	r.missed++
	r.config.Logger.Info("a node can't be reached", "node", next.ID, "address", next.Peer, "missed", r.missed, "error", err)
	if r.missed >= removeAfter {
		r.remove(ctx, next.ID, version)
	}
}

// reach asks the node at the member's address who it is. It returns ErrNotFound if
// another node has the address now.
func (r *Remover) reach(ctx context.Context, member lagoonbarrow.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	reply, err := r.config.Sender.Send(ctx, member.Peer, lagoonbarrow.Message{
		Kind: kindPresence,
	})
	if err != nil {
		return errors.Wrap(err, "registration: look for a node")
	}
	if string(reply.Body) != string(member.ID) {
		return errors.Wrapf(lagoonbarrow.ErrNotFound, "registration: node %q has the address", reply.Body)
	}
	return nil
}

func (r *Remover) remove(ctx context.Context, id lagoonbarrow.InstanceID, version lagoonbarrow.RowVersion) {
	_, err := r.config.Store.Put(ctx, lagoonbarrow.Write{
		Table:    r.config.Table,
		Key:      string(id),
		Expected: version,
		Delete:   true,
	})
	if err != nil {
		// The row may have changed meanwhile; it is looked at again with the next version.
		r.config.Logger.Warn("removing the row of a node failed", "node", id, "version", version, "error", err)
		return
	}
	r.missed = 0
	r.config.Logger.Info("removed the row of a node that can't be reached", "node", id, "version", version)
}

// successor returns the member after this node in the order of the ids' hashes.
func successor(self lagoonbarrow.InstanceID, members []lagoonbarrow.Instance) (next lagoonbarrow.Instance, found bool) {
	others := slices.DeleteFunc(slices.Clone(members), func(m lagoonbarrow.Instance) bool { return m.ID == self })
	if len(others) == 0 {
		return lagoonbarrow.Instance{}, false
	}
	from := xxhash.Sum64String(string(self))
	// The distance wraps around, so that the last node looks for the first.
	distance := func(m lagoonbarrow.Instance) uint64 { return xxhash.Sum64String(string(m.ID)) - from }
	return slices.MinFunc(others, func(a, b lagoonbarrow.Instance) int {
		return cmp.Compare(distance(a), distance(b))
	}), true
}

// Presence answers nodes that look for this one.
type Presence struct {
	Self lagoonbarrow.InstanceID
}

var _ lagoonbarrow.MessageHandler = (*Presence)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (p *Presence) Kinds() []string {
	return []string{kindPresence}
}

// HandleMessage says who this node is.
func (p *Presence) HandleMessage(context.Context, lagoonbarrow.InstanceID, lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return lagoonbarrow.Message{
		Kind: kindPresence,
		Body: []byte(p.Self),
	}, nil
}
