// Package exchange passes the configuration in force on from node to node. A restored store
// may hold an older one than nodes have in force, until the operator writes it again.
package exchange

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/backoff"
)

const (
	// queriesPerRound is the number of nodes that are queried at the same time. Most nodes
	// have the latest configuration, but a single one may have started as well.
	queriesPerRound = 3
	// queryTimeout bounds one query.
	queryTimeout = 300 * time.Millisecond
	// feedDelay is how long a request waits for the feed of the store's tables, which
	// usually delivers the configuration.
	feedDelay = 250 * time.Millisecond
	// maxRounds bounds the rounds of queries at the start, as this node may be the first one,
	// and after a request, as the node with the newer configuration may be gone.
	maxRounds = 8
	// membersPollInterval is the time between two checks whether the members are known.
	membersPollInterval = 20 * time.Millisecond
)

// Config configures an Exchange.
type Config struct {
	Self lagoonbarrow.InstanceID
	// Members returns the known nodes in a new slice, and whether they are known yet.
	Members func() ([]lagoonbarrow.Instance, bool)
	Sender  lagoonbarrow.MessageSender
	// Current returns the configuration in force, or nil.
	Current func() *lagoonbarrow.Configuration
	// Offer puts an encoded configuration in force if it is valid and newer.
	Offer func(encoded []byte)
	// Outdated reports whether another node is known to have a newer configuration.
	Outdated func() bool
	Logger   hclog.Logger
}

// Exchange queries other nodes for their configuration: at the start, and when another node
// has a newer one.
type Exchange struct {
	config Config
	// requests holds at most one request.
	requests chan struct{}
	task     background.Task
	// started is set once the rounds of the start have ended or one was answered.
	started atomic.Bool
}

// New returns an exchange that is not started yet.
func New(config Config) *Exchange {
	return &Exchange{
		config:   config,
		requests: make(chan struct{}, 1),
		task:     background.NewTask(config.Logger),
	}
}

// Start begins with the query of the start.
func (e *Exchange) Start() {
	e.task.Go("configuration exchange", e.run)
}

// Stop ends the queries. A query in progress ends within its time limit.
func (e *Exchange) Stop() {
	e.task.Stop()
}

// Started reports whether other nodes were queried at the start, so that this node doesn't
// begin with a configuration that they have replaced.
func (e *Exchange) Started() bool {
	return e.started.Load()
}

// Request requests queries if this node is outdated.
func (e *Exchange) Request() {
	select {
	case e.requests <- struct{}{}:
	default:
	}
}

func (e *Exchange) run(ctx context.Context) {
	e.queryAtStart(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.requests:
		}
		backoff.Pause(ctx, feedDelay)
		e.queryWhileOutdated(ctx)
	}
}

// queryWhileOutdated queries other nodes until this node has the newest configuration that
// it knows of.
func (e *Exchange) queryWhileOutdated(ctx context.Context) {
	delay := backoff.ForStore()
	for range maxRounds {
		if ctx.Err() != nil || !e.config.Outdated() {
			return
		}
		e.queryRound(ctx)
		if e.config.Outdated() {
			delay.Wait(ctx)
		}
	}
}

// queryAtStart queries other nodes until one has answered that has a configuration, or there
// is none.
func (e *Exchange) queryAtStart(ctx context.Context) {
	defer e.started.Store(true)
	for ctx.Err() == nil && !e.membersKnown() {
		backoff.Pause(ctx, membersPollInterval)
	}
	delay := backoff.ForStore()
	for range maxRounds {
		if ctx.Err() != nil || len(e.others()) == 0 || e.queryRound(ctx) {
			return
		}
		e.started.Store(true)
		delay.Wait(ctx)
	}
}

func (e *Exchange) membersKnown() bool {
	_, known := e.config.Members()
	return known
}

// others returns the other nodes in random order.
func (e *Exchange) others() []lagoonbarrow.Instance {
	members, _ := e.config.Members()
	var others []lagoonbarrow.Instance
	for _, member := range members {
		if member.ID != e.config.Self {
			others = append(others, member)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// queryRound queries a few nodes at the same time and offers their configurations. It
// reports whether a node has answered that has one.
func (e *Exchange) queryRound(ctx context.Context) bool {
	others := e.others()
	others = others[:min(queriesPerRound, len(others))]
	version := lagoonbarrow.ConfigurationVersion(0)
	if current := e.config.Current(); current != nil {
		version = current.Version
	}
	replies := make(chan *reply, len(others))
	for _, node := range others {
		e.task.Go("configuration query", func(context.Context) {
			replies <- e.query(ctx, node, version)
		})
	}
	answered := false
	for range others {
		select {
		case received := <-replies:
			answered = e.accept(received, version) || answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// accept offers the configuration of a reply, which is nil without an answer. It reports
// whether the node has one.
func (e *Exchange) accept(received *reply, version lagoonbarrow.ConfigurationVersion) bool {
	if received == nil || received.Version == 0 {
		return false
	}
	if received.Version > version {
		e.config.Offer(received.Encoded)
	}
	return true
}

// query returns the reply of a node, or nil.
func (e *Exchange) query(ctx context.Context, node lagoonbarrow.Instance, version lagoonbarrow.ConfigurationVersion) *reply {
	received, err := e.send(ctx, node, version)
	if err != nil {
		e.config.Logger.Info("a node gave no answer about its configuration", "node", node.ID, "error", err)
		return nil
	}
	if received.Version > version {
		e.config.Logger.Info("a node has a newer configuration", "node", node.ID, "version", received.Version, "present", version)
	}
	return received
}

func (e *Exchange) send(ctx context.Context, node lagoonbarrow.Instance, version lagoonbarrow.ConfigurationVersion) (*reply, error) {
	message, err := frame.EncodeMessage(kindConfiguration, query{
		Version: version,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	response, err := e.config.Sender.Send(ctx, node.Peer, message)
	if err != nil {
		return nil, err
	}
	received := &reply{}
	if err := frame.DecodeMessage(response, received); err != nil {
		return nil, err
	}
	return received, nil
}
