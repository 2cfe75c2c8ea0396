package peer

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer/socket"
)

const (
	// longCallsDivisor limits long calls to a quarter of a peer's connections
	// (docs/design.md, 3.4).
	longCallsDivisor = 4
	// criticalReserveDivisor reserves a tenth of the connections for critical calls,
	// as in admission (docs/design.md, 3.2).
	criticalReserveDivisor = 10
	// waitersPerConnection bounds the calls that wait for a connection, like the
	// admission queues (docs/design.md, 3.3).
	waitersPerConnection = 4
)

// errClosed is returned after the client was closed.
var errClosed = errors.Wrap(lagoonbarrow.ErrStopping, "peer: client is closed")

// errDisconnected is returned to calls that waited when Disconnect was called.
var errDisconnected = errors.Wrap(lagoonbarrow.ErrNoInstance, "peer: instance was disconnected")

// poolKey identifies a peer. A new instance at a reused address is a different peer.
type poolKey struct {
	address  lagoonbarrow.Address
	instance lagoonbarrow.InstanceID
}

// waiter is a call that waits for a connection.
type waiter struct {
	priority lagoonbarrow.Priority
	long     bool
	// result receives nil when the call may use a connection, or the error with which
	// its wait ends.
	result chan error
}

// peerPool holds the connections for calls to one peer.
type peerPool struct {
	key       poolKey
	idle      []*connection
	inUse     int
	longInUse int
	waiters   []*waiter
	lastUse   time.Time
}

// pool holds the connections for calls to all peers.
type pool struct {
	config *ClientConfig
	dialer *dialer

	mutex  sync.Mutex
	closed bool
	peers  map[poolKey]*peerPool
	// open counts the connections of all peers, idle and in use.
	open int
	// inUse holds the connections in use, which close and disconnect have to close.
	inUse map[*connection]struct{}
}

func newPool(config *ClientConfig, dialer *dialer) *pool {
	return &pool{
		config: config,
		dialer: dialer,
		peers:  map[poolKey]*peerPool{},
		inUse:  map[*connection]struct{}{},
	}
}

// lease is the right to use one connection.
type lease struct {
	pool       *pool
	peer       *peerPool
	long       bool
	connection *connection
}

// acquire returns a connection to the peer, and waits for one if necessary. Waiting
// calls with a higher priority go first. After any error nothing has been sent.
func (p *pool) acquire(ctx context.Context, key poolKey, priority lagoonbarrow.Priority, long bool) (*lease, error) {
	peer, err := p.waitForSlot(ctx, key, priority, long)
	if err != nil {
		return nil, err
	}
	leased := &lease{
		pool: p,
		peer: peer,
		long: long,
	}
	c, err := p.connect(ctx, peer)
	// After a timeout the other calls keep waiting, since only this call's deadline may
	// have passed.
	var unreachable *unreachableError
	if errors.As(err, &unreachable) && !unreachable.timeout() {
		p.failWaiters(peer, err)
	}
	if err != nil {
		leased.release(false)
		return nil, err
	}
	leased.connection = c
	return leased, nil
}

// waitForSlot waits until the peer's limits allow another call.
func (p *pool) waitForSlot(ctx context.Context, key poolKey, priority lagoonbarrow.Priority, long bool) (*peerPool, error) {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		return nil, errClosed
	}
	peer, err := p.getOrCreatePeer(key)
	if err != nil {
		p.mutex.Unlock()
		return nil, err
	}
	peer.lastUse = time.Now()
	if p.allows(peer, priority, long) {
		peer.callStarted(long)
		p.mutex.Unlock()
		return peer, nil
	}
	w := &waiter{
		priority: priority,
		long:     long,
		result:   make(chan error, 1),
	}
	err = p.enqueue(peer, w)
	p.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err := <-w.result:
		return peer, err
	case <-ctx.Done():
	}
	return nil, p.abandonWait(peer, w, ctx.Err())
}

// abandonWait removes a waiter from the queue. If it was granted a connection in the
// meantime, the grant goes to the next waiter.
func (p *pool) abandonWait(peer *peerPool, w *waiter, reason error) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if peer.removeWaiter(w) {
		return reason
	}
	if err := <-w.result; err != nil {
		return err
	}
	peer.callEnded(w.long)
	p.grantWaiters(peer)
	return reason
}

