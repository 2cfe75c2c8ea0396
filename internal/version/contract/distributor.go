package contract

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Defaults of Config. With these, a change is in force everywhere within 7 s:
// up to 1 s until a reader reads it, and about 4 s of gossip from the first 200
// instances to all 7,800.
const (
	DefaultHeadInterval   = time.Second
	DefaultReaderPeriod   = 10 * time.Second
	DefaultStaleAfter     = 4 * time.Second
	DefaultRequestTimeout = 2 * time.Second
	// DefaultReportAfter exceeds 6 s, the greatest age in a simulation of gossip
	// between 7,800 instances without faults.
	DefaultReportAfter = 10 * time.Second
)

// Bounds on the pushes to peers that run or wait at the same time.
const (
	pushWorkers   = 4
	pushQueueSize = 32
)

// Config holds what a Distributor needs.
type Config struct {
	Table     lagoonbarrow.Table
	Roster    lagoonbarrow.Roster
	Transport lagoonbarrow.Transport
	Registry  *Registry
	// Recorder records events if it is not nil.
	Recorder lagoonbarrow.Recorder
	// Scope receives the metrics if it is not nil.
	Scope tally.Scope
	// HeadInterval is the time between two reads of the head row by a reader.
	HeadInterval time.Duration
	// ReaderPeriod is the time after which the readers are chosen again.
	ReaderPeriod time.Duration
	// StaleAfter is the time without a confirmation of the head after which a
	// node reads the head row itself.
	StaleAfter time.Duration
	// ReportAfter is the time without a confirmation of the head after which the
	// event contracts-stale is recorded.
	ReportAfter time.Duration
	// RequestTimeout limits each read from the platform and each message to a peer.
	RequestTimeout time.Duration
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Distributor brings accepted contract changes into force on this node and
// forwards them to other nodes.
type Distributor struct {
	config  Config
	metrics distributorMetrics
	pool    pond.Pool
	// submit runs a push in the background, or drops it when the queue is full.
	submit func(task func())
	// mutex guards the fields below.
	mutex       sync.Mutex
	confirmed   confirmation
	readers     readerCache
	stale       bool
	reported    bool
	nextPoll    time.Time
	pendingPull pullTarget
	// pullSignal wakes the pull loop when pendingPull is set.
	pullSignal chan struct{}
	// refreshSignal makes the pull loop read the head row.
	refreshSignal chan struct{}
	// loadMutex limits loads from the platform to one at a time.
	loadMutex sync.Mutex
	cancel    context.CancelFunc
	wg        sync.WaitGroup
}

var _ lagoonbarrow.MessageHandler = (*Distributor)(nil)

// NewDistributor returns a distributor. Start starts its distribution.
func NewDistributor(config Config) *Distributor {
	setDefault(&config.HeadInterval, DefaultHeadInterval)
	setDefault(&config.ReaderPeriod, DefaultReaderPeriod)
	setDefault(&config.StaleAfter, DefaultStaleAfter)
	setDefault(&config.RequestTimeout, DefaultRequestTimeout)
	setDefault(&config.ReportAfter, DefaultReportAfter)
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	distributor := &Distributor{
		config:  config,
		metrics: newDistributorMetrics(config.Scope),
		pool: pond.NewPool(pushWorkers,
			pond.WithQueueSize(pushQueueSize),
			pond.WithNonBlocking(true)),
		pullSignal:    make(chan struct{}, 1),
		refreshSignal: make(chan struct{}, 1),
	}
	distributor.submit = distributor.trySubmit
	return distributor
}

// trySubmit drops the push when the pool is full. The peers still receive the
// revision by gossip.
func (d *Distributor) trySubmit(task func()) {
	if _, accepted := d.pool.TrySubmit(task); !accepted {
		d.metrics.droppedPushes.Inc(1)
	}
}

func setDefault(value *time.Duration, defaultValue time.Duration) {
	if *value <= 0 {
		*value = defaultValue
	}
}

// Start starts the initial load and the distribution. The load is repeated until
// it succeeds, and the registry is then ready.
func (d *Distributor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.wg.Add(2)
	go d.runTicks(ctx)
	go d.runPulls(ctx)
}

// Refresh requests a read of the head row in addition to the polls by readers. It
// does not wait for it.
func (d *Distributor) Refresh() {
	select {
	case d.refreshSignal <- struct{}{}:
	default:
	}
}

// Stop stops all goroutines and waits until they have ended.
func (d *Distributor) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.wg.Wait()
	d.pool.StopAndWait()
}

// Kinds returns the kinds of messages that HandleMessage serves.
func (d *Distributor) Kinds() []string {
	return []string{
		KindPush,
		KindPull,
		KindStatus,
	}
}

func (d *Distributor) runTicks(ctx context.Context) {
	defer d.wg.Done()
	for {
		d.tick(ctx)
		sleep(ctx, jitter(d.config.HeadInterval))
		if ctx.Err() != nil {
			return
		}
	}
}

// tick runs the initial load until the registry is ready. After that, it polls
// the head if this node is a reader, or if its confirmation is too old.
func (d *Distributor) tick(ctx context.Context) {
	if !d.config.Registry.Ready() {
		_ = d.load(ctx)
		return
	}
	d.updateAge()
	if d.isReader() || d.fallbackDue() {
		d.poll(ctx)
	}
}

func (d *Distributor) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.config.RequestTimeout)
}
