package peer

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// broadcastWorkers is the number of goroutines that send broadcasts. With eight, a
	// peer that doesn't answer does not delay the messages to the others.
	broadcastWorkers = 8
	// broadcastQueue has room for one broadcast to all nodes of the planned cluster size.
	broadcastQueue = 8192
	// maxSends bounds the control messages in flight.
	maxSends = 256
)

// Client calls other nodes. It implements lagoonbarrow.Transport.
type Client struct {
	config     ClientConfig
	pool       *pool
	control    *controlPool
	broadcasts pond.Pool
	// sendSlots holds an entry for each control message in flight.
	sendSlots   chan struct{}
	messageID   atomic.Uint64
	answersLost tally.Counter
	stopSweep   chan struct{}
	sweeper     sync.WaitGroup
	closeOnce   sync.Once
}

var _ lagoonbarrow.Transport = (*Client)(nil)

// NewClient returns a client. It returns ErrInvalid for an incomplete config.
// Close must be called to release its connections.
func NewClient(config ClientConfig) (*Client, error) {
	if err := config.setDefaults(); err != nil {
		return nil, err
	}
	c := &Client{
		config:      config,
		broadcasts:  pond.NewPool(broadcastWorkers, pond.WithQueueSize(broadcastQueue), pond.WithNonBlocking(true)),
		sendSlots:   make(chan struct{}, maxSends),
		stopSweep:   make(chan struct{}),
		answersLost: config.Scope.Counter("answers-lost"),
	}
	dialer := newDialer(&c.config)
	c.pool = newPool(&c.config, dialer)
	c.control = newControlPool(&c.config, dialer)
	c.sweeper.Add(1)
	go c.sweep()
	return c, nil
}

// Call sends a call and waits for the whole answer. The package comment describes
// when it returns ErrNotSent and ErrAnswerLost. Three causes of ErrNotSent do not
// indicate a problem of the peer: ErrTooLarge, the error of ctx, and ErrShed, which
// means that this node reached its limit of peers, of connections or of waiting calls.
// Cancelling ctx closes the connection at once, which cancels the call at the callee.
// The call's remaining time bounds the call in addition to the deadline of ctx.
func (c *Client) Call(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if len(call.Body) > c.config.MaxBodyBytes {
		return nil, notSent(ctx, errors.Wrap(lagoonbarrow.ErrTooLarge, "peer: call body"))
	}
	timeout := call.Remaining
	if timeout <= 0 {
		timeout = c.config.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	key := poolKey{
		address:  to.Peer,
		instance: to.ID,
	}
	leased, err := c.pool.acquire(ctx, key, call.Priority, call.Long)
	if err != nil {
		return nil, notSent(ctx, err)
	}
	answer, err := leased.connection.call(ctx, call, c.config.MaxBodyBytes, c.config.Memory)
	c.recordFrameError(ctx, leased.connection, err)
	leased.release(err == nil)
	if errors.Is(err, lagoonbarrow.ErrAnswerLost) {
		c.answersLost.Inc(1)
	}
	return answer, err
}

// Disconnect ends all calls to an instance with ErrAnswerLost or ErrNotSent. It is for
// instances that are considered dead. The loss of an availability zone does not close
// connections, and calls to it would occupy their caller's slot until their deadline.
func (c *Client) Disconnect(id lagoonbarrow.InstanceID) {
	c.pool.disconnect(id)
}

// Usage is the number of peers, connections and calls of a client at one moment.
type Usage struct {
	// Peers is the number of peers with connections for calls.
	Peers int
	// Connections is the number of connections for calls, idle and in use.
	Connections int
	// InUse is the number of connections that carry a call or are being opened for one.
	InUse int
	// Waiting is the number of calls that wait for a connection.
	Waiting int
	// IdleControl is the number of idle connections for control messages.
	IdleControl int
}

// Usage returns the client's current usage.
func (c *Client) Usage() Usage {
	usage := c.pool.usage()
	usage.IdleControl = c.control.idleCount()
	return usage
}

// updateGauges updates the metrics of the current usage.
func (c *Client) updateGauges() {
	usage := c.Usage()
	c.config.Scope.Gauge("call-connections").Update(float64(usage.Connections))
	c.config.Scope.Gauge("call-connections-in-use").Update(float64(usage.InUse))
	c.config.Scope.Gauge("calls-waiting").Update(float64(usage.Waiting))
}

// recordFrameError records an event if a damaged, oversized or unexpected frame
// ended the exchange.
func (c *Client) recordFrameError(ctx context.Context, conn *connection, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, lagoonbarrow.ErrInvalidFrame) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		c.pool.dialer.events.record(event.PeerConnectionClosed, conn, err)
	}
}

