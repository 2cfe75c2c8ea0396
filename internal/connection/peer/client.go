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
	// broadcastWorkers send the messages of broadcasts. Eight keep a peer that
	// doesn't answer from holding up the others.
	broadcastWorkers = 8
	// broadcastQueue holds one broadcast to every node of the planned size.
	broadcastQueue = 8192
	// maxSends bounds the control messages in flight.
	maxSends = 256
)

// Client calls other nodes. It implements lagoonbarrow.Transport.
type Client struct {
	config     ClientConfig
	pool       *pool
	control    *control
	broadcasts pond.Pool
	// sends holds a token for each control message in flight.
	sends     chan struct{}
	messageID atomic.Uint64
	lost      tally.Counter
	stop      chan struct{}
	stopped   sync.WaitGroup
	closeOnce sync.Once
}

var _ lagoonbarrow.Transport = (*Client)(nil)

// NewClient returns a client. It returns ErrInvalid for an incomplete config.
// Close must be called to release its connections.
func NewClient(config ClientConfig) (*Client, error) {
	if err := config.complete(); err != nil {
		return nil, err
	}
	c := &Client{
		config:     config,
		broadcasts: pond.NewPool(broadcastWorkers, pond.WithQueueSize(broadcastQueue), pond.WithNonBlocking(true)),
		sends:      make(chan struct{}, maxSends),
		stop:       make(chan struct{}),
		lost:       config.Scope.Counter("answers-lost"),
	}
	connector := newDialer(&c.config)
	c.pool = newPool(&c.config, connector)
	c.control = newControl(&c.config, connector)
	c.stopped.Add(1)
	go c.sweep()
	return c, nil
}

// Call sends a call and waits for the whole answer. The package comment says when
// it returns ErrNotSent and ErrAnswerLost. Three causes of ErrNotSent say
// nothing about the peer: ErrShed when too many calls wait in this node, ErrTooLarge,
// and the error of ctx. Cancelling ctx closes the connection at once, which cancels
// the call at the callee. When ctx has no deadline, the call's remaining time bounds
// the call.
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
	held, err := c.pool.acquire(ctx, key, call.Priority, call.Long)
	if err != nil {
		return nil, notSent(ctx, err)
	}
	answer, err := held.connection.call(ctx, call, c.config.MaxBodyBytes)
	c.observe(ctx, held.connection, err)
	held.release(err == nil)
	if errors.Is(err, lagoonbarrow.ErrAnswerLost) {
		c.lost.Inc(1)
	}
	return answer, err
}

// Disconnect cuts off all calls to an instance, with ErrAnswerLost or ErrNotSent. It
// is for instances that are considered dead: a lost availability zone does not close
// connections, and calls to it would hold their caller's slot until their deadline.
func (c *Client) Disconnect(id lagoonbarrow.InstanceID) {
	c.pool.disconnect(id)
}

// Usage is what a client holds at one moment.
type Usage struct {
	// Peers have open connections for calls.
	Peers int
	// Connections for calls, idle and in use.
	Connections int
	// InUse are connections with a call in flight or being opened.
	InUse int
	// Waiting calls have no connection yet.
	Waiting int
	// IdleControl are kept connections for control messages.
	IdleControl int
}

// Usage returns what the client holds.
func (c *Client) Usage() Usage {
	usage := c.pool.usage()
	usage.IdleControl = c.control.idleCount()
	return usage
}

// report updates the gauges.
func (c *Client) report() {
	usage := c.Usage()
	c.config.Scope.Gauge("call-connections").Update(float64(usage.Connections))
	c.config.Scope.Gauge("call-connections-in-use").Update(float64(usage.InUse))
	c.config.Scope.Gauge("calls-waiting").Update(float64(usage.Waiting))
}

// observe records damaged and unexpected frames.
func (c *Client) observe(ctx context.Context, used *connection, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	if errors.Is(err, lagoonbarrow.ErrFrame) || errors.Is(err, lagoonbarrow.ErrTooLarge) {
		c.pool.dialer.events.record(event.PeerConnectionClosed, used, err)
	}
}

// Send sends a control message and returns the reply. It never waits for calls.
// Its errors are those of Call; an error of the peer's handler is returned as text.
func (c *Client) Send(ctx context.Context, to lagoonbarrow.Address, sent lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	none := lagoonbarrow.Message{}
	if len(sent.Body) > c.config.MaxBodyBytes {
		return none, notSent(ctx, errors.Wrap(lagoonbarrow.ErrTooLarge, "peer: message body"))
	}
	select {
	case c.sends <- struct{}{}:
		defer func() { <-c.sends }()
	default:
		return none, notSent(ctx, errors.Wrap(lagoonbarrow.ErrShed, "peer: too many control messages"))
	}
	if _, has := ctx.Deadline(); !has {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.config.SendTimeout)
		defer cancel()
	}
	used, err := c.control.acquire(ctx, to)
	if err != nil {
		return none, notSent(ctx, err)
	}
	id := strconv.FormatUint(c.messageID.Add(1), 36)
	back, err := used.message(ctx, id, sent, c.config.MaxBodyBytes)
	c.observe(ctx, used, err)
	c.control.release(to, used, err == nil)
	if err != nil {
		return none, err
	}
	if back.Error != "" {
		return none, errors.Errorf("peer: message %s: %s", sent.Kind, back.Error)
	}
	result := lagoonbarrow.Message{
		Kind: back.Kind,
		Body: back.Body,
	}
	return result, nil
}

// Broadcast sends a control message to all peers that this node or that are
// connected to this node, without waiting for replies. It outlives ctx.
func (c *Client) Broadcast(ctx context.Context, sent lagoonbarrow.Message) {
	ctx = context.WithoutCancel(ctx)
	for _, address := range c.connected() {
		_ = c.broadcasts.Go(func() {
			if _, err := c.Send(ctx, address, sent); err != nil {
				c.config.Scope.Counter("broadcasts-failed").Inc(1)
			}
		})
	}
}

// connected returns the addresses of the connected peers, each once.
func (c *Client) connected() []lagoonbarrow.Address {
	all := append(c.pool.addresses(), c.control.addresses()...)
	if c.config.Inbound != nil {
		all = append(all, c.config.Inbound()...)
	}
	seen := map[lagoonbarrow.Address]bool{
		c.config.Advertise: true,
	}
	var once []lagoonbarrow.Address
	for _, address := range all {
		if seen[address] {
			continue
		}
		seen[address] = true
		once = append(once, address)
	}
	return once
}

// sweep looks after idle connections until the client is closed.
func (c *Client) sweep() {
	defer c.stopped.Done()
	ticker := time.NewTicker(c.config.SweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return
		case now := <-ticker.C:
			c.pool.sweep(now)
			c.control.sweep(now)
			c.report()
		}
	}
}

// Close closes all connections. Calls in flight are cut off.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		close(c.stop)
		c.stopped.Wait()
		c.pool.close()
		c.control.close()
		c.broadcasts.StopAndWait()
	})
}
