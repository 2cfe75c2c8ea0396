package contract

import (
	"context"
	"sync"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Defaults of Config. They add up to the 7 s for a change to be in force
// everywhere: up to 1 s until a reader sees it, and about 4 s of gossip to
// reach 7,800 instances from the first 200.
const (
	DefaultHeadInterval   = time.Second
	DefaultReaderPeriod   = 10 * time.Second
	DefaultStaleAfter     = 4 * time.Second
	DefaultRequestTimeout = 2 * time.Second
	// DefaultReportAfter is above the greatest age of 6 s that a simulation of
	// gossip between 7,800 instances shows without any fault.
	DefaultReportAfter = 10 * time.Second
)

// Bounds on the work that runs at once for pushes to peers.
const (
	pushWorkers = 4
	pushQueue   = 32
)

// Config holds what a Distributor needs.
type Config struct {
	Table     lagoonbarrow.Table
	Roster    lagoonbarrow.Roster
	Transport lagoonbarrow.Transport
	Registry  *Registry
	// Recorder takes events; nil for none.
	Recorder lagoonbarrow.Recorder
	// Scope takes metrics; nil for none.
	Scope tally.Scope
	// HeadInterval is the time between two reads of the head row by a reader.
	HeadInterval time.Duration
	// ReaderPeriod is the time for which an instance is a reader.
	ReaderPeriod time.Duration
	// StaleAfter is the time without a confirmed head after which a node reads
	// the head row itself.
	StaleAfter time.Duration
	// ReportAfter is the time without a confirmed head after which the event
	// contracts-stale is recorded.
	ReportAfter time.Duration
	// RequestTimeout bounds a read of the platform and a message to a peer.
	RequestTimeout time.Duration
	// Now is the clock; nil for time.Now.
	Now func() time.Time
}

// Distributor brings accepted contract changes into force on this node and
// passes them on to others.
type Distributor struct {
	config  Config
	metrics distributorMetrics
	pool    pond.Pool
	// submit runs a push in the background, or drops it when too many wait.
	submit func(task func())
	// mutex guards the fields below.
	mutex     sync.Mutex
	confirmed confirmation
	readers   readerCache
	stale     bool
	reported  bool
	nextPoll  time.Time
	wanted    pullTarget
	// pulling tells the pull loop of a target.
	pulling chan struct{}
	// refreshing tells the pull loop to read the head row.
	refreshing chan struct{}
	// loading lets one load from the platform run at a time.
	loading sync.Mutex
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

var _ lagoonbarrow.MessageHandler = (*Distributor)(nil)

// NewDistributor returns a distributor that does nothing before Start.
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
			pond.WithQueueSize(pushQueue),
			pond.WithNonBlocking(true)),
		pulling:    make(chan struct{}, 1),
		refreshing: make(chan struct{}, 1),
	}
	distributor.submit = distributor.trySubmit
	return distributor
}

// trySubmit drops the push when the pool is full; gossip delivers the revision
// as well.
func (d *Distributor) trySubmit(task func()) {
	if _, accepted := d.pool.TrySubmit(task); !accepted {
		d.metrics.droppedPushes.Inc(1)
	}
}

func setDefault(value *time.Duration, byDefault time.Duration) {
	if *value <= 0 {
		*value = byDefault
	}
}

// Start begins the initial load and the distribution. The registry is ready
// after the load, which is repeated until the platform answers.
func (d *Distributor) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Add(2)
	go d.runTicks(ctx)
	go d.runPulls(ctx)
}

// Refresh reads the head row soon, on top of the polls by readers. It does not
// wait.
func (d *Distributor) Refresh() {
	select {
	case d.refreshing <- struct{}{}:
	default:
	}
}

// Stop ends all activity and waits for it.
func (d *Distributor) Stop() {
	if d.cancel != nil {
		d.cancel()
	}
	d.done.Wait()
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
	defer d.done.Done()
	for {
		d.tick(ctx)
		pause(ctx, jitter(d.config.HeadInterval))
		if ctx.Err() != nil {
			return
		}
	}
}

// tick does what is due now: the initial load, a reader's poll, or the poll of
// a node that has not heard of the head for too long.
func (d *Distributor) tick(ctx context.Context) {
	if !d.config.Registry.Ready() {
		_ = d.load(ctx)
		return
	}
	d.watchAge()
	if d.isReader() || d.fallbackDue() {
		d.poll(ctx)
	}
}

func (d *Distributor) requestContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d.config.RequestTimeout)
}
