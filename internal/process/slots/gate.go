// Package slots bounds the requests that a backend server runs at once. Requests
// wait for a slot in the order of their importance, for as long as their sender
// allows and only when they can be expected to get one in that time.
package slots

import (
	"context"
	"slices"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// headroom is the part of the slots that is left free, since servers slow down
	// when they are nearly full.
	headroom = 0.05
	// queueFactor bounds the queue to this many times the limit.
	queueFactor = 4
	// holdWeight is the weight of one request in the average time that a slot is held.
	holdWeight = 1.0 / 16
	// levels are the queues: one for the requests of clients and one for the calls of
	// running requests, at each importance.
	levels = 2 * (int(lagoonbarrow.ImportanceCritical) + 1)
)

// Config configures a Gate.
type Config struct {
	// Now tells the time; time.Now by default.
	Now func() time.Time
}

// Demand describes a request that asks for a slot.
type Demand struct {
	Priority lagoonbarrow.Priority
	// Nested requests belong to a request that already holds slots elsewhere, and go
	// before others of their importance. Among them the priority decides, which all
	// nested requests of one client's request share: under overload some requests get
	// all of their calls served, rather than all requests some of theirs.
	Nested bool
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

// Refusal is the error for a request that gets no slot. It was not run.
type Refusal struct {
	// RetryAfter is when a slot can be expected.
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

type waiter struct {
	level int
	// priority orders the waiters of a level; equal ones go in their order of arrival.
	priority lagoonbarrow.Priority
	// demanded is the priority of the call.
	demanded lagoonbarrow.Priority
	since    time.Time
	granted  chan error
}

// Gate holds the slots of one backend server.
type Gate struct {
	config Config

	mu       sync.Mutex
	limit    int
	running  int
	queued   int
	queues   [levels][]*waiter
	pressure pressure
	// hold is the average time that a slot is held, in seconds; 0 before the first.
	hold float64
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

// Limit returns the number of requests that a server with so many slots is given.
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

// Load returns the gate's state.
func (g *Gate) Load() lagoonbarrow.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return lagoonbarrow.Load{
		Limit:   g.limit,
		Running: g.running,
		Queued:  g.queued,
	}
}

// Acquire waits for a slot. It returns a function that frees it, or a *Refusal.
func (g *Gate) Acquire(ctx context.Context, demand Demand) (release func(), err error) {
	self, err := g.enter(demand)
	if err != nil {
		return nil, err
	}
	if self != nil {
		if err := g.await(ctx, self, demand.MaxWait); err != nil {
			return nil, err
		}
	}
	return g.releaser(), nil
}

// enter takes a slot or a place in the queue. A nil waiter means that the slot was taken.
func (g *Gate) enter(demand Demand) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	level := demand.level()
	self := &waiter{
		level:    level,
		demanded: demand.Priority,
		since:    g.config.Now(),
		granted:  make(chan error, 1),
	}
	g.pressure.control.Arrived(demand.Priority)
	g.step()
	if demand.Nested {
		self.priority = demand.Priority
	}
	place := g.place(self)
	ahead := place + g.above(level)
	if g.running < g.limit && ahead == 0 {
		g.running++
		return nil, nil
	}
	wait := g.expectedWait(ahead)
	if wait > demand.MaxWait || g.queued >= queueFactor*g.limit && !g.displace(self) {
		return nil, g.refusal(wait, lagoonbarrow.ErrShed)
	}
	g.queues[level] = slices.Insert(g.queues[level], place, self)
	g.queued++
	return self, nil
}

// place returns the waiter's place in the queue of its level.
func (g *Gate) place(self *waiter) int {
	queue := g.queues[self.level]
	for i := len(queue); i > 0; i-- {
		if queue[i-1].priority >= self.priority {
			return i
		}
	}
	return 0
}

// above counts the waiters of higher levels.
func (g *Gate) above(level int) int {
	count := 0
	for _, queue := range g.queues[level+1:] {
		count += len(queue)
	}
	return count
}

// ahead counts the waiters that get a slot before one that comes last in its level.
func (g *Gate) ahead(level int) int {
	return g.above(level) + len(g.queues[level])
}

// expectedWait is the time until the newcomer behind so many others gets a slot.
func (g *Gate) expectedWait(ahead int) time.Duration {
	if g.limit == 0 {
		return time.Second
	}
	seconds := g.hold * float64(ahead+1) / float64(g.limit)
	return time.Duration(seconds * float64(time.Second))
}

func (g *Gate) refusal(wait time.Duration, cause error) *Refusal {
	return &Refusal{
		RetryAfter: wait,
		cause:      cause,
	}
}

// displace refuses the last waiter if it is less important than the newcomer.
func (g *Gate) displace(newcomer *waiter) bool {
	for below := range newcomer.level + 1 {
		last := len(g.queues[below]) - 1
		if last < 0 {
			continue
		}
		displaced := g.queues[below][last]
		if below == newcomer.level && displaced.priority >= newcomer.priority {
			return false
		}
		g.queues[below] = g.queues[below][:last]
		g.queued--
		displaced.granted <- g.refusal(g.expectedWait(g.ahead(below)), lagoonbarrow.ErrShed)
		return true
	}
	return false
}

func (g *Gate) await(ctx context.Context, self *waiter, maxWait time.Duration) error {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case err := <-self.granted:
		return err
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.remove(self) {
		return <-self.granted
	}
	return g.refusal(g.expectedWait(g.ahead(self.level)), lagoonbarrow.ErrDeadline)
}

// remove takes a waiter out of its queue and reports whether it was there.
func (g *Gate) remove(self *waiter) bool {
	queue := g.queues[self.level]
	for i, other := range queue {
		if other == self {
			g.queues[self.level] = append(queue[:i], queue[i+1:]...)
			g.queued--
			return true
		}
	}
	return false
}

// releaser returns the function that frees a slot.
func (g *Gate) releaser() func() {
	since := g.config.Now()
	return func() {
		held := g.config.Now().Sub(since).Seconds()
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.hold == 0 {
			g.hold = held
		}
		g.hold += holdWeight * (held - g.hold)
		g.running--
		g.pressure.control.Freed()
		g.step()
		g.grant()
	}
}

// grant gives free slots to waiters, the most important first. The caller holds
// the mutex.
func (g *Gate) grant() {
	for level := levels - 1; level >= 0; level-- {
		for len(g.queues[level]) > 0 && g.running < g.limit {
			next := g.queues[level][0]
			g.queues[level] = g.queues[level][1:]
			g.queued--
			g.running++
			next.granted <- nil
		}
	}
}
