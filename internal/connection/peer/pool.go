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
	// longShare is the part of a peer's connections that long calls may use: a
	// quarter (design 3.4).
	longShare = 4
	// reserveShare is the part that is kept for critical calls: a tenth, as in
	// admission (design 3.2).
	reserveShare = 10
	// waitersPerConnection bounds the calls that wait for a connection, like the
	// queues of admission (design 3.3).
	waitersPerConnection = 4
)

// errClosed: the client was closed.
var errClosed = errors.Wrap(lagoonbarrow.ErrStopping, "peer: client is closed")

// errDisconnected: Disconnect was called for the peer.
var errDisconnected = errors.Wrap(lagoonbarrow.ErrNoInstance, "peer: instance was disconnected")

// poolKey names a peer. A new instance at an old address is another peer.
type poolKey struct {
	address  lagoonbarrow.Address
	instance lagoonbarrow.InstanceID
}

// waiter is a call that waits for a connection.
type waiter struct {
	priority lagoonbarrow.Priority
	long     bool
	// granted receives nil when the call may take a connection, or the reason why
	// it was displaced.
	granted chan error
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
	// busy holds the connections in use, so that close can cut them.
	busy map[*connection]struct{}
}

func newPool(config *ClientConfig, dialer *dialer) *pool {
	return &pool{
		config: config,
		dialer: dialer,
		peers:  map[poolKey]*peerPool{},
		busy:   map[*connection]struct{}{},
	}
}

// lease is the right to use one connection.
type lease struct {
	pool       *pool
	peer       *peerPool
	long       bool
	connection *connection
}

// acquire waits for a connection to the peer. Calls wait in the order of their
// priority. All errors mean that nothing was sent.
func (p *pool) acquire(ctx context.Context, key poolKey, priority lagoonbarrow.Priority, long bool) (*lease, error) {
	peer, err := p.slot(ctx, key, priority, long)
	if err != nil {
		return nil, err
	}
	held := &lease{
		pool: p,
		peer: peer,
		long: long,
	}
	c, err := p.connect(ctx, peer)
	// A timeout may be that of this call alone.
	var unreachable *unreachableError
	if errors.As(err, &unreachable) && !unreachable.timeout() {
		p.refuseWaiters(peer, err)
	}
	if err != nil {
		held.release(false)
		return nil, err
	}
	held.connection = c
	return held, nil
}

// slot waits until the peer's limits allow another call.
func (p *pool) slot(ctx context.Context, key poolKey, priority lagoonbarrow.Priority, long bool) (*peerPool, error) {
	p.mutex.Lock()
	if p.closed {
		p.mutex.Unlock()
		return nil, errClosed
	}
	peer, err := p.peer(key)
	if err != nil {
		p.mutex.Unlock()
		return nil, err
	}
	peer.lastUse = time.Now()
	if p.allows(peer, priority, long) {
		peer.take(long)
		p.mutex.Unlock()
		return peer, nil
	}
	self := &waiter{
		priority: priority,
		long:     long,
		granted:  make(chan error, 1),
	}
	err = p.enqueue(peer, self)
	p.mutex.Unlock()
	if err != nil {
		return nil, err
	}
	select {
	case err := <-self.granted:
		return peer, err
	case <-ctx.Done():
	}
	return nil, p.abandon(peer, self, ctx.Err())
}

// abandon takes a waiter out of the queue. A grant that crossed is passed on.
func (p *pool) abandon(peer *peerPool, self *waiter, reason error) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if peer.remove(self) {
		return reason
	}
	if err := <-self.granted; err != nil {
		return err
	}
	peer.give(self.long)
	p.grant(peer)
	return reason
}

// peer returns the peer's pool. The caller holds the mutex.
func (p *pool) peer(key poolKey) (*peerPool, error) {
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

// evictPeer forgets the peer that was unused for longest. The caller holds the
// mutex.
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
	p.forget(oldest)
	return true
}

// forget closes the idle connections of an inactive peer. The caller holds the
// mutex.
func (p *pool) forget(peer *peerPool) {
	for _, c := range peer.idle {
		c.close()
	}
	p.open -= len(peer.idle)
	peer.idle = nil
	delete(p.peers, peer.key)
}

// allows reports whether the peer's limits allow another call.
func (p *pool) allows(peer *peerPool, priority lagoonbarrow.Priority, long bool) bool {
	limit := p.config.ConnectionsPerPeer
	if long && peer.longInUse >= max(1, limit/longShare) {
		return false
	}
	critical := priority.Importance() == lagoonbarrow.ImportanceCritical
	if !critical && limit > 1 {
		limit -= max(1, limit/reserveShare)
	}
	return peer.inUse < limit
}

