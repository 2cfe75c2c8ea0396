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

// unreachableError: no TCP connection could be opened.
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

func (e *unreachableError) timeout() bool {
	var failed net.Error
	return errors.As(e.cause, &failed) && failed.Timeout()
}

// dialer opens authenticated connections.
type dialer struct {
	config   *ClientConfig
	counters map[purpose]*byteCounters
	events   *limitedRecorder
}

func newDialer(config *ClientConfig) *dialer {
	return &dialer{
		config: config,
		events: newLimitedRecorder(config.Recorder, config.Scope),
		counters: map[purpose]*byteCounters{
			purposeCalls:   newByteCounters(config.Scope, purposeCalls),
			purposeControl: newByteCounters(config.Scope, purposeControl),
		},
	}
}

// dial opens a connection and makes the handshake. A wanted instance that does
// not answer at the address gives ErrNoInstance: addresses are reused, and a call
// must not reach a node of another service.
func (d *dialer) dial(ctx context.Context, to lagoonbarrow.Address, want lagoonbarrow.InstanceID, use purpose) (*connection, error) {
	network := net.Dialer{
		Timeout:         d.config.DialTimeout,
		KeepAliveConfig: keepAlive,
	}
	raw, err := network.DialContext(ctx, "tcp", string(to))
	if err != nil {
		return nil, &unreachableError{
			cause: err,
		}
	}
	if d.config.UnacknowledgedTimeout > 0 {
		if err := socket.LimitUnacknowledged(raw, d.config.UnacknowledgedTimeout); err != nil {
			_ = raw.Close()
			return nil, &unreachableError{
				cause: err,
			}
		}
	}
	c := newConnection(raw, d.config.FrameBytes)
	if err := d.greet(ctx, c, want, use); err != nil {
		c.close()
		return nil, err
	}
	d.config.Scope.Counter(string(use) + "-connections-opened").Inc(1)
	return c, nil
}

func (d *dialer) greet(ctx context.Context, c *connection, want lagoonbarrow.InstanceID, use purpose) error {
	c.stream.countTo(d.counters[use])
	stop := context.AfterFunc(ctx, c.close)
	defer stop()
	_ = c.raw.SetDeadline(time.Now().Add(d.config.HandshakeTimeout))
	self := identity{
		instance: d.config.Self,
		address:  d.config.Advertise,
		key:      d.config.PeerKey,
	}
	err := c.greet(self, use)
	if errors.Is(err, lagoonbarrow.ErrVersion) || errors.Is(err, lagoonbarrow.ErrUnauthenticated) {
		d.events.record(event.PeerRefused, c, err)
	}
	if err != nil {
		return err
	}
	if want != "" && c.peer != want {
		return errors.Wrapf(lagoonbarrow.ErrNoInstance, "peer: %s answers instead of %s", c.peer, want)
	}
	_ = c.raw.SetDeadline(time.Time{})
	return nil
}