// getOrCreatePeer returns the pool of a peer. The caller holds the mutex.
func (p *pool) getOrCreatePeer(key poolKey) (*peerPool, error) {
	if found, ok := p.peers[key]; ok {
		return found, nil
	}
	if len(p.peers) >= p.config.MaxPeers && !p.evictPeer() {
		return nil, errors.Wrap(lagoonbarrow.ErrShed, "peer: too many peers in use")
	}
	created := &peerPool{
		key: key,
	}
	p.peers[key] = created
	return created, nil
}

// evictPeer removes the least recently used peer without calls and reports whether
// there was one. The caller holds the mutex.
func (p *pool) evictPeer() bool {
	var oldest *peerPool
	for _, peer := range p.peers {
		if peer.active() {
			continue
		}
		if oldest == nil || peer.lastUse.Before(oldest.lastUse) {
			oldest = peer
		}
	}
	if oldest == nil {
		return false
	}
	p.removePeer(oldest)
	return true
}

// removePeer removes an inactive peer and closes its idle connections. The caller
// holds the mutex.
func (p *pool) removePeer(peer *peerPool) {
	for _, c := range peer.idle {
		c.close()
	}
	p.open -= len(peer.idle)
	peer.idle = nil
	delete(p.peers, peer.key)
}

// allows reports whether the peer's limits allow another call. The caller holds the
// mutex.
func (p *pool) allows(peer *peerPool, priority lagoonbarrow.Priority, long bool) bool {
	limit := p.config.ConnectionsPerPeer
	if long && peer.longInUse >= max(1, limit/longCallsDivisor) {
		return false
	}
	critical := priority.Importance() == lagoonbarrow.ImportanceCritical
	if !critical && limit > 1 {
		limit -= max(1, limit/criticalReserveDivisor)
	}
	return peer.inUse < limit
}

// enqueue adds a waiter. If the queue is full, the waiter with the lowest priority is
// displaced. ErrShed is returned if that priority is not below w's. The caller holds
// the mutex.
func (p *pool) enqueue(peer *peerPool, w *waiter) error {
	full := errors.Wrap(lagoonbarrow.ErrShed, "peer: too many calls wait for a connection")
	if len(peer.waiters) < waitersPerConnection*p.config.ConnectionsPerPeer {
		peer.waiters = append(peer.waiters, w)
		return nil
	}
	least := peer.waiters[0]
	for _, other := range peer.waiters {
		if other.priority <= least.priority {
			least = other
		}
	}
	if least.priority >= w.priority {
		return full
	}
	peer.removeWaiter(least)
	least.result <- full
	peer.waiters = append(peer.waiters, w)
	return nil
}

// failWaiters ends the wait of all calls to a peer that can't be reached. They can
// then be retried at another instance at once, without a failed dial for each of them.
func (p *pool) failWaiters(peer *peerPool, reason error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range peer.waiters {
		other.result <- reason
	}
	peer.waiters = nil
}

// grantWaiters lets waiters continue by priority while the limits allow it. The
// caller holds the mutex.
func (p *pool) grantWaiters(peer *peerPool) {
	for {
		var best *waiter
		for _, other := range peer.waiters {
			if !p.allows(peer, other.priority, other.long) {
				continue
			}
			if best == nil || other.priority > best.priority {
				best = other
			}
		}
		if best == nil {
			return
		}
		peer.removeWaiter(best)
		peer.callStarted(best.long)
		best.result <- nil
	}
}

// connect returns an idle connection that is still open, or opens a new one.
func (p *pool) connect(ctx context.Context, peer *peerPool) (*connection, error) {
	for {
		c := p.popIdle(peer)
		if c == nil {
			break
		}
		if socket.IsIdle(c.netConn) {
			return c, nil
		}
		p.config.Scope.Counter("stale-connections-closed").Inc(1)
		p.discard(c)
	}
	if err := p.reserveConnection(); err != nil {
		return nil, err
	}
	c, err := p.dialer.dial(ctx, peer.key.address, peer.key.instance, purposeCalls)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if err != nil {
		p.open--
		return nil, err
	}
	if p.closed {
		p.open--
		c.close()
		return nil, errClosed
	}
	p.inUse[c] = struct{}{}
	return c, nil
}

// popIdle returns the most recently used idle connection, or nil, and marks it as in
// use.
func (p *pool) popIdle(peer *peerPool) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(peer.idle) - 1
	if last < 0 {
		return nil
	}
	c := peer.idle[last]
	peer.idle = peer.idle[:last]
	p.inUse[c] = struct{}{}
	return c
}

// discard closes a connection that popIdle returned.
func (p *pool) discard(c *connection) {
	c.close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.inUse, c)
	p.open--
}

