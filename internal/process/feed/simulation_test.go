package feed

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/era"
	"lagoonbarrow/internal/process/follower"
)

// nodeFault is a fault of one node of a simulation.
type nodeFault string

const (
	// faultFrozen stops the node. What has arrived meanwhile is read when it continues.
	faultFrozen nodeFault = "frozen"
	// faultKilled ends the process. It starts again, without its copies, when the fault ends.
	faultKilled nodeFault = "killed"
	// faultPoweredOff is faultKilled, with an address that doesn't respond.
	faultPoweredOff nodeFault = "powered off"
	// faultCutOff loses all messages between the node and other nodes.
	faultCutOff nodeFault = "cut off from nodes"
	// faultStoreCut loses all calls of the node to the store.
	faultStoreCut nodeFault = "cut off from the store"
	// faultStoreRefuses makes the store refuse the node.
	faultStoreRefuses nodeFault = "refused by the store"
	// faultStoreSlow delays the responses of the store to the node.
	faultStoreSlow nodeFault = "slow store"
)

var nodeFaults = []nodeFault{
	faultFrozen,
	faultKilled,
	faultPoweredOff,
	faultCutOff,
	faultStoreCut,
	faultStoreRefuses,
	faultStoreSlow,
}

const (
	// simulatedLatency is the time of a message or call in one direction.
	simulatedLatency = time.Millisecond
	// slowStoreLatency is the time of a call to a slow store.
	slowStoreLatency = 300 * time.Millisecond
	// dialTime is how long opening a connection to an address takes that doesn't respond.
	dialTime = 300 * time.Millisecond
)

// simulation is a fleet of nodes that follow one table in simulated time, and the faults in
// force.
type simulation struct {
	store *fakeStore
	nodes []*simulatedNode
	zones int

	// losesResponses makes the store lose all responses that are on their way when a fault
	// begins or ends, instead of half of them.
	losesResponses bool
	// requests counts the messages between nodes, and storeCalls the calls to the store.
	requests   atomic.Int64
	storeCalls atomic.Int64

	mu  sync.Mutex
	rng *rand.Rand
	// silentLinks holds the pairs of nodes whose connections lose everything.
	silentLinks map[[2]int]bool
}

// simulatedNode is a node of a simulation. Each start has its own copies.
type simulatedNode struct {
	simulation *simulation
	index      int

	mu     sync.Mutex
	faults map[nodeFault]bool
	// changed is closed and replaced when faults change.
	changed chan struct{}
	// breaks counts the faults that have begun or ended. Each may lose the responses of the
	// store that are on their way.
	breaks int
	// timedOut is set if the last call to the store has reached its time limit. The next one
	// has more time.
	timedOut bool
	// healthySince is when the last fault ended, the node started or the path to the store
	// returned.
	healthySince time.Time
	cache        *Cache
	handler      *Handler
	follower     *follower.Follower
	// rows is what the process was told of the table.
	rows map[string]lagoonbarrow.Row
	// log holds the lines of all processes of the node.
	log    bytes.Buffer
	logger hclog.Logger
}

// newSimulation returns a fleet that has not started yet.
func newSimulation(seed uint64, count, zones int) *simulation {
	s := &simulation{
		store:       newFakeStore(),
		zones:       zones,
		rng:         rand.New(rand.NewPCG(seed, seed)),
		silentLinks: map[[2]int]bool{},
	}
	for i := range count {
		n := &simulatedNode{
			simulation: s,
			index:      i,
			faults:     map[nodeFault]bool{},
			changed:    make(chan struct{}),
		}
		n.logger = hclog.New(&hclog.LoggerOptions{
			Output:     &n.log,
			TimeFormat: "04:05.000",
		})
		s.nodes = append(s.nodes, n)
	}
	return s
}

// intN returns a random number below n.
func (s *simulation) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

// losesResponse reports whether a response is lost that is on its way when a fault begins
// or ends.
func (s *simulation) losesResponse() bool {
	return s.losesResponses || s.intN(2) == 0
}

// between returns a random duration.
func (s *simulation) between(from, to time.Duration) time.Duration {
	return from + time.Duration(s.intN(int(to-from)))
}

func (s *simulation) members() []lagoonbarrow.Instance {
	var members []lagoonbarrow.Instance
	for i := range s.nodes {
		members = append(members, lagoonbarrow.Instance{
			ID:   memberID(i),
			Zone: lagoonbarrow.Zone(fmt.Sprintf("zone-%d", i%s.zones)),
			Peer: lagoonbarrow.Address(memberID(i)),
		})
	}
	return members
}

