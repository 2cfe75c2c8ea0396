package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// kindChanges is the kind of the messages that request the changes of a table. Nodes of
// earlier releases, whose versions hold no era, use "table-changes". They read the store
// instead.
const kindChanges = "row-changes"

// changesRequest requests the changes of a table after a version.
type changesRequest struct {
	Table string                  `msgpack:"table"`
	After lagoonbarrow.RowVersion `msgpack:"after"`
	// Wait is the longest time to wait for changes.
	Wait time.Duration `msgpack:"wait,omitempty"`
}

// changesReply answers a changesRequest.
type changesReply struct {
	// HasCopy is set if the node has a copy of the table.
	HasCopy bool `msgpack:"known,omitempty"`
	// HistoryLost is set when changes after the requested version may be missing.
	HistoryLost bool                    `msgpack:"history-lost,omitempty"`
	Changes     []wireChange            `msgpack:"changes,omitempty"`
	Version     lagoonbarrow.RowVersion `msgpack:"version"`
	// Age is the time since Version was last confirmed as the store's newest.
	Age time.Duration `msgpack:"age"`
	// StoreFailing is set if the store doesn't serve the node, which has its copy from
	// others.
	StoreFailing bool `msgpack:"store-failing,omitempty"`
}

// wireChange is an encoded change. It omits the name of the table.
type wireChange struct {
	Key     string                  `msgpack:"key"`
	Version lagoonbarrow.RowVersion `msgpack:"version"`
	Value   []byte                  `msgpack:"value,omitempty"`
	Deleted bool                    `msgpack:"deleted,omitempty"`
}

// Handler answers the requests of other nodes from the cache.
type Handler struct {
	Cache *Cache
}

var _ lagoonbarrow.MessageHandler = (*Handler)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (h *Handler) Kinds() []string {
	return []string{kindChanges}
}

// HandleMessage answers at once if there are changes, the copy is stale or missing, its
// history is lost, or the store doesn't serve this node. Otherwise it waits for the
// requested time, until there are changes or the copy is confirmed again.
func (h *Handler) HandleMessage(ctx context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	var request changesRequest
	if err := frame.DecodeMessage(message, &request); err != nil {
		return lagoonbarrow.Message{}, err
	}
	reply := h.answer(ctx, request)
	reply.StoreFailing = h.Cache.storeFailing.Load()
	return frame.EncodeMessage(kindChanges, reply)
}

// maxRequestWait bounds how long a request may occupy its connection.
const maxRequestWait = 5 * time.Second

func (h *Handler) answer(ctx context.Context, request changesRequest) changesReply {
	if request.Wait <= 0 {
		return newReply(h.Cache.changesAfter(request.Table, request.After))
	}
	timer := time.NewTimer(min(request.Wait, maxRequestWait))
	defer timer.Stop()
	found := h.Cache.changesAfter(request.Table, request.After)
	confirmedAt := found.confirmedAt
	for !h.Cache.storeFailing.Load() && found.mayBecomeUseful() && found.confirmedAt.Sub(confirmedAt) < minProgress {
		select {
		case <-found.updated:
			found = h.Cache.changesAfter(request.Table, request.After)
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return newReply(h.Cache.changesAfter(request.Table, request.After))
	}
	return newReply(found)
}

// mayBecomeUseful reports whether waiting may give changes or a more recent copy.
func (c *changeSet) mayBecomeUseful() bool {
	return c.hasCopy && !c.historyLost && c.age <= maxAge && len(c.changes) == 0
}

func newReply(found changeSet) changesReply {
	reply := changesReply{
		HasCopy:     found.hasCopy,
		HistoryLost: found.historyLost,
		Version:     found.version,
		Age:         found.age,
	}
	for _, change := range found.changes {
		reply.Changes = append(reply.Changes, wireChange{
			Key:     change.Row.Key,
			Version: change.Row.Version,
			Value:   change.Row.Value,
			Deleted: change.Deleted,
		})
	}
	return reply
}

// check returns ErrHistoryLost if the node doesn't have all changes after a version, and
// ErrUnavailable if its copy is older than that version. A reply without changes is also
// unavailable if the copy is stale or the store doesn't serve the node: two such nodes
// could wait for each other.
func (r *changesReply) check(after lagoonbarrow.RowVersion) error {
	switch {
	case !r.HasCopy:
		return errors.Wrap(lagoonbarrow.ErrHistoryLost, "feed: the node has read nothing yet")
	case r.HistoryLost:
		return errors.Wrapf(lagoonbarrow.ErrHistoryLost, "feed: the node's history does not reach back to version %s", after)
	case r.Age > maxAge && len(r.Changes) == 0:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "feed: the node's copy is %s old", r.Age)
	case r.Version < after:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "feed: the node has version %s, this one has %s", r.Version, after)
	case r.StoreFailing && len(r.Changes) == 0:
		return errors.Wrap(lagoonbarrow.ErrUnavailable, "feed: the store doesn't serve the node")
	default:
		return nil
	}
}

// tableChanges returns the changes with the name of their table.
func (r *changesReply) tableChanges(table string) []lagoonbarrow.Change {
	var changes []lagoonbarrow.Change
	for _, change := range r.Changes {
		changes = append(changes, lagoonbarrow.Change{
			Row: lagoonbarrow.Row{
				Table:   table,
				Key:     change.Key,
				Version: change.Version,
				Value:   change.Value,
			},
			Deleted: change.Deleted,
		})
	}
	return changes
}
