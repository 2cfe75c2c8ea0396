package quota

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/pkg/event"
)

const (
	// tokenWait bounds the wait of a request for its token.
	tokenWait = 150 * time.Millisecond
	// uncertainRetryAfter is sent while no keeper is known that can tell. While votes are not
	// free, the time until then is sent if it is longer.
	uncertainRetryAfter = 300 * time.Millisecond
	// limitEventInterval is the least time between two events for a customer that exceeds its
	// rate.
	limitEventInterval = 10 * time.Second
)

// LimitsConfig holds the dependencies of Limits.
type LimitsConfig struct {
	Self lagoonbarrow.InstanceID
	// Configuration returns the configuration in force, or nil.
	Configuration func() *lagoonbarrow.Configuration
	// ObserveVersion is called with the configuration version of another node.
	ObserveVersion func(version lagoonbarrow.ConfigurationVersion)
	// Members returns all nodes of the directory.
	Members func() []lagoonbarrow.Instance
	Sender  lagoonbarrow.MessageSender
	// Recorder records events. Nil disables them.
	Recorder lagoonbarrow.Recorder
	Scope    tally.Scope
	Logger   hclog.Logger
}

// Limits bounds the requests of customers over all nodes. It holds this node's tokens and
// votes, and the accounts that this node keeps. It is safe for concurrent use.
type Limits struct {
	config  LimitsConfig
	metrics limitMetrics
	clock   *elapsedClock
	task    background.Task

	// keeping guards keeper and keptVersion.
	keeping     sync.Mutex
	keeper      *keeper
	keptVersion lagoonbarrow.ConfigurationVersion

	// mu guards node.
	mu   sync.Mutex
	node *tokenNode
	// wakes start a message of a group before the next one is due.
	wakes [keeperGroups]chan struct{}
	// probing is set while a probe of a group is in flight.
	probing [keeperGroups]atomic.Bool
	// membersChanged is set when the members have to be read again. The directory sets it
	// under its own mutex.
	membersChanged atomic.Bool
}

// waiter is a request that waits for a token.
type waiter struct {
	// done receives nil with a token, or the error.
	done  chan error
	usage float64
}

var (
	_ lagoonbarrow.CustomerLimits = (*Limits)(nil)
	_ lagoonbarrow.MessagePart    = (*Limits)(nil)
)

// NewLimits returns limits that refuse all requests of limited customers until Start.
func NewLimits(config LimitsConfig) *Limits {
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	// 0 is not a process, because messages to an unknown keeper have it.
	process := processID(rand.Uint64() | 1)
	clock := newElapsedClock()
	l := &Limits{
		config:  config,
		metrics: newLimitMetrics(config.Scope),
		clock:   clock,
		task:    background.NewTask(config.Logger),
		keeper:  newKeeper(process),
		node:    newTokenNode(clock.read(), process),
	}
	l.membersChanged.Store(true)
	for i := range l.wakes {
		l.wakes[i] = make(chan struct{}, 1)
	}
	return l
}

// Start starts the messages to keepers.
func (l *Limits) Start() {
	for number := range l.wakes {
		l.task.Go("customer tokens", func(ctx context.Context) { l.run(ctx, number) })
	}
}

// Leave makes this node release the votes that it holds as a keeper and grant nothing more,
// so that other nodes vote for another one at once.
func (l *Limits) Leave() {
	l.keeping.Lock()
	defer l.keeping.Unlock()
	l.keeper.stop(l.clock.read())
}

// Stop ends the messages to keepers.
func (l *Limits) Stop() {
	l.Leave()
	l.task.Stop()
}

// MembersChanged makes the node read the members again.
func (l *Limits) MembersChanged() {
	l.membersChanged.Store(true)
}

// Take takes one request from the rate of a customer.
func (l *Limits) Take(ctx context.Context, customer *lagoonbarrow.Customer) (float64, error) {
	if !customer.Limited() {
		return 0, nil
	}
	l.mu.Lock()
	l.updateConfiguration()
	now := l.clock.read().fast
	decision, wake := l.node.take(now, customer.ID)
	usage := 0.0
	var err error
	var waiting *waiter
	switch decision {
	case verdictTaken:
		usage = l.node.balance(customer.ID).last.usage
	case verdictRefused:
		err = l.refuse(now, customer.ID, l.node.balance(customer.ID))
	case verdictWaiting:
		waiting = &waiter{
			done: make(chan error, 1),
		}
		l.node.join(customer.ID, waiting)
	case verdictUnlisted:
	}
	l.mu.Unlock()
	if wake {
		l.wakeUp(groupOf(customer.ID))
	}
	switch decision {
	case verdictWaiting:
		return l.wait(ctx, customer.ID, waiting)
	case verdictUnlisted:
		return l.takeUnlisted(customer)
	default:
		return usage, err
	}
}

