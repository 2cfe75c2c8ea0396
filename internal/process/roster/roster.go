// Package roster keeps the membership table of all instances. It follows SWIM:
// random direct and indirect probes, suspicion with refutation, and gossip
// piggybacked on the probes. Periodic digest exchanges (anti-entropy) repair
// what gossip missed.
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
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/internal/process/panics"
)

var (
	_ lagoonbarrow.Roster         = (*Roster)(nil)
	_ lagoonbarrow.MessageHandler = (*Roster)(nil)
)

// maxConcurrentProbes is the number of pool workers, which run probes outside of
// the background loops. maxQueuedProbes bounds the probes that wait for a worker.
const (
	maxConcurrentProbes = 8
	maxQueuedProbes     = 64
)

// Roster holds the records of the instances of all services.
type Roster struct {
	config        Config
	selfRef       reference
	table         *table
	queue         *updateQueue
	budget        *budget
	events        *limitedEvents
	metrics       metrics
	panics        *panics.Reporter
	pool          pond.Pool
	internedNames map[string]string
	schedule      probeSchedule

	// superseded is set when a later process uses this instance id. The table's
	// mutex guards it.
	superseded bool
	ready      atomic.Bool
	leaving    atomic.Bool
	rtt        atomic.Int64

	urgentProbes chan reference
	rowRestores  chan struct{}

	rowMutex   sync.Mutex
	rowVersion lagoonbarrow.RowVersion

	lifecycleMutex sync.Mutex
	cancel         context.CancelFunc
	background     sync.WaitGroup
	stopped        atomic.Bool
}

type metrics struct {
	probes            tally.Counter
	probeFailures     tally.Counter
	probesSkipped     tally.Counter
	refutations       tally.Counter
	digestExchanges   tally.Counter
	bytes             tally.Counter
	unknownReferences tally.Counter
	blocksIgnored     tally.Counter
	members           tally.Gauge
	pendingUpdates    tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		probes:            scope.Counter("probes"),
		probeFailures:     scope.Counter("probe-failures"),
		probesSkipped:     scope.Counter("probes-held-back"),
		refutations:       scope.Counter("refutations"),
		digestExchanges:   scope.Counter("digest-exchanges"),
		bytes:             scope.Counter("bytes"),
		blocksIgnored:     scope.Counter("blocks-ignored"),
		unknownReferences: scope.Counter("unknown-references"),
		members:           scope.Gauge("members"),
		pendingUpdates:    scope.Gauge("pending-news"),
	}
}

// New returns a roster whose table holds only this node's own instance. It
// returns ErrInvalid for an incomplete Config.
func New(config Config) (*Roster, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config.setDefaults()
	r := &Roster{
		config:        config,
		selfRef:       referenceOf(config.Self.ID),
		table:         newTable(),
		queue:         newUpdateQueue(),
		budget:        newBudget(config.BudgetPerSecond, config.ProbeInterval),
		events:        newLimitedEvents(config.Recorder),
		metrics:       newMetrics(config.Scope),
		panics:        panics.NewReporter(config.Logger),
		pool:          pond.NewPool(maxConcurrentProbes, pond.WithQueueSize(maxQueuedProbes), pond.WithNonBlocking(true)),
		internedNames: map[string]string{},
		urgentProbes:  make(chan reference, maxQueuedUrgentProbes),
		rowRestores:   make(chan struct{}, 1),
	}
	self := &member{
		ref: r.selfRef,
	}
	r.table.set(self, newRecord(config.Self, status{}), time.Now())
	return r, nil
}

// Start begins registration and probing in the background. It retries, and the
// roster is not ready, until the platform's table has accepted this node's row.
// The background work continues until Stop, even if ctx is cancelled, because a
// draining node still has to spread its leave with its probes.
// It returns ErrStopping for a roster that was started or stopped before.
func (r *Roster) Start(ctx context.Context) error {
	r.lifecycleMutex.Lock()
	defer r.lifecycleMutex.Unlock()
	if r.stopped.Load() || r.cancel != nil {
		return errors.Wrap(lagoonbarrow.ErrStopping, "roster: start")
	}
	ctx, r.cancel = context.WithCancel(context.WithoutCancel(ctx))
	r.background.Add(1)
	go r.run(ctx)
	return nil
}

