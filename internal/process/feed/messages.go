package feed

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// kindChanges asks a node for the changes of a table.
const kindChanges = "table-changes"

// question asks for the changes of a table after a version.
type question struct {
	Table string                  `msgpack:"table"`
	After lagoonbarrow.RowVersion `msgpack:"after"`
	// Wait is how long to wait for changes.
	Wait time.Duration `msgpack:"wait,omitempty"`
}

// reply holds what a node knows.
type reply struct {
	Known       bool                    `msgpack:"known,omitempty"`
	HistoryLost bool                    `msgpack:"history-lost,omitempty"`
	Changes     []sentChange            `msgpack:"changes,omitempty"`
	Version     lagoonbarrow.RowVersion `msgpack:"version"`
	// Age is the time since the store was known to have Version as its newest.
	Age time.Duration `msgpack:"age"`
}

type sentChange struct {
	Key     string                  `msgpack:"key"`
	Version lagoonbarrow.RowVersion `msgpack:"version"`
	Value   []byte                  `msgpack:"value,omitempty"`
	Deleted bool                    `msgpack:"deleted,omitempty"`
}

// Handler answers other nodes from the cache.
type Handler struct {
	Cache *Cache
}

var _ lagoonbarrow.MessageHandler = (*Handler)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (h *Handler) Kinds() []string {
	return []string{kindChanges}
}

// HandleMessage answers at once when there are changes or nothing recent is known,
// else after the wait.
func (h *Handler) HandleMessage(ctx context.Context, _ lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	var asked question
	if err := msgpack.Unmarshal(message.Body, &asked); err != nil {
		return lagoonbarrow.Message{}, errors.Wrap(err, "feed: decode question")
	}
	body, err := msgpack.Marshal(h.answer(ctx, asked))
	return lagoonbarrow.Message{
		Kind: kindChanges,
		Body: body,
	}, errors.Wrap(err, "feed: encode reply")
}

// maxQuestionWait bounds how long a question may keep its connection.
const maxQuestionWait = 5 * time.Second

func (h *Handler) answer(ctx context.Context, asked question) reply {
	timer := time.NewTimer(min(asked.Wait, maxQuestionWait))
	defer timer.Stop()
	for {
		found := h.Cache.after(asked.Table, asked.After)
		if !found.known || found.historyLost || found.age > maxAge || len(found.changes) > 0 {
			return sent(found)
		}
		select {
		case <-found.changed:
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		return sent(h.Cache.after(asked.Table, asked.After))
	}
}

func sent(found view) reply {
	answer := reply{
		Known:       found.known,
		HistoryLost: found.historyLost,
		Version:     found.version,
		Age:         found.age,
	}
	for _, change := range found.changes {
		answer.Changes = append(answer.Changes, sentChange{
			Key:     change.Row.Key,
			Version: change.Row.Version,
			Value:   change.Row.Value,
			Deleted: change.Deleted,
		})
	}
	return answer
}

// check returns ErrHistoryLost if the node can't tell the changes after a version, and
// ErrUnavailable if it knows nothing recent.
func (r *reply) check(after lagoonbarrow.RowVersion) error {
	switch {
	case !r.Known:
		return errors.Wrap(lagoonbarrow.ErrHistoryLost, "feed: the node has read nothing yet")
	case r.HistoryLost:
		return errors.Wrapf(lagoonbarrow.ErrHistoryLost, "feed: the node knows no changes after version %d", after)
	case r.Age > maxAge:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "feed: the node's knowledge is %s old", r.Age)
	case r.Version < after:
		return errors.Wrapf(lagoonbarrow.ErrUnavailable, "feed: the node knows version %d, this one %d", r.Version, after)
	default:
		return nil
	}
}

func (r *reply) received(table string) []lagoonbarrow.Change {
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
