package peer

import (
	"context"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer/socket"
)

// control holds the idle connections for control messages. In a large cluster the
// next message to the same peer is hours away, so few are kept and not for long.
type control struct {
	config *ClientConfig
	dialer *dialer

	mutex  sync.Mutex
	closed bool
	// idle is ordered by idleSince, oldest first.
	idle []idleControl
	busy map[*connection]struct{}
}

type idleControl struct {
	address    lagoonbarrow.Address
	connection *connection
}

func newControl(config *ClientConfig, dialer *dialer) *control {
	return &control{
		config: config,
		dialer: dialer,
		busy:   map[*connection]struct{}{},
	}
}

// acquire returns an idle connection to the address that is still open, or a new one.
func (c *control) acquire(ctx context.Context, to lagoonbarrow.Address) (*connection, error) {
	for {
		found, err := c.pop(to)
		if err != nil {
			return nil, err
		}
		if found == nil {
			break
		}
		if socket.Quiet(found.raw) {
			return found, nil
		}
		c.release(to, found, false)
	}
	opened, err := c.dialer.dial(ctx, to, "", purposeControl)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		opened.close()
		return nil, errClosed
	}
	c.busy[opened] = struct{}{}
	return opened, nil
}

// pop takes the idle connection to the address that was used last, if there is one.
func (c *control) pop(to lagoonbarrow.Address) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClosed
	}
	for i := len(c.idle) - 1; i >= 0; i-- {
		if c.idle[i].address != to {
			continue
		}
		found := c.idle[i].connection
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		c.busy[found] = struct{}{}
		return found, nil
	}
	return nil, nil
}

// release keeps the connection for a while, or closes it if it can't be used again.
func (c *control) release(to lagoonbarrow.Address, used *connection, reusable bool) {
	keep := reusable && !used.leaving
	if keep {
		used.release()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.busy, used)
	if !keep || c.closed || c.config.IdleControlConnections <= 0 {
		used.close()
		return
	}
	if len(c.idle) >= c.config.IdleControlConnections {
		c.idle[0].connection.close()
		c.idle = c.idle[1:]
	}
	used.idleSince = time.Now()
	kept := idleControl{
		address:    to,
		connection: used,
	}
	c.idle = append(c.idle, kept)
}

// addresses returns the peers with an idle control connection.
func (c *control) addresses() []lagoonbarrow.Address {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []lagoonbarrow.Address
	for _, item := range c.idle {
		all = append(all, item.address)
	}
	return all
}

func (c *control) idleCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.idle)
}

// sweep closes idle connections that are old or that the peer wants closed.
func (c *control) sweep(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.idle[:0]
	for _, item := range c.idle {
		if now.Sub(item.connection.idleSince) < c.config.ControlIdleTimeout && socket.Quiet(item.connection.raw) {
			kept = append(kept, item)
			continue
		}
		item.connection.close()
	}
	clear(c.idle[len(kept):])
	c.idle = kept
}

// close closes all connections and refuses further messages.
func (c *control) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, item := range c.idle {
		item.connection.close()
	}
	c.idle = nil
	for used := range c.busy {
		used.close()
	}
}