// run registers this node, joins the fleet and then starts the background loops.
func (r *Roster) run(ctx context.Context) {
	defer r.background.Done()
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
		r.background.Add(1)
		go func() {
			defer r.background.Done()
			r.panics.Run(ctx, "roster", loop)
		}()
	}
}

// submit runs a task in the pool and reports whether the pool accepted it. Stop
// waits for accepted tasks. Idle pool workers end by themselves.
func (r *Roster) submit(task func()) bool {
	r.background.Add(1)
	err := r.pool.Go(func() {
		defer r.background.Done()
		task()
	})
	if err != nil {
		r.background.Done()
	}
	return err == nil
}

// Ready reports whether this node's row was accepted and the table of a peer
// was read. The first node of a fleet becomes ready without a peer.
func (r *Roster) Ready() bool {
	return r.ready.Load()
}

// Leave announces that this node is leaving. Later calls of SetState have no
// effect. ctx bounds the announcement to the connected peers. The other members
// receive it by gossip, which continues until Stop.
func (r *Roster) Leave(ctx context.Context) {
	if !r.leaving.CompareAndSwap(false, true) {
		return
	}
	r.setPhase(phaseLeaving)
	r.broadcastOwnStatus(ctx)
}

// broadcastOwnStatus sends this node's own status to all connected peers.
func (r *Roster) broadcastOwnStatus(ctx context.Context) {
	body := leaveBody{
		Sender: r.ownStatus(),
	}
	message, err := frame.EncodeMessage(kindLeave, body)
	if err != nil {
		return
	}
	r.config.Transport.Broadcast(ctx, message)
}

// stopTimeout bounds the announcement and the removal of the row in Stop.
const stopTimeout = 2 * time.Second

// Stop ends all background work. After Leave it also announces that this node
// has left and removes its row. Without Leave it has the effect of a crash.
func (r *Roster) Stop() {
	if !r.cancelBackground() {
		return
	}
	r.background.Wait()
	if !r.leaving.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	r.setPhase(phaseLeft)
	r.broadcastOwnStatus(ctx)
	r.removeOwnRow(ctx)
}

// cancelBackground cancels the background work and reports whether any was
// running.
func (r *Roster) cancelBackground() bool {
	r.lifecycleMutex.Lock()
	defer r.lifecycleMutex.Unlock()
	if !r.stopped.CompareAndSwap(false, true) || r.cancel == nil {
		return false
	}
	r.cancel()
	return true
}

// SetState announces this node's own state. It accepts only starting and ready.
// Leave and Stop announce the later states.
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

func (r *Roster) setPhase(newPhase phase) {
	r.table.mutex.Lock()
	m := r.table.members[r.selfRef]
	s := m.Status
	if s.Phase == newPhase || s.Phase == phaseLeft {
		r.table.mutex.Unlock()
		return
	}
	s.Phase = newPhase
	if s.Incarnation != 0 {
		s.Incarnation++
	}
	r.table.set(m, newRecord(m.Instance, s), time.Now())
	r.table.mutex.Unlock()
	r.queue.add(r.selfRef, false)
}

// Self returns this node's own record. Its incarnation is 0 until the platform
// has accepted the row.
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

// Live returns all instances that are neither dead nor left, including this
// node. The slice is shared and must not be changed. In a large fleet it may be
// 50 ms old.
func (r *Roster) Live() []lagoonbarrow.Instance {
	return r.table.liveInstances()
}

// Lookup returns the record of an instance, even if it is dead or has left.
func (r *Roster) Lookup(id lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	found, ok := r.table.lookup(referenceOf(id))
	return found.Instance, ok
}

// maxReadyAnnouncements bounds the members that AnnounceReady probes. The rest of
// a large fleet receives the state by gossip from these members.
const maxReadyAnnouncements = 64

// AnnounceReady sets this node's state to ready and probes up to 64 members, which
// carries the state to them. It returns when they have answered or the probe
// timeout has passed. Otherwise a service of two instances could briefly have no
// ready instance, if the other one stops as soon as this one reports ready.
func (r *Roster) AnnounceReady(ctx context.Context) {
	r.SetState(lagoonbarrow.StateReady)
	peers := r.table.sample(maxReadyAnnouncements, func(m *member) bool {
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