// reserveConnection counts a connection that is about to be opened. At the limit, the
// new connection replaces the one that has been idle the longest. If none is idle,
// reserveConnection returns ErrShed.
func (p *pool) reserveConnection() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.open < p.config.MaxConnections {
		p.open++
		return nil
	}
	var oldest *peerPool
	for _, peer := range p.peers {
		if len(peer.idle) == 0 {
			continue
		}
		if oldest == nil || peer.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = peer
		}
	}
	if oldest == nil {
		return errors.Wrap(lagoonbarrow.ErrShed, "peer: too many connections")
	}
	oldest.idle[0].close()
	oldest.idle = oldest.idle[1:]
	return nil
}

// release returns the connection to the pool, or closes it if it can't be reused.
func (l *lease) release(reusable bool) {
	p := l.pool
	c := l.connection
	if c != nil && reusable {
		c.releaseBuffers()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l.peer.callEnded(l.long)
	l.peer.lastUse = time.Now()
	if c != nil {
		delete(p.inUse, c)
	}
	switch {
	case c == nil:
	case reusable && !c.closeAfterUse && !p.closed:
		c.idleSince = l.peer.lastUse
		l.peer.idle = append(l.peer.idle, c)
	default:
		c.close()
		p.open--
	}
	p.grantWaiters(l.peer)
}

// callStarted counts a call in flight.
func (p *peerPool) callStarted(long bool) {
	p.inUse++
	if long {
		p.longInUse++
	}
}

// callEnded reverts callStarted.
func (p *peerPool) callEnded(long bool) {
	p.inUse--
	if long {
		p.longInUse--
	}
}

// active reports whether calls to the peer are in flight or waiting.
func (p *peerPool) active() bool {
	return p.inUse > 0 || len(p.waiters) > 0
}

// removeWaiter removes a waiter from the queue and reports whether it was there.
func (p *peerPool) removeWaiter(w *waiter) bool {
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// addresses returns the addresses of the peers with open connections.
func (p *pool) addresses() []lagoonbarrow.Address {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var all []lagoonbarrow.Address
	for key, peer := range p.peers {
		if peer.inUse > 0 || len(peer.idle) > 0 {
			all = append(all, key.address)
		}
	}
	return all
}

// usage returns the number of peers, connections, calls and waiters.
func (p *pool) usage() Usage {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	usage := Usage{
		Peers:       len(p.peers),
		Connections: p.open,
	}
	for _, peer := range p.peers {
		usage.InUse += peer.inUse
		usage.Waiting += len(peer.waiters)
	}
	return usage
}

// sweep closes idle connections that are too old, were closed by the peer or have
// unexpected bytes such as going-away. It removes peers that are no longer used.
func (p *pool) sweep(now time.Time) {
	p.mutex.Lock()
	keys := make([]poolKey, 0, len(p.peers))
	for key := range p.peers {
		keys = append(keys, key)
	}
	p.mutex.Unlock()
	for _, key := range keys {
		p.sweepPeer(key, now)
	}
}

// sweepPeer sweeps one peer. The mutex is held for one peer at a time, so calls wait
// for only a few system calls.
func (p *pool) sweepPeer(key poolKey, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer, ok := p.peers[key]
	if !ok {
		return
	}
	kept := peer.idle[:0]
	for _, c := range peer.idle {
		if now.Sub(c.idleSince) < p.config.IdleTimeout && socket.IsIdle(c.netConn) {
			kept = append(kept, c)
			continue
		}
		c.close()
		p.open--
	}
	clear(peer.idle[len(kept):])
	peer.idle = kept
	if len(kept) == 0 && !peer.active() {
		delete(p.peers, key)
	}
}

// disconnect closes all connections to an instance and fails the waiting calls.
func (p *pool) disconnect(id lagoonbarrow.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.inUse {
		if c.peer == id {
			c.close()
		}
	}
	for key, peer := range p.peers {
		if key.instance != id {
			continue
		}
		for _, c := range peer.idle {
			c.close()
		}
		p.open -= len(peer.idle)
		peer.idle = nil
		for _, other := range peer.waiters {
			other.result <- errDisconnected
		}
		peer.waiters = nil
	}
}

// close closes all connections, fails the waiting calls and refuses further ones.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, peer := range p.peers {
		for _, c := range peer.idle {
			c.close()
		}
		p.open -= len(peer.idle)
		peer.idle = nil
		for _, w := range peer.waiters {
			w.result <- errClosed
		}
		peer.waiters = nil
	}
	for c := range p.inUse {
		c.close()
	}
}