// readers returns the indexes of the nodes that the others query first, in this order.
func (s *simulation) readers() []int {
	feed := New(Config{
		Members: s.members,
	})
	var indexes []int
	for _, source := range feed.sources() {
		for i := range s.nodes {
			if memberID(i) == source.ID {
				indexes = append(indexes, i)
			}
		}
	}
	return indexes
}

func (s *simulation) setSilentLink(a, b int, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentLinks[[2]int{min(a, b), max(a, b)}] = silent
}

func (s *simulation) isSilent(a, b int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentLinks[[2]int{min(a, b), max(a, b)}]
}

// stop ends all faults and nodes, and waits for the calls in progress.
func (s *simulation) stop() {
	for _, n := range s.nodes {
		for _, fault := range nodeFaults {
			n.setFault(fault, false)
		}
		n.stop()
	}
	time.Sleep(2 * silentCallTime)
}

// newFeed returns a feed of the node without any copy.
func (n *simulatedNode) newFeed() *Feed {
	return New(Config{
		Self: memberID(n.index),
		Zone: n.simulation.members()[n.index].Zone,
		Store: era.NewStore(era.Config{
			Store: simulatedStore{node: n},
		}),
		Members: n.simulation.members,
		Sender:  simulatedSender{node: n},
		Cache:   NewCache(),
		Logger:  n.logger,
	})
}

// start starts the node's process.
func (n *simulatedNode) start() {
	feed := n.newFeed()
	f := follower.New(follower.Config{
		Feed:        feed,
		Table:       tableName,
		PollTimeout: boundWait,
		Replace:     n.replaceRows,
		Apply:       n.applyChanges,
		Logger:      n.logger,
	})
	n.mu.Lock()
	n.rows = nil
	n.cache = feed.config.Cache
	n.handler = &Handler{
		Cache: feed.config.Cache,
	}
	n.follower = f
	n.healthySince = time.Now()
	n.mu.Unlock()
	f.Start()
}

func (n *simulatedNode) replaceRows(rows []lagoonbarrow.Row, _ lagoonbarrow.RowVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rows = map[string]lagoonbarrow.Row{}
	for _, row := range rows {
		n.rows[row.Key] = row
	}
}

func (n *simulatedNode) applyChanges(changes []lagoonbarrow.Change, _ lagoonbarrow.RowVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, change := range changes {
		delete(n.rows, change.Row.Key)
		if !change.Deleted {
			n.rows[change.Row.Key] = change.Row
		}
	}
}

// content returns what the process was told of the table.
func (n *simulatedNode) content() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return describe(n.rows)
}

// stop ends the node's process.
func (n *simulatedNode) stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.follower != nil {
		n.follower.Stop()
	}
	n.follower = nil
	n.handler = nil
}

// setFault begins or ends a fault.
func (n *simulatedNode) setFault(fault nodeFault, active bool) {
	n.mu.Lock()
	changed := n.faults[fault] != active
	if changed {
		n.faults[fault] = active
		n.healthySince = time.Now()
		n.breaks++
		close(n.changed)
		n.changed = make(chan struct{})
	}
	n.mu.Unlock()
	if !changed || (fault != faultKilled && fault != faultPoweredOff) {
		return
	}
	n.stop()
	if !active && !n.has(faultKilled) && !n.has(faultPoweredOff) {
		n.start()
	}
}

func (n *simulatedNode) has(fault nodeFault) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults[fault]
}

// breakCount returns the number of faults that have begun or ended.
func (n *simulatedNode) breakCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.breaks
}

// healthyFor reports whether the node has run without a fault for a time. A node that is
// cut off from other nodes only is healthy, because it can reach the store.
func (n *simulatedNode) healthyFor(duration time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for fault, active := range n.faults {
		if active && fault != faultCutOff {
			return false
		}
	}
	return n.handler != nil && time.Since(n.healthySince) >= duration
}

// version returns the version of the node's copy.
func (n *simulatedNode) version() lagoonbarrow.RowVersion {
	n.mu.Lock()
	cache := n.cache
	n.mu.Unlock()
	return cache.changesAfter(tableName, 0).version
}

// setTimedOut records whether a call to the store reaches its time limit, and returns
// whether the one before did.
func (n *simulatedNode) setTimedOut(timedOut bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	previous := n.timedOut
	n.timedOut = timedOut
	return previous
}

