// Package slots bounds the requests that a backend server runs at once, and those that it
// gets a second if it names a limit of them. Requests wait in order of importance, for as
// long as their sender allows and only when they are expected to be sent in that time.
package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// headroom is the fraction of the slots that stays free, because servers slow down
	// when they are nearly full.
	headroom = 0.05
	// queueFactor is the maximum length of the queue as a multiple of the limit.
	queueFactor = 4
	// customerQueueFactor replaces it for nested requests of customers. They have begun, and
	// the entries refuse further ones within some hundred milliseconds.
	customerQueueFactor = 24
	// slotTimeWeight is the weight of one request in the moving average of the slot time.
	slotTimeWeight = 1.0 / 16
	// levels is the number of queues: one for client requests and one for nested
	// requests at each importance.
	levels = 2 * (int(lagoonbarrow.ImportanceCritical) + 1)
)

// Config configures a Gate.
type Config struct {
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// ReportsSlotTime adds the mean slot time to the load.
	ReportsSlotTime bool
}

// Demand describes a request that needs a slot.
type Demand struct {
	Priority lagoonbarrow.Priority
	// Customer is the customer that the request belongs to; empty without customers.
	Customer lagoonbarrow.CustomerID
	// Nested is set for a request that is part of another one, which already holds
	// slots elsewhere. Nested requests precede client requests of the same importance.
	// They are ordered by priority, which all those of one client request share: under
	// overload some client requests get all of their calls served, instead of each
	// only a few.
	Nested bool
	// Deadline is the deadline of the client request. In a gate that serves customers it orders
	// nested requests instead of the priority, so that those that have begun first end first.
	Deadline time.Time
	// MaxWait is the longest time to wait for a slot.
	MaxWait time.Duration
}

func (d Demand) level() int {
	level := 2 * int(d.Priority.Importance())
	if d.Nested {
		level++
	}
	return level
}

// rank returns the order of the request within its level.
func (d Demand) rank(byDeadline bool) int64 {
	switch {
	case !d.Nested:
		return 0
	case byDeadline:
		return -d.Deadline.UnixNano()
	default:
		return int64(d.Priority)
	}
}

// Refusal is the error for a request that gets no slot. The request was not run.
type Refusal struct {
	// RetryAfter is the expected time until a slot is free.
	RetryAfter time.Duration
	// cause is ErrShed or ErrDeadline.
	cause error
}

// Error implements error.
func (r *Refusal) Error() string {
	return "slots: " + r.cause.Error()
}

// Unwrap returns the sentinel error.
func (r *Refusal) Unwrap() error {
	return r.cause
}

// waiter is a queued request.
type waiter struct {
	level int
	// rank orders the waiters of a level; equal ones keep their order of arrival. It is
	// the priority of a nested request and 0 for a client request. A gate that serves
	// customers orders nested requests by their deadlines.
	rank         int64
	callPriority lagoonbarrow.Priority
	// deadlineOrder is set if rank is that of the deadline.
	deadlineOrder bool
	queuedAt      time.Time
	// result receives nil with a slot, or a *Refusal.
	result chan error
}

// Gate holds the slots of one backend server.
type Gate struct {
	config Config

	mu        sync.Mutex
	limit     int
	running   int
	queued    int
	queues    [levels][]*waiter
	threshold thresholdState
	rate      rateLimit
	// grantPending is set while a timer will grant slots when the rate limit allows.
	grantPending bool
	// customerAt is when a request of a customer arrived last.
	customerAt time.Time
	// meanSlotTime is the average time that a slot is held, in seconds; 0 before the first release.
	meanSlotTime float64
	slotTime     presentSlotTime
}

// New returns a gate without slots.
func New(config Config) *Gate {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Gate{
		config: config,
	}
}

// Limit returns the number of requests that run at once on a server with the given
// number of slots.
func Limit(slots int) int {
	return max(1, slots-int(headroom*float64(slots)+0.5))
}

// SetSlots sets the number of slots that the server declares.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = Limit(slots)
	g.grant()
}