// takeUnlisted decides for a customer that the configuration in force lists without a limit,
// or no longer.
func (l *Limits) takeUnlisted(customer *lagoonbarrow.Customer) (float64, error) {
	if current := l.config.Configuration(); current != nil {
		for i := range current.Customers {
			if current.Customers[i].ID == customer.ID && !current.Customers[i].Limited() {
				return 0, nil
			}
		}
	}
	l.metrics.unknown.Inc(1)
	return 0, errUnlisted
}

// errUnlisted is the error for a customer that the configuration in force doesn't list.
var errUnlisted = &lagoonbarrow.LimitError{
	RetryAfter: uncertainRetryAfter,
	Cause:      errors.Wrap(lagoonbarrow.ErrUnavailable, "quota: the configuration has changed"),
}

// wait waits for the token of a request.
func (l *Limits) wait(ctx context.Context, id lagoonbarrow.CustomerID, waiting *waiter) (float64, error) {
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	select {
	case err := <-waiting.done:
		return waiting.usage, err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case err := <-waiting.done:
		return waiting.usage, err
	default:
	}
	held := l.node.balance(id)
	held.abandon(waiting)
	return 0, l.refuse(l.clock.read().fast, id, held)
}

// Return gives back the token of a request that was not run.
func (l *Limits) Return(id lagoonbarrow.CustomerID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.node.giveBack(l.clock.read().fast, id) {
		l.metrics.returned.Inc(1)
	}
}

// Keeper returns the keeper that this node uses for a customer, or "" before the first message.
func (l *Limits) Keeper(id lagoonbarrow.CustomerID) lagoonbarrow.InstanceID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.node.group(id).ballot.asked.ID
}

// wakeUp starts a message of a group, unless one is about to start.
func (l *Limits) wakeUp(number int) {
	select {
	case l.wakes[number] <- struct{}{}:
	default:
	}
}

// updateConfiguration takes over the limits of the configuration in force. The caller holds
// the mutex.
func (l *Limits) updateConfiguration() {
	current := l.config.Configuration()
	if current == nil || current.Version == l.node.version {
		return
	}
	for _, waiting := range l.node.configure(current.Version, limitsIn(current)) {
		waiting.done <- errUnlisted
	}
}

// refuse returns the error for a request that gets no token. The caller holds the mutex.
func (l *Limits) refuse(now time.Duration, id lagoonbarrow.CustomerID, held *balance) error {
	detail := &refusalError{
		standing: held.last,
		age:      now - held.last.repliedAt,
		cause:    lagoonbarrow.ErrUnavailable,
	}
	if limit := l.node.limits[id]; limit != nil {
		detail.rate = limit.RequestsPerSecond
		detail.burst = limit.BurstRequests
	}
	retryAfter := uncertainRetryAfter
	if held.exceeded(now) {
		detail.cause = lagoonbarrow.ErrRateExceeded
		retryAfter = held.retryAfter(now)
		l.metrics.refused.Inc(1)
	} else {
		retryAfter = max(retryAfter, held.holdUntil-now, l.node.group(id).ballot.blockedFor(l.clock.read()))
		l.metrics.unknown.Inc(1)
	}
	if !held.recorded || now-held.recordedAt >= limitEventInterval {
		held.recorded = true
		held.recordedAt = now
		l.recordEvent(event.CustomerLimited, event.Fields{
			Customer:        string(id),
			Peer:            string(detail.keeper),
			ContractVersion: uint64(l.node.version),
			Detail:          detail.Error(),
		})
	}
	return &lagoonbarrow.LimitError{
		RetryAfter: retryAfter,
		Cause:      detail,
	}
}

func (l *Limits) recordEvent(kind event.Kind, fields event.Fields) {
	if l.config.Recorder != nil {
		l.config.Recorder.Record(kind, fields)
	}
}
