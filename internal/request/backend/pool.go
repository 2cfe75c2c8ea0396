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

// defaultFreshTime is how long a connection may have been idle to be used for a method
// that is not safe. The backend server may close an idle connection at the moment
// a request is written to it; then nobody knows whether a write was run. A new
// connection costs about 1 ms (design 1.1) and avoids that.
const defaultFreshTime = time.Second

// probeConnections are kept for Probe, which must not wait for calls.
const probeConnections = 1

// pool holds the connections to the backend server.
type pool struct {
	config Config
	dialer net.Dialer
	// slots holds a token for each call with a connection.
	slots chan struct{}

	mutex  sync.Mutex
	closed bool
	idle   []*connection
	busy   map[*connection]struct{}
	// sweeper closes old idle connections when there are no calls. It is nil while
	// there are no idle connections.
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

// acquire waits for a connection. All errors mean that nothing was sent.
func (p *pool) acquire(ctx context.Context, safe bool) (*connection, error) {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c, err := p.connect(ctx, safe)
	if err != nil {
		<-p.slots
		return nil, err
	}
	return c, nil
}

func (p *pool) connect(ctx context.Context, safe bool) (*connection, error) {
	oldest := time.Now().Add(-p.config.IdleTimeout)
	newest := time.Time{}
	if !safe {
		newest = time.Now().Add(-p.config.FreshTime)
	}
	for {
		c, err := p.pop(newest)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if c.idleSince.After(oldest) && socket.Quiet(c.raw) {
			return c, nil
		}
		p.forget(c)
	}
	raw, err := p.dialer.DialContext(ctx, "tcp", string(p.config.Address))
	if err != nil {
		return nil, errors.Wrap(err, "backend: dial")
	}
	p.config.Scope.Counter("backend-connections-opened").Inc(1)
	c := newConnection(raw)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		c.close()
		return nil, errClosed
	}
	p.busy[c] = struct{}{}
	return c, nil
}

var errClosed = errors.Wrap(lagoonbarrow.ErrStopping, "backend: client is closed")

// pop takes the idle connection that was used last, if that was after the given
// time. Older ones stay for other calls.
func (p *pool) pop(after time.Time) (*connection, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
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

// forget closes a connection that was popped.
func (p *pool) forget(c *connection) {
	c.close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.busy, c)
}

// release gives a connection back. Only one whose last exchange was complete is
// used again.
func (p *pool) release(c *connection, reusable bool) {
	defer func() { <-p.slots }()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.busy, c)
	if !reusable || p.closed {
		c.close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
	p.trim()
	if p.sweeper == nil {
		p.sweeper = time.AfterFunc(p.config.IdleTimeout, p.sweep)
	}
}

// sweep closes old idle connections and runs again while there are others.
func (p *pool) sweep() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.trim()
	p.sweeper = nil
	if len(p.idle) > 0 {
		p.sweeper = time.AfterFunc(p.config.IdleTimeout, p.sweep)
	}
}

// trim closes the connections that were idle for too long or are too many. The idle
// list is ordered by idleSince. The caller holds the mutex.
func (p *pool) trim() {
	oldest := time.Now().Add(-p.config.IdleTimeout)
	old := 0
	for old < len(p.idle) && (len(p.idle)-old > p.config.MaxIdle || p.idle[old].idleSince.Before(oldest)) {
		p.idle[old].close()
		p.idle[old] = nil
		old++
	}
	p.idle = p.idle[old:]
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
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
