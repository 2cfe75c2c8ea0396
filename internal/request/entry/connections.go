package entry

import (
	"math"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"lagoonbarrow/internal/process/logging"
)

const (
	// spareDivisor is the part of the connections that is kept free for new clients by
	// closing others.
	spareDivisor = 16
	// minUnusedTime is how long a connection without a request is kept at least, and
	// minKeptTime one that has had a request. A client may be sending the next one.
	minUnusedTime = time.Second
	minKeptTime   = 5 * time.Second
	// minReceivingTime is how long a client may take for the body of a request.
	minReceivingTime = 5 * time.Second
)

// connectionState is what a client's connection is in use for.
type connectionState int

const (
	// stateUnused has not sent a complete header.
	stateUnused connectionState = iota
	// stateKept has had a response and no further header.
	stateKept
	// stateReceiving is sending the body of a request.
	stateReceiving
	// stateServing has sent a request, which may have been run.
	stateServing
	// stateClosing has been closed in favour of others.
	stateClosing
)

// connectionUse is the state of a connection and its begin.
type connectionUse struct {
	state connectionState
	since time.Time
}

// closable reports whether the connection may be closed in favour of others. No request
// on it has been run and is not answered.
func (u connectionUse) closable(now time.Time) bool {
	age := now.Sub(u.since)
	switch u.state {
	case stateUnused:
		return age >= minUnusedTime
	case stateKept:
		return age >= minKeptTime
	case stateReceiving:
		return age >= minReceivingTime
	default:
		return false
	}
}

// before reports whether the connection is closed before another one: those without a
// request first, and of these the oldest. It is for the load of many clients that hold
// connections and send nothing, or slowly.
func (u connectionUse) before(other connectionUse) bool {
	if (u.state == stateReceiving) != (other.state == stateReceiving) {
		return other.state == stateReceiving
	}
	return u.since.Before(other.since)
}

// connections keeps a part of the connections of a listener free for new clients.
type connections struct {
	// limit is the number of connections above which others are closed.
	limit int
	// abortSlowest aborts the response that is read slowest, and reports whether there
	// is one.
	abortSlowest func() bool
	logger       hclog.Logger
	gauge        tally.Gauge
	closed       tally.Counter

	mu   sync.Mutex
	open map[net.Conn]connectionUse
	// closing is the number of connections in stateClosing.
	closing  int
	throttle logging.Throttle
}

func newConnections(limits Limits, logger hclog.Logger) *connections {
	scope := limits.Scope
	if scope == nil {
		scope = tally.NoopScope
	}
	limit := math.MaxInt
	if limits.MaxConnections > 0 {
		limit = limits.MaxConnections - max(1, limits.MaxConnections/spareDivisor)
	}
	return &connections{
		limit:        limit,
		abortSlowest: limits.Memory.AbortSlowest,
		logger:       logger,
		gauge:        scope.Gauge("client-connections"),
		closed:       scope.Counter("client-connections-closed-for-others"),
		open:         map[net.Conn]connectionUse{},
	}
}

// observe processes the state of a connection as fasthttp reports it.
func (c *connections) observe(conn net.Conn, state fasthttp.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		// Two for one restores the free part after a burst of new connections.
		for range 2 {
			if len(c.open)-c.closing >= c.limit {
				c.makeRoom()
			}
		}
		c.open[conn] = connectionUse{
			since: time.Now(),
		}
	case fasthttp.StateIdle:
		c.set(conn, stateKept)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		if c.open[conn].state == stateClosing {
			c.closing--
		}
		delete(c.open, conn)
	default:
		return
	}
	c.gauge.Update(float64(len(c.open)))
}

// mark sets the state of an open connection. It returns false if the connection has been
// closed in favour of others, and its request must not be run.
func (c *connections) mark(conn net.Conn, state connectionState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.set(conn, state)
	return c.open[conn].state != stateClosing
}

// set sets the state of an open connection. The caller holds the mutex.
func (c *connections) set(conn net.Conn, state connectionState) {
	if use, found := c.open[conn]; found && use.state != stateClosing {
		c.open[conn] = connectionUse{
			state: state,
			since: time.Now(),
		}
	}
}

// makeRoom closes one connection. The caller holds the mutex.
func (c *connections) makeRoom() {
	now := time.Now()
	var oldest net.Conn
	for conn, use := range c.open {
		if use.closable(now) && (oldest == nil || use.before(c.open[oldest])) {
			oldest = conn
		}
	}
	if oldest == nil {
		if c.abortSlowest() {
			c.report("response read slowly")
		}
		return
	}
	c.open[oldest] = connectionUse{
		state: stateClosing,
	}
	c.closing++
	_ = oldest.Close()
	c.report("no complete request")
}

// report counts and logs a connection that was closed in favour of others. The caller
// holds the mutex.
func (c *connections) report(cause string) {
	c.closed.Inc(1)
	if count, allowed := c.throttle.Next(); allowed {
		c.logger.Warn("connections of clients were closed to keep some free for others",
			"count", count, "cause", cause, "open", len(c.open), "limit", c.limit)
	}
}