// SetRateLimit changes the requests a second that the server accepts.
func (g *Gate) SetRateLimit(limited bool, limit lagoonbarrow.RequestsPerSecond) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rate.set(limited, limit, g.config.Now())
	g.grant()
}

// RateUsage returns the fraction of the rate limit that is in use, 0 without one. It is 1
// or more while requests have to wait for it.
func (g *Gate) RateUsage() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate.usage(g.queued, g.config.Now())
}

// Unused records that a request was granted a slot and is not sent to the server.
func (g *Gate) Unused() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slotTime.unused++
	g.rate.giveBack(g.config.Now())
	g.grant()
}

// Load returns the gate's state.
func (g *Gate) Load() lagoonbarrow.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	load := lagoonbarrow.Load{
		Limit:   g.limit,
		Running: g.running,
		Queued:  g.queued,
	}
	if g.config.ReportsSlotTime {
		g.slotTime.advance(g.running, g.config.Now())
		load.SlotTime = g.slotTime.value()
	}
	return load
}

// Acquire waits for a slot. It returns a function that releases the slot, or a *Refusal.
func (g *Gate) Acquire(ctx context.Context, demand Demand) (release func(), err error) {
	w, err := g.acquireOrQueue(demand)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err := g.wait(ctx, w, demand.MaxWait); err != nil {
			return nil, err
		}
	}
	return g.releaseFunc(), nil
}

// acquireOrQueue acquires a slot or queues the request. A nil waiter means that the
// slot was acquired.
func (g *Gate) acquireOrQueue(demand Demand) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	level := demand.level()
	w := &waiter{
		level:        level,
		callPriority: demand.Priority,
		queuedAt:     g.config.Now(),
		result:       make(chan error, 1),
	}
	if demand.Customer != "" {
		g.customerAt = w.queuedAt
	}
	g.threshold.control.RecordArrival(demand.Priority)
	g.updateThreshold()
	// Requests without a customer, on public routes, must not precede those of customers.
	byDeadline := g.servesCustomers(w.queuedAt)
	w.rank = demand.rank(byDeadline)
	w.deadlineOrder = demand.Nested && byDeadline
	position := g.queuePosition(w)
	ahead := position + g.waitersAbove(level)
	if ahead == 0 && g.isOpen() {
		g.admit()
		return nil, nil
	}
	wait := g.expectedWait(ahead)
	if wait > demand.MaxWait || !g.hasRoom(demand, w) {
		return nil, g.refusal(wait, lagoonbarrow.ErrShed)
	}
	g.queues[level] = slices.Insert(g.queues[level], position, w)
	g.queued++
	g.scheduleGrant()
	return w, nil
}

// hasRoom reports whether the queue has room for a request, or made room by refusing the last
// waiter.
func (g *Gate) hasRoom(demand Demand, w *waiter) bool {
	if demand.Customer == "" {
		return g.queued < queueFactor*g.limit || g.displace(w, false)
	}
	if g.queued >= customerQueueFactor*g.limit {
		return g.displace(w, false)
	}
	// Client requests take no places of nested ones, which have begun.
	return demand.Nested || g.clientsQueued() < queueFactor*g.limit || g.displace(w, true)
}

// clientsQueued counts the client requests in the queue.
func (g *Gate) clientsQueued() int {
	count := 0
	for level := 0; level < levels; level += 2 {
		count += len(g.queues[level])
	}
	return count
}

// isOpen reports whether a request may be sent now. The caller holds the mutex.
func (g *Gate) isOpen() bool {
	return g.running < g.limit && g.rate.available(g.config.Now())
}

// admit uses a slot, and a token of the rate limit. The caller holds the mutex.
func (g *Gate) admit() {
	g.slotTime.advance(g.running, g.config.Now())
	g.running++
	g.rate.take(g.config.Now())
}

// queuePosition returns the position of a new waiter in the queue of its level.
func (g *Gate) queuePosition(w *waiter) int {
	queue := g.queues[w.level]
	for i := len(queue); i > 0; i-- {
		if queue[i-1].rank >= w.rank {
			return i
		}
	}
	return 0
}