// Send sends a control message and returns the reply. It never waits for calls. It
// returns the same errors as Call. An error of the peer's handler is returned as an
// error with the same text.
func (c *Client) Send(ctx context.Context, to lagoonbarrow.Address, sent lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	empty := lagoonbarrow.Message{}
	if len(sent.Body) > c.config.MaxBodyBytes {
		return empty, notSent(ctx, errors.Wrap(lagoonbarrow.ErrTooLarge, "peer: message body"))
	}
	select {
	case c.sendSlots <- struct{}{}:
		defer func() { <-c.sendSlots }()
	default:
		return empty, notSent(ctx, errors.Wrap(lagoonbarrow.ErrShed, "peer: too many control messages"))
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.SendTimeout)
		defer cancel()
	}
	conn, err := c.control.acquire(ctx, to)
	if err != nil {
		return empty, notSent(ctx, err)
	}
	id := strconv.FormatUint(c.messageID.Add(1), 36)
	response, err := conn.message(ctx, id, sent, c.config.MaxBodyBytes)
	c.recordFrameError(ctx, conn, err)
	c.control.release(to, conn, err == nil)
	if err != nil {
		return empty, err
	}
	if response.Error != "" {
		return empty, errors.Errorf("peer: message %s: %s", sent.Kind, response.Error)
	}
	result := lagoonbarrow.Message{
		Kind: response.Kind,
		Body: response.Body,
	}
	return result, nil
}

// Broadcast sends a control message to all peers that are connected to this node in
// either direction, without waiting for replies. It continues after ctx ends.
func (c *Client) Broadcast(ctx context.Context, sent lagoonbarrow.Message) {
	ctx = context.WithoutCancel(ctx)
	for _, address := range c.connectedPeers() {
		_ = c.broadcasts.Go(func() {
			if _, err := c.Send(ctx, address, sent); err != nil {
				c.config.Scope.Counter("broadcasts-failed").Inc(1)
			}
		})
	}
}

// connectedPeers returns the addresses of the connected peers without duplicates.
func (c *Client) connectedPeers() []lagoonbarrow.Address {
	all := append(c.pool.addresses(), c.control.addresses()...)
	if c.config.Inbound != nil {
		all = append(all, c.config.Inbound()...)
	}
	seen := map[lagoonbarrow.Address]bool{
		c.config.Advertise: true,
	}
	var unique []lagoonbarrow.Address
	for _, address := range all {
		if seen[address] {
			continue
		}
		seen[address] = true
		unique = append(unique, address)
	}
	return unique
}

// sweep regularly closes idle connections and updates the gauges until the client is
// closed.
func (c *Client) sweep() {
	defer c.sweeper.Done()
	ticker := time.NewTicker(c.config.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stopSweep:
			return
		case now := <-ticker.C:
			c.pool.sweep(now)
			c.control.sweep(now)
			c.updateGauges()
		}
	}
}

// Close closes all connections, which ends the calls in flight.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		close(c.stopSweep)
		c.sweeper.Wait()
		c.pool.close()
		c.control.close()
		c.broadcasts.StopAndWait()
	})
}
