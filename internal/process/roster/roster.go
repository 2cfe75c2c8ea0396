// Package roster keeps the table of all instances. Membership follows SWIM:
// random probes, indirect probes, suspicion with refutation, and gossip on the
// probes, repaired by digest exchanges.
package roster

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

var (
	_ lagoonbarrow.Roster         = (*Roster)(nil)
	_ lagoonbarrow.MessageHandler = (*Roster)(nil)
)

// fanOut bounds the probes that run beside the loops, fanOutWaiting those that
// wait for a worker.
const (
	fanOut        = 8
	fanOutWaiting = 64
)

// Roster knows the instances of all services.
type Roster struct {
	config  Config
	selfRef reference
	table   *table
	queue   *queue
	budget  *budget
	events  *limitedEvents
	scope   counters
	pool    pond.Pool
	strings map[string]string
	rotate  rotation

	// superseded is set when a later process uses this instance id. It is
	// guarded by the table's mutex.
	superseded bool
	ready      atomic.Bool
	leaving    atomic.Bool
	rtt        atomic.Int64

	urgent  chan reference
	restore chan struct{}

	rowMutex   sync.Mutex
	rowVersion lagoonbarrow.RowVersion

	lifeMutex sync.Mutex
	cancel    context.CancelFunc
	loops     sync.WaitGroup
	stopped   atomic.Bool
}

type counters struct {
	probes        tally.Counter
	probeFails    tally.Counter
	probesPaused  tally.Counter
	refutations   tally.Counter
	digests       tally.Counter
	bytes         tally.Counter
	unknownRefs   tally.Counter
	blocksIgnored tally.Counter
	members       tally.Gauge
	pending       tally.Gauge
}

func newCounters(scope tally.Scope) counters {
	return counters{
		probes:        scope.Counter("probes"),
		probeFails:    scope.Counter("probe-failures"),
		probesPaused:  scope.Counter("probes-held-back"),
		refutations:   scope.Counter("refutations"),
		digests:       scope.Counter("digest-exchanges"),
		bytes:         scope.Counter("bytes"),
		blocksIgnored: scope.Counter("blocks-ignored"),
		unknownRefs:   scope.Counter("unknown-references"),
		members:       scope.Gauge("members"),
		pending:       scope.Gauge("pending-news"),
	}
}

// New returns a roster that knows only its own instance. It returns ErrInvalid
// for an incomplete Config.
func New(config Config) (*Roster, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config.setDefaults()
	r := &Roster{
		config:  config,
		selfRef: referenceOf(config.Self.ID),
		table:   newTable(),
		queue:   newQueue(),
		budget:  newBudget(config.BudgetPerSecond, config.ProbeInterval),
		events:  newLimitedEvents(config.Recorder),
		scope:   newCounters(config.Scope),
		pool:    pond.NewPool(fanOut, pond.WithQueueSize(fanOutWaiting), pond.WithNonBlocking(true)),
		strings: map[string]string{},
		urgent:  make(chan reference, urgentProbes),
		restore: make(chan struct{}, 1),
	}
	self := &member{
		ref: r.selfRef,
	}
	r.table.set(self, newRecord(config.Self, status{}), time.Now())
	return r, nil
}

// Start begins registration and probing in the background. The roster stays
// not ready, and retries, until the platform's table accepted this node's row.
// The background work goes on until Stop, also when ctx is cancelled: while a
// node drains after a signal, its leave still has to spread with its probes.
// It returns ErrStopping for a roster that was started or stopped before.
func (r *Roster) Start(ctx context.Context) error {
	r.lifeMutex.Lock()
	defer r.lifeMutex.Unlock()
	if r.stopped.Load() || r.cancel != nil {
		return errors.Wrap(lagoonbarrow.ErrStopping, "roster: start")
	}
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.loops.Add(1)
	go r.run(ctx)
	return nil
}

// run registers this node and then runs the loops until ctx is done.
func (r *Roster) run(ctx context.Context) {
	defer r.loops.Done()
	if !r.register(ctx) {
		return
	}
	r.join(ctx)
	if ctx.Err() != nil {
		return
	}
	r.ready.Store(true)
	for _, loop := range []func(context.Context){
		r.probeLoop,
		r.urgentLoop,
		r.suspicionLoop,
		r.digestLoop,
		r.healLoop,
		r.rowLoop,
	} {
		r.loops.Add(1)
		go func() {
			defer r.loops.Done()
			loop(ctx)
		}()
	}
}

// submit runs a task in the pool and reports whether it was taken. Stop waits
// for the tasks; the pool's workers end by themselves when they are idle.
func (r *Roster) submit(task func()) bool {
	r.loops.Add(1)
	err := r.pool.Go(func() {
		defer r.loops.Done()
		task()
	})
	if err != nil {
		r.loops.Done()
	}
	return err == nil
}