// waitersAbove counts the waiters of higher levels.
func (g *Gate) waitersAbove(level int) int {
	count := 0
	for _, queue := range g.queues[level+1:] {
		count += len(queue)
	}
	return count
}

// waitersAhead counts the waiters that precede a new waiter at the end of the level's queue.
func (g *Gate) waitersAhead(level int) int {
	return g.waitersAbove(level) + len(g.queues[level])
}

// expectedWait estimates the time until a request with the given number of waiters
// ahead of it may be sent.
func (g *Gate) expectedWait(ahead int) time.Duration {
	return max(g.slotWait(ahead), g.rate.wait(ahead, g.config.Now()))
}

// slotWait estimates the time until there is a slot for a request with the given number of
// waiters ahead of it.
func (g *Gate) slotWait(ahead int) time.Duration {
	if g.limit == 0 {
		return time.Second
	}
	if g.running+ahead < g.limit {
		return 0
	}
	seconds := g.meanSlotTime * float64(ahead+1) / float64(g.limit)
	return time.Duration(seconds * float64(time.Second))
}

func (g *Gate) refusal(wait time.Duration, cause error) *Refusal {
	return &Refusal{
		RetryAfter: wait,
		cause:      cause,
	}
}

// displace refuses the last waiter, or the last client request, if it ranks below the
// newcomer, and reports whether it did.
func (g *Gate) displace(newcomer *waiter, clientsOnly bool) bool {
	for below := range newcomer.level + 1 {
		if clientsOnly && below%2 == 1 {
			continue
		}
		last := len(g.queues[below]) - 1
		if last < 0 {
			continue
		}
		displaced := g.queues[below][last]
		if below == newcomer.level && displaced.rank >= newcomer.rank {
			return false
		}
		g.queues[below] = g.queues[below][:last]
		g.queued--
		displaced.result <- g.refusal(g.expectedWait(g.waitersAhead(below)), lagoonbarrow.ErrShed)
		return true
	}
	return false
}

func (g *Gate) wait(ctx context.Context, w *waiter, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-w.result:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.remove(w) {
		return <-w.result
	}
	return g.refusal(g.expectedWait(g.waitersAhead(w.level)), lagoonbarrow.ErrDeadline)
}

// remove removes a waiter from its queue and reports whether it was there.
func (g *Gate) remove(w *waiter) bool {
	queue := g.queues[w.level]
	for i, other := range queue {
		if other == w {
			g.queues[w.level] = append(queue[:i], queue[i+1:]...)
			g.queued--
			return true
		}
	}
	return false
}

// releaseFunc returns the function that releases a slot.
func (g *Gate) releaseFunc() func() {
	start := g.config.Now()
	return func() {
		held := g.config.Now().Sub(start).Seconds()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.meanSlotTime == 0 {
			g.meanSlotTime = held
		}
		g.meanSlotTime += slotTimeWeight * (held - g.meanSlotTime)
		g.slotTime.advance(g.running, g.config.Now())
		g.slotTime.release()
		g.running--
		g.threshold.control.RecordRelease()
		g.updateThreshold()
		g.grant()
	}
}

// grant assigns free slots to waiters, the most important first, as far as the rate limit
// allows. The caller holds the mutex.
func (g *Gate) grant() {
	for level := levels - 1; level >= 0; level-- {
		for len(g.queues[level]) > 0 && g.isOpen() {
			next := g.queues[level][0]
			g.queues[level] = g.queues[level][1:]
			g.queued--
			g.admit()
			next.result <- nil
		}
	}
	g.scheduleGrant()
}

// scheduleGrant grants slots when the rate limit allows the next request, if one waits for
// that. The caller holds the mutex.
func (g *Gate) scheduleGrant() {
	if g.grantPending || g.queued == 0 || g.running >= g.limit {
		return
	}
	g.grantPending = true
	delay := max(minGrantDelay, g.rate.wait(0, g.config.Now()))
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.grantPending = false
		g.grant()
	})
}
