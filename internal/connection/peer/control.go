package peer

import (
	"context"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer/socket"
)

// controlPool holds the connections for control messages. In a large cluster the
// next message to the same peer may be hours away, so it keeps few idle connections
// and only for a short time.
type controlPool struct {
	config *ClientConfig
	dialer *dialer

	mutex  sync.Mutex
	closed bool
	// idle is ordered by idleSince, oldest first.
	idle []idleControl
	// inUse holds the connections in use, which close has to close.
	inUse map[*connection]struct{}
}

type idleControl struct {
	address    lagoonbarrow.Address
	connection *connection
}

func newControlPool(config *ClientConfig, dialer *dialer) *controlPool {
	return &controlPool{
		config: config,
		dialer: dialer,
		inUse:  map[*connection]struct{}{},
	}
}

// acquire returns an idle connection to the address that is still open, or opens a
// new one.
func (c *controlPool) acquire(ctx context.Context, to lagoonbarrow.Address) (*connection, error) {
	for {
		conn, err := c.popIdle(to)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if socket.IsIdle(conn.netConn) {
			return conn, nil
		}
		c.release(to, conn, false)
	}
	conn, err := c.dialer.dial(ctx, to, "", purposeControl)
	if err != nil {
		return nil, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		conn.close()
		return nil, errClosed
	}
	c.inUse[conn] = struct{}{}
	return conn, nil
}

// popIdle returns the most recently used idle connection to the address, or nil, and
// marks it as in use.
func (c *controlPool) popIdle(to lagoonbarrow.Address) (*connection, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closed {
		return nil, errClosed
	}
	for i := len(c.idle) - 1; i >= 0; i-- {
		if c.idle[i].address != to {
			continue
		}
		conn := c.idle[i].connection
		c.idle = append(c.idle[:i], c.idle[i+1:]...)
		c.inUse[conn] = struct{}{}
		return conn, nil
	}
	return nil, nil
}

// release keeps the connection as idle, or closes it if it can't be reused.
func (c *controlPool) release(to lagoonbarrow.Address, conn *connection, reusable bool) {
	keep := reusable && !conn.closeAfterUse
	if keep {
		conn.releaseBuffers()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.inUse, conn)
	if !keep || c.closed || c.config.IdleControlConnections <= 0 {
		conn.close()
		return
	}
	if len(c.idle) >= c.config.IdleControlConnections {
		c.idle[0].connection.close()
		c.idle = c.idle[1:]
	}
	conn.idleSince = time.Now()
	kept := idleControl{
		address:    to,
		connection: conn,
	}
	c.idle = append(c.idle, kept)
}

// addresses returns the addresses of the peers with an idle control connection.
func (c *controlPool) addresses() []lagoonbarrow.Address {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []lagoonbarrow.Address
	for _, item := range c.idle {
		all = append(all, item.address)
	}
	return all
}

func (c *controlPool) idleCount() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.idle)
}

// sweep closes idle connections that are too old, were closed by the peer or have
// unexpected bytes such as going-away.
func (c *controlPool) sweep(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	kept := c.idle[:0]
	for _, item := range c.idle {
		if now.Sub(item.connection.idleSince) < c.config.ControlIdleTimeout && socket.IsIdle(item.connection.netConn) {
			kept = append(kept, item)
			continue
		}
		item.connection.close()
	}
	clear(c.idle[len(kept):])
	c.idle = kept
}

// close closes all connections and refuses further messages.
func (c *controlPool) close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for _, item := range c.idle {
		item.connection.close()
	}
	c.idle = nil
	for conn := range c.inUse {
		conn.close()
	}
}
