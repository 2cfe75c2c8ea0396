package departure

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

const (
	// maxRepeats bounds the rounds after the first one, a second apart: nodes may be frozen or
	// gone, and a restored store may know them late.
	maxRepeats = 9
	// membersPollInterval is the time between two checks whether the members are known.
	membersPollInterval = 20 * time.Millisecond
)

// QueryConfig configures a Query.
type QueryConfig struct {
	Config
	// OnDeparture is called with each departure that another node keeps.
	OnDeparture func(departed lagoonbarrow.Departure)
	// OnKnown is called once, when all nodes have answered or had the time to. A node that
	// answers later may still keep a departure.
	OnKnown func()
}

// Query asks other nodes at the start of the process which servers beside it had left.
type Query struct {
	config QueryConfig
	task   background.Task
}

// NewQuery returns a query that is not started yet.
func NewQuery(config QueryConfig) *Query {
	return &Query{
		config: config,
		task:   background.NewTask(config.Logger),
	}
}

// Start begins to ask the other nodes.
func (q *Query) Start() {
	q.task.Go("departure query", q.run)
}

// Stop ends the query.
func (q *Query) Stop() {
	q.task.Stop()
}

func (q *Query) run(ctx context.Context) {
	for ctx.Err() == nil && !q.membersKnown() {
		backoff.Pause(ctx, membersPollInterval)
	}
	answered := map[lagoonbarrow.InstanceID]bool{}
	q.askRound(ctx, answered)
	q.config.OnKnown()
	delay := backoff.ForStore()
	for repeat := 0; repeat < maxRepeats && ctx.Err() == nil; repeat++ {
		delay.Wait(ctx)
		q.askRound(ctx, answered)
	}
}

func (q *Query) membersKnown() bool {
	_, known := q.config.Members()
	return known
}

// askRound asks all holders that have not answered yet at the same time, and adds those that
// answer. One that has answered may have started again since it kept a departure, so all are
// waited for.
func (q *Query) askRound(ctx context.Context, answered map[lagoonbarrow.InstanceID]bool) {
	holders := slices.DeleteFunc(q.config.holders(), func(m lagoonbarrow.Instance) bool { return answered[m.ID] })
	results := make(chan lagoonbarrow.InstanceID, len(holders))
	for _, node := range holders {
		q.task.Go("departure query", func(context.Context) {
			err := q.ask(ctx, node)
			if err == nil {
				results <- node.ID
				return
			}
			q.config.Logger.Info("a node gave no answer about departures", "node", node.ID, "error", err)
			results <- ""
		})
	}
	for range holders {
		if id := <-results; id != "" {
			answered[id] = true
		}
	}
}

// ask asks one node and passes on what it keeps.
func (q *Query) ask(ctx context.Context, node lagoonbarrow.Instance) error {
	reply, err := q.config.send(ctx, node, lagoonbarrow.Message{
		Kind: kindQuery,
	})
	if err != nil {
		return err
	}
	var received queryReply
	if err := frame.DecodeMessage(reply, &received); err != nil {
		return err
	}
	if len(received.Departures) > maxPerNode {
		return errors.Wrapf(lagoonbarrow.ErrInvalid, "departure: reply with %d departures", len(received.Departures))
	}
	now := time.Now()
	for _, record := range received.Departures {
		departed, err := record.departure(now)
		if err != nil {
			return err
		}
		q.config.Logger.Info("another node kept a departure", "node", node.ID, "server", departed.Server, "started", departed.Started, "age", record.Age)
		q.config.OnDeparture(departed)
	}
	return nil
}