// Ready reports whether this node's row was accepted and the table of a peer
// was read. A first node of a fleet becomes ready without a peer.
func (r *Roster) Ready() bool {
	return r.ready.Load()
}

// Leave announces that this node is leaving. Later calls of SetState have no
// effect. ctx bounds the announcement to the connected peers; the others hear
// of it with the probes that go on until Stop.
func (r *Roster) Leave(ctx context.Context) {
	if !r.leaving.CompareAndSwap(false, true) {
		return
	}
	r.setPhase(phaseLeaving)
	r.announce(ctx)
}

// announce sends this node's own status to all connected peers.
func (r *Roster) announce(ctx context.Context) {
	body := leaveBody{
		Sender: r.ownStatus(),
	}
	message, err := encode(kindLeave, body)
	if err != nil {
		return
	}
	r.config.Transport.Broadcast(ctx, message)
}

// lastWrites bounds the announcement and the removal of the row in Stop.
const lastWrites = 2 * time.Second

// Stop ends all background work. After Leave it also announces that this node
// has left and removes its row; without Leave it acts like a crash.
func (r *Roster) Stop() {
	if !r.end() {
		return
	}
	r.loops.Wait()
	if !r.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lastWrites)
	defer cancel()
	r.setPhase(phaseLeft)
	r.announce(ctx)
	r.removeOwnRow(ctx)
}

// end cancels the background work and reports whether there was any.
func (r *Roster) end() bool {
	r.lifeMutex.Lock()
	defer r.lifeMutex.Unlock()
	if !r.stopped.CompareAndSwap(false, true) || r.cancel == nil {
		return false
	}
	r.cancel()
	return true
}

// SetState announces this node's own state. Only starting and ready are
// accepted; Leave announces the end.
func (r *Roster) SetState(state lagoonbarrow.InstanceState) {
	if r.leaving.Load() {
		return
	}
	switch state {
	case lagoonbarrow.StateStarting:
		r.setPhase(phaseStarting)
	case lagoonbarrow.StateReady:
		r.setPhase(phaseReady)
	default:
	}
}

func (r *Roster) setPhase(next phase) {
	r.table.mutex.Lock()
	m := r.table.members[r.selfRef]
	s := m.Status
	if s.Phase == next || s.Phase == phaseLeft {
		r.table.mutex.Unlock()
		return
	}
	s.Phase = next
	if s.Incarnation != 0 {
		s.Incarnation++
	}
	r.table.set(m, newRecord(m.Instance, s), time.Now())
	r.table.mutex.Unlock()
	r.queue.add(r.selfRef, false)
}

// Self returns this node's own record. Its incarnation is 0 until the platform
// accepted the row.
func (r *Roster) Self() lagoonbarrow.Instance {
	own, _ := r.table.lookup(r.selfRef)
	return own.Instance
}

func (r *Roster) ownStatus() wireStatus {
	own, _ := r.table.lookup(r.selfRef)
	return statusToWire(r.selfRef, own.Status)
}

// Instances returns the ready and suspect instances of a service. The slice is
// shared and must not be changed.
func (r *Roster) Instances(service lagoonbarrow.ServiceName) []lagoonbarrow.Instance {
	return r.table.instances(service)
}

// Live returns all instances that are neither dead nor left, this node
// included. The slice is shared and must not be changed. In a large fleet it
// may be 50 ms old.
func (r *Roster) Live() []lagoonbarrow.Instance {
	return r.table.liveInstances()
}

// Lookup returns the record of an instance, dead and left ones included.
func (r *Roster) Lookup(id lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	found, ok := r.table.lookup(referenceOf(id))
	return found.Instance, ok
}

// announced bounds the members that are told directly of this node's readiness.
// The rest of a large fleet learns of it by gossip, which starts from all of them.
const announced = 64

// AnnounceReady makes this node ready and tells up to 64 members directly. It
// returns when they answered or the probe timeout passed. Without it a service
// of two instances has none for a moment when the other one stops as soon as
// this one says that it is ready.
func (r *Roster) AnnounceReady(ctx context.Context) {
	r.SetState(lagoonbarrow.StateReady)
	peers := r.table.sample(announced, func(m *member) bool {
		return m.ref != r.selfRef && m.Status.live() && m.Status.Verdict == verdictAlive
	})
	var pending sync.WaitGroup
	for _, target := range peers {
		pending.Add(1)
		submitted := r.submit(func() {
			defer pending.Done()
			_ = r.probeDirect(ctx, target)
		})
		if !submitted {
			pending.Done()
		}
	}
	pending.Wait()
}