// waitWhileFrozen waits until the node is not frozen, or until ctx ends.
func (n *simulatedNode) waitWhileFrozen(ctx context.Context) {
	for {
		n.mu.Lock()
		frozen, changed := n.faults[faultFrozen], n.changed
		n.mu.Unlock()
		if !frozen {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// currentHandler returns the handler of the process, or nil.
func (n *simulatedNode) currentHandler() *Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handler
}

// simulatedSender delivers the messages of a node.
type simulatedSender struct {
	node *simulatedNode
}

// Send implements lagoonbarrow.MessageSender.
func (s simulatedSender) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	s.node.waitWhileFrozen(context.Background())
	defer s.node.waitWhileFrozen(context.Background())
	for _, target := range s.node.simulation.nodes {
		if to == lagoonbarrow.Address(memberID(target.index)) {
			return s.deliver(ctx, target, message)
		}
	}
	return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
}

// deliver sends a message to a node and returns its reply.
func (s simulatedSender) deliver(ctx context.Context, target *simulatedNode, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	s.node.simulation.requests.Add(1)
	time.Sleep(simulatedLatency)
	if target.has(faultPoweredOff) {
		pause(ctx, dialTime)
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	if s.loses(target) {
		<-ctx.Done()
		return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
	}
	target.waitWhileFrozen(ctx)
	handler := target.currentHandler()
	if handler == nil {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
	}
	reply, err := handler.HandleMessage(ctx, memberID(s.node.index), message)
	target.waitWhileFrozen(ctx)
	time.Sleep(simulatedLatency)
	if ctx.Err() != nil || target.currentHandler() != handler {
		return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
	}
	if s.loses(target) {
		<-ctx.Done()
		return lagoonbarrow.Message{}, lagoonbarrow.ErrAnswerLost
	}
	return reply, err
}

// loses reports whether messages between the node and the target are lost.
func (s simulatedSender) loses(target *simulatedNode) bool {
	return s.node.has(faultCutOff) || target.has(faultCutOff) || s.node.simulation.isSilent(s.node.index, target.index)
}

// simulatedStore is the store as a node sees it.
type simulatedStore struct {
	node *simulatedNode
}

// Rows implements lagoonbarrow.ChangeFeed.
func (s simulatedStore) Rows(ctx context.Context, table string) ([]lagoonbarrow.Row, lagoonbarrow.RowVersion, error) {
	end, err := s.begin(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	rows, version, err := s.node.simulation.store.Rows(ctx, table)
	if failure := end(); failure != nil {
		return nil, 0, failure
	}
	return rows, version, err
}

// Changes implements lagoonbarrow.ChangeFeed.
func (s simulatedStore) Changes(ctx context.Context, table string, after lagoonbarrow.RowVersion, wait time.Duration) ([]lagoonbarrow.Change, lagoonbarrow.RowVersion, error) {
	end, err := s.begin(ctx, wait)
	if err != nil {
		return nil, 0, err
	}
	changes, version, err := s.node.simulation.store.Changes(ctx, table, after, wait)
	if failure := end(); failure != nil {
		return nil, 0, failure
	}
	return changes, version, err
}

// Put implements lagoonbarrow.RowStore. The nodes of a simulation write no rows.
func (s simulatedStore) Put(context.Context, lagoonbarrow.Write) (lagoonbarrow.RowVersion, error) {
	return 0, lagoonbarrow.ErrUnavailable
}

// begin sends a call to the store. The returned function receives its response. A call
// whose connection broke gets none, and fails at its time limit.
func (s simulatedStore) begin(ctx context.Context, wait time.Duration) (end func() error, err error) {
	s.node.simulation.storeCalls.Add(1)
	started := time.Now()
	s.node.waitWhileFrozen(context.Background())
	breaks := s.node.breakCount()
	s.delay(ctx)
	if s.node.has(faultStoreRefuses) {
		return nil, lagoonbarrow.ErrUnavailable
	}
	if s.node.has(faultStoreCut) {
		return nil, s.hang(ctx, started, wait)
	}
	return func() error {
		s.delay(ctx)
		cut := s.node.has(faultStoreCut)
		if cut || s.node.breakCount() != breaks && s.node.simulation.losesResponse() {
			return s.hang(ctx, started, wait)
		}
		s.node.setTimedOut(false)
		// A response that arrived while the node was frozen is read as it is.
		s.node.waitWhileFrozen(context.Background())
		return nil
	}, nil
}

// delay is the time of one direction of a call.
func (s simulatedStore) delay(ctx context.Context) {
	if s.node.has(faultStoreSlow) {
		pause(ctx, slowStoreLatency)
		return
	}
	time.Sleep(simulatedLatency)
}

// hang waits until the time limit of a call without a response.
func (s simulatedStore) hang(ctx context.Context, started time.Time, wait time.Duration) error {
	limit := callTime
	if s.node.setTimedOut(true) {
		limit = silentCallTime
	}
	pause(ctx, time.Until(started.Add(wait+limit)))
	s.node.waitWhileFrozen(context.Background())
	return lagoonbarrow.ErrUnavailable
}

// pause waits for the duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