// enqueue adds a waiter. A full queue displaces its least important waiter.
// The caller holds the mutex.
func (p *pool) enqueue(peer *peerPool, self *waiter) error {
	full := errors.Wrap(lagoonbarrow.ErrShed, "peer: too many calls wait for a connection")
	if len(peer.waiters) < waitersPerConnection*p.config.ConnectionsPerPeer {
		peer.waiters = append(peer.waiters, self)
		return nil
	}
	least := peer.waiters[0]
	for _, other := range peer.waiters {
		if other.priority <= least.priority {
			least = other
		}
	}
	if least.priority >= self.priority {
		return full
	}
	peer.remove(least)
	least.granted <- full
	peer.waiters = append(peer.waiters, self)
	return nil
}

// refuseWaiters ends the wait of all calls to a peer that can't be reached, so that
// they are retried elsewhere at once and not after a failed dial each.
func (p *pool) refuseWaiters(peer *peerPool, reason error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, other := range peer.waiters {
		other.granted <- reason
	}
	peer.waiters = nil
}

// grant lets waiters continue while the limits allow, most important first.
// The caller holds the mutex.
func (p *pool) grant(peer *peerPool) {
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
		peer.remove(best)
		peer.take(best.long)
		best.granted <- nil
	}
}

// connect returns an idle connection that is still open, or a new one.
func (p *pool) connect(ctx context.Context, peer *peerPool) (*connection, error) {
	for {
		c := p.pop(peer)
		if c == nil {
			break
		}
		if socket.Quiet(c.raw) {
			return c, nil
		}
		p.config.Scope.Counter("stale-connections-closed").Inc(1)
		p.drop(c)
	}
	if err := p.makeRoom(); err != nil {
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
	p.busy[c] = struct{}{}
	return c, nil
}

// pop takes the idle connection that was used last.
func (p *pool) pop(peer *peerPool) *connection {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	last := len(peer.idle) - 1
	if last < 0 {
		return nil
	}
	c := peer.idle[last]
	peer.idle = peer.idle[:last]
	p.busy[c] = struct{}{}
	return c
}

// drop closes a connection that was popped.
func (p *pool) drop(c *connection) {
	c.close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.busy, c)
	p.open--
}

// makeRoom counts a new connection, closing another peer's idle one at the limit.
func (p *pool) makeRoom() error {
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

// release gives the connection back, or closes it if it can't be used again.
func (l *lease) release(reusable bool) {
	p := l.pool
	c := l.connection
	if c != nil && reusable {
		c.release()
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l.peer.give(l.long)
	l.peer.lastUse = time.Now()
	if c != nil {
		delete(p.busy, c)
	}
	switch {
	case c == nil:
	case reusable && !c.leaving && !p.closed:
		c.idleSince = l.peer.lastUse
		l.peer.idle = append(l.peer.idle, c)
	default:
		c.close()
		p.open--
	}
	p.grant(l.peer)
}

// take counts a call in flight.
func (p *peerPool) take(long bool) {
	p.inUse++
	if long {
		p.longInUse++
	}
}

// give counts a call that ended.
func (p *peerPool) give(long bool) {
	p.inUse--
	if long {
		p.longInUse--
	}
}

// active reports whether calls use the peer or wait for it.
func (p *peerPool) active() bool {
	return p.inUse > 0 || len(p.waiters) > 0
}

// remove takes a waiter out of the queue and reports whether it was there.
func (p *peerPool) remove(self *waiter) bool {
	for i, other := range p.waiters {
		if other == self {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return true
		}
	}
	return false
}

// addresses returns the peers with open connections.
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

// usage counts what the pool holds.
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

// sweep closes idle connections that are old or that the peer wants closed, and
// forgets peers without any.
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

// sweepPeer holds the mutex for one peer's connections only, so that calls wait
// for few system calls.
func (p *pool) sweepPeer(key poolKey, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer, known := p.peers[key]
	if !known {
		return
	}
	kept := peer.idle[:0]
	for _, c := range peer.idle {
		if now.Sub(c.idleSince) < p.config.IdleTimeout && socket.Quiet(c.raw) {
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

// disconnect closes all connections to an instance and ends the wait for them.
func (p *pool) disconnect(id lagoonbarrow.InstanceID) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for c := range p.busy {
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
			other.granted <- errDisconnected
		}
		peer.waiters = nil
	}
}

// close closes all connections and refuses further calls.
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
			w.granted <- errClosed
		}
		peer.waiters = nil
	}
	for c := range p.busy {
		c.close()
	}
}
