package peer

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer/socket"
	"lagoonbarrow/pkg/event"
)

// unreachableError is returned when no TCP connection could be opened.
type unreachableError struct {
	cause error
}

// Error returns the cause.
func (e *unreachableError) Error() string {
	return "peer: dial: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error {
	return e.cause
}

// timeout reports whether a timeout or deadline is the cause.
func (e *unreachableError) timeout() bool {
	var netErr net.Error
	return errors.As(e.cause, &netErr) && netErr.Timeout()
}

// dialer opens authenticated connections.
type dialer struct {
	config   *ClientConfig
	counters map[purpose]*byteCounters
	events   *rateLimitedRecorder
}

func newDialer(config *ClientConfig) *dialer {
	return &dialer{
		config: config,
		events: newRateLimitedRecorder(config.Recorder, config.Scope),
		counters: map[purpose]*byteCounters{
			purposeCalls:   newByteCounters(config.Scope, purposeCalls),
			purposeControl: newByteCounters(config.Scope, purposeControl),
		},
	}
}

// dial opens a connection and runs the handshake. If wantInstance is set and another
// instance answers, it returns ErrNoInstance. Addresses are reused, and a call must
// not reach a node of another service.
func (d *dialer) dial(ctx context.Context, to lagoonbarrow.Address, wantInstance lagoonbarrow.InstanceID, use purpose) (*connection, error) {
	netDialer := net.Dialer{
		Timeout:         d.config.DialTimeout,
		KeepAliveConfig: keepAlive,
	}
	netConn, err := netDialer.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, &unreachableError{
			cause: err,
		}
	}
	if d.config.UnacknowledgedTimeout > 0 {
		if err := socket.LimitUnacknowledged(netConn, d.config.UnacknowledgedTimeout); err != nil {
			_ = netConn.Close()
			return nil, &unreachableError{
				cause: err,
			}
		}
	}
	c := newConnection(netConn, d.config.FrameBytes)
	if err := d.handshake(ctx, c, wantInstance, use); err != nil {
		c.close()
		return nil, err
	}
	d.config.Scope.Counter(string(use) + "-connections-opened").Inc(1)
	return c, nil
}

// handshake runs the client's side of the handshake and checks the instance.
func (d *dialer) handshake(ctx context.Context, c *connection, wantInstance lagoonbarrow.InstanceID, use purpose) error {
	c.counting.setCounters(d.counters[use])
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	_ = c.netConn.SetDeadline(time.Now().Add(d.config.HandshakeTimeout))
	self := identity{
		instance: d.config.Self,
		address:  d.config.Advertise,
		key:      d.config.PeerKey,
	}
	err := c.clientHandshake(self, use)
	if errors.Is(err, lagoonbarrow.ErrProtocolVersion) || errors.Is(err, lagoonbarrow.ErrUnauthenticated) {
		d.events.record(event.PeerRefused, c, err)
	}
	if err != nil {
		return err
	}
	if wantInstance != "" && c.peer != wantInstance {
		return errors.Wrapf(lagoonbarrow.ErrNoInstance, "peer: %s answers instead of %s", c.peer, wantInstance)
	}
	_ = c.netConn.SetDeadline(time.Time{})
	return nil
}
