package departure

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// The kinds of messages between nodes.
const (
	// kindKeep asks a node to keep a departure of the sender's server.
	kindKeep = "departure-keep"
	// kindQuery asks a node for the departures that it keeps for the sender.
	kindQuery = "departure-query"
)

// maxServerIDBytes bounds the id of a server that is kept for another node.
const maxServerIDBytes = 256

// maxAhead bounds how far in the future a server may leave by its clock.
const maxAhead = time.Minute

// record is a departure in a message.
type record struct {
	Server string `msgpack:"server"`
	// Started is the start time in Unix milliseconds, or 0 if it isn't known.
	Started int64 `msgpack:"started"`
	// Age is the time since the server has left. The clocks of two nodes may differ. It is
	// negative if the start of a run lies in the future.
	Age     time.Duration `msgpack:"age"`
	AllRuns bool          `msgpack:"all-runs"`
}

// queryReply answers a query.
type queryReply struct {
	Departures []record `msgpack:"departures"`
}

func newRecord(departed lagoonbarrow.Departure, now time.Time) record {
	started := int64(0)
	if !departed.Started.IsZero() {
		started = departed.Started.UnixMilli()
	}
	return record{
		Server:  string(departed.Server),
		Started: started,
		Age:     now.Sub(departed.LeftAt),
		AllRuns: departed.AllRuns,
	}
}

// departure returns the departure of a record, or ErrInvalid.
func (r record) departure(now time.Time) (lagoonbarrow.Departure, error) {
	if r.Server == "" || len(r.Server) > maxServerIDBytes || r.Age < -maxAhead {
		return lagoonbarrow.Departure{}, errors.Wrapf(lagoonbarrow.ErrInvalid, "departure: server id of %d bytes that left %s ago", len(r.Server), r.Age)
	}
	started := time.Time{}
	if r.Started != 0 {
		started = time.UnixMilli(r.Started)
	}
	return lagoonbarrow.Departure{
		Server:  lagoonbarrow.ServerID(r.Server),
		Started: started,
		LeftAt:  now.Add(-r.Age),
		AllRuns: r.AllRuns,
	}, nil
}

// Handler serves the messages of other nodes about departures.
type Handler struct {
	Keeper *Keeper
}

var _ lagoonbarrow.MessagePart = (*Handler)(nil)

// Kinds returns the kinds of messages that the handler serves.
func (h *Handler) Kinds() []string {
	return []string{kindKeep, kindQuery}
}

// HandleMessage keeps a departure, or answers with those that are kept for the sender.
func (h *Handler) HandleMessage(_ context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	now := time.Now()
	if message.Kind == kindQuery {
		var reply queryReply
		for _, departed := range h.Keeper.Kept(from) {
			reply.Departures = append(reply.Departures, newRecord(departed, now))
		}
		return frame.EncodeMessage(kindQuery, reply)
	}
	var received record
	if err := frame.DecodeMessage(message, &received); err != nil {
		return lagoonbarrow.Message{}, err
	}
	departed, err := received.departure(now)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	h.Keeper.Keep(from, departed)
	return lagoonbarrow.Message{
		Kind: kindKeep,
	}, nil
}
