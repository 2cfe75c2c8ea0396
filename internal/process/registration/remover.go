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
	// presenceInterval is the time between two checks of the successor.
	presenceInterval = time.Minute
	// presenceTimeout bounds one check.
	presenceTimeout = 2 * time.Second
	// failuresBeforeRemoval is the number of consecutive failed checks after which a
	// row is removed. Restarts and short network partitions end well before.
	failuresBeforeRemoval = 10
	// kindPresence is the kind of the messages that request a node's id.
	kindPresence = "presence"
)

// RowRemoverConfig configures a RowRemover.
type RowRemoverConfig struct {
	Self  lagoonbarrow.InstanceID
	Store lagoonbarrow.RowStore
	Table string
	// Members returns all nodes, including this one.
	Members func() []lagoonbarrow.Instance
	// Version returns the version of a node's row.
	Version func(id lagoonbarrow.InstanceID) lagoonbarrow.RowVersion
	Sender  lagoonbarrow.MessageSender
	Logger  hclog.Logger
}

// RowRemover removes the rows of nodes that are permanently lost. Each node checks only
// its successor in the order of the id hashes, which keeps the cost of a node
// independent of their number. A live node writes its row again if it was removed
// because of a network partition.
type RowRemover struct {
	config RowRemoverConfig
	task   background.Task
	// target is the node that is checked, and failures the number of its consecutive
	// failed checks.
	target   lagoonbarrow.InstanceID
	failures int
}

// NewRowRemover returns a remover that has not been started.
func NewRowRemover(config RowRemoverConfig) *RowRemover {
	return &RowRemover{
		config: config,
		task:   background.NewTask(config.Logger),
	}
}

// Start begins to check the successor.
func (r *RowRemover) Start() {
	r.task.Go("row remover", r.run)
}

// Stop ends the checks.
func (r *RowRemover) Stop() {
	r.task.Stop()
}

func (r *RowRemover) run(ctx context.Context) {
	for ctx.Err() == nil {
		backoff.Pause(ctx, presenceInterval)
		r.checkSuccessor(ctx)
	}
}

// checkSuccessor checks the successor once, and removes its row after too many failures.
func (r *RowRemover) checkSuccessor(ctx context.Context) {
	next, found := successor(r.config.Self, r.config.Members())
	if !found || ctx.Err() != nil {
		return
	}
	if next.ID != r.target {
		r.target = next.ID
		r.failures = 0
	}
	// The version is read before the check: a row that is written later belongs to a
	// live node, and its removal fails.
	version := r.config.Version(next.ID)
	err := r.requestPresence(ctx, next)
	if err == nil {
		r.failures = 0
		return
	}
	r.failures++
	r.config.Logger.Info("a node can't be reached", "node", next.ID, "address", next.Peer, "missed", r.failures, "error", err)
	if r.failures >= failuresBeforeRemoval {
		r.removeRow(ctx, next.ID, version)
	}
}

// requestPresence requests the id of the node at the member's address. It returns
// ErrNotFound if another node has the address now.
func (r *RowRemover) requestPresence(ctx context.Context, member lagoonbarrow.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, presenceTimeout)
	defer cancel()
	reply, err := r.config.Sender.Send(ctx, member.Peer, lagoonbarrow.Message{
		Kind: kindPresence,
	})
	if err != nil {
		return errors.Wrap(err, "registration: request a node's presence")
	}
	if string(reply.Body) != string(member.ID) {
		return errors.Wrapf(lagoonbarrow.ErrNotFound, "registration: node %q has the address", reply.Body)
	}
	return nil
}

func (r *RowRemover) removeRow(ctx context.Context, id lagoonbarrow.InstanceID, version lagoonbarrow.RowVersion) {
	_, err := r.config.Store.Put(ctx, lagoonbarrow.Write{
		Table:    r.config.Table,
		Key:      string(id),
		Expected: version,
		Delete:   true,
	})
	if err != nil {
		// The row may have changed meanwhile. The next check uses its current version.
		r.config.Logger.Warn("removing the row of a node failed", "node", id, "version", version.String(), "error", err)
		return
	}
	r.failures = 0
	r.config.Logger.Info("removed the row of a node that can't be reached", "node", id, "version", version.String())
}

// successor returns the member that follows this node in the order of the id hashes.
func successor(self lagoonbarrow.InstanceID, members []lagoonbarrow.Instance) (next lagoonbarrow.Instance, found bool) {
	others := slices.DeleteFunc(slices.Clone(members), func(m lagoonbarrow.Instance) bool { return m.ID == self })
	if len(others) == 0 {
		return lagoonbarrow.Instance{}, false
	}
	from := xxhash.Sum64String(string(self))
	// The subtraction wraps around: the first node is the successor of the last.
	distance := func(m lagoonbarrow.Instance) uint64 { return xxhash.Sum64String(string(m.ID)) - from }
	return slices.MinFunc(others, func(a, b lagoonbarrow.Instance) int {
		return cmp.Compare(distance(a), distance(b))
	}), true
}

// PresenceHandler answers presence requests with this node's id.
type PresenceHandler struct {
	Self lagoonbarrow.InstanceID
}

var _ lagoonbarrow.MessageHandler = (*PresenceHandler)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (p *PresenceHandler) Kinds() []string {
	return []string{kindPresence}
}

// HandleMessage returns this node's id.
func (p *PresenceHandler) HandleMessage(context.Context, lagoonbarrow.InstanceID, lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return lagoonbarrow.Message{
		Kind: kindPresence,
		Body: []byte(p.Self),
	}, nil
}
