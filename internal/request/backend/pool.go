package backend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer/socket"
)

// defaultMaxUnsafeIdle bounds the idle time of a connection that is reused for a
// method that is not safe. The backend server may close an idle connection while a
// request is written to it, and then the outcome of a write is unknown. A new
// connection avoids that and costs about 1 ms (docs/design.md, 1.1).
const defaultMaxUnsafeIdle = time.Second

// probeConnections is the number of connections reserved for Probe, which must not
// wait for calls.
const probeConnections = 1

// pool manages the connections to the backend server.
type pool struct {
	config Config
	dialer net.Dialer
	// slots is a semaphore with one slot for each call that may hold a connection.
	slots chan struct{}

	mu     sync.Mutex
	closed bool
	idle   []*connection
	busy   map[*connection]struct{}
	// sweeper closes expired idle connections when there are no calls. It is nil
	// while there are no idle connections.
	sweeper *time.Timer
}

func newPool(config Config) *pool {
	return &pool{
		config: config,
		dialer: net.Dialer{
			Timeout: config.DialTimeout,
		},
		slots: make(chan struct{}, max(1, config.Connections-probeConnections)),
		busy:  map[*connection]struct{}{},
	}
}

// acquire waits for a connection. Unless anyIdle is set, it does not reuse one that
// was idle for longer than MaxUnsafeIdle. An error means that nothing was sent.
func (p *pool) acquire(ctx context.Context, anyIdle bool) (*connection, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := p.connect(ctx, anyIdle)
	if err != nil {
		<-p.slots
		return nil, err
	}
	return c, nil
}

func (p *pool) connect(ctx context.Context, anyIdle bool) (*connection, error) {
	idleCutoff := time.Now().Add(-p.config.IdleTimeout)
	usedAfter := time.Time{}
	if !anyIdle {
		usedAfter = time.Now().Add(-p.config.MaxUnsafeIdle)
	}
	for {
		c, err := p.popIdle(usedAfter)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.idleSince.After(idleCutoff) && c.keptByServer(time.Now()) && socket.IsIdle(c.netConn) {
			return c, nil
		}
		p.discard(c)
	}
	netConn, err := p.dialer.DialContext(ctx, "tcp", string(p.config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "backend: dial")
	}
	p.config.Scope.Counter("backend-connections-opened").Inc(1)
	c := newConnection(netConn)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.close()
		return nil, errClosed
	}
	p.busy[c] = struct{}{}
	return c, nil
}

var errClosed = errors.Wrap(lagoonbarrow.ErrStopping, "backend: client is closed")

// popIdle removes and returns the most recently used idle connection if it was used
// after the given time. It returns nil otherwise. Older ones remain for other calls.
func (p *pool) popIdle(after time.Time) (*connection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, errClosed
	}
	last := len(p.idle) - 1
	if last < 0 || !p.idle[last].idleSince.After(after) {
		return nil, nil
	}
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	p.busy[c] = struct{}{}
	return c, nil
}

// discard closes a connection that popIdle returned.
func (p *pool) discard(c *connection) {
	c.close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
}

// release returns a connection to the pool. It is kept only if its last exchange was
// complete.
func (p *pool) release(c *connection, reusable bool) {
	defer func() { <-p.slots }()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, c)
	if !reusable || p.closed {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.trimIdle()
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.config.IdleTimeout, p.sweep)
	}
}

// sweep closes expired idle connections and reschedules itself while any remain.
func (p *pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trimIdle()
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(p.config.IdleTimeout, p.sweep)
	}
}

// trimIdle closes idle connections that have expired or exceed MaxIdle. The idle list
// is ordered by idleSince. The caller holds the mutex.
func (p *pool) trimIdle() {
	idleCutoff := time.Now().Add(-p.config.IdleTimeout)
	removed := 0
	for removed < len(p.idle) && (len(p.idle)-removed > p.config.MaxIdle || p.idle[removed].idleSince.Before(idleCutoff)) {
		p.idle[removed].close()
		p.idle[removed] = nil
		removed++
	}
	p.idle = p.idle[removed:]
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.sweeper != nil {
		p.sweeper.Stop()
	}
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
	for c := range p.busy {
		c.close()
	}
}
