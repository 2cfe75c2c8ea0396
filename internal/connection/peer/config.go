package peer

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Defaults of ServerConfig and ClientConfig.
const (
	// defaultMaxBodyBytes is the limit of a call's or answer's body (design 3.5).
	defaultMaxBodyBytes = 4 << 20
	// defaultMaxBufferedBytes holds 16 bodies of the largest size.
	defaultMaxBufferedBytes      = 64 << 20
	defaultMaxConnections        = 4096
	defaultMaxControlConnections = 1024
	defaultMaxHandshakes         = 256
	defaultMaxPeers              = 1024
	// defaultConnectionsPerPeer lets calls wait in the callee's admission rather
	// than here: the largest backend servers have 200 slots (design 1.1), and at
	// least four callers share them.
	defaultConnectionsPerPeer = 128
	// defaultIdleControlConnections keeps control connections in small clusters,
	// where the same peer is probed again soon.
	defaultIdleControlConnections = 32
	defaultHandshakeTimeout       = time.Second
	defaultDialTimeout            = time.Second
	defaultTransferTimeout        = 5 * time.Second
	defaultDrainTimeout           = 3 * time.Second
	defaultIdleTimeout            = 30 * time.Second
	defaultControlIdleTimeout     = 5 * time.Second
	// defaultSweepInterval bounds how long a stopping peer waits for this client to
	// close idle connections. A sweep takes about 1.4 us per connection.
	defaultSweepInterval = 500 * time.Millisecond
	defaultCallTimeout   = 30 * time.Second
	defaultSendTimeout   = 2 * time.Second
)

// ServerConfig configures a Server. Zero limits and times take the defaults.
type ServerConfig struct {
	// Address to listen on; port 0 lets the system choose.
	Address lagoonbarrow.Address
	// PeerKey is the key that all nodes share.
	PeerKey  []byte
	Self     lagoonbarrow.InstanceID
	Calls    lagoonbarrow.CallHandler
	Messages map[string]lagoonbarrow.MessageHandler
	// MaxConnections bounds the connections for calls; 4,096 by default.
	MaxConnections int
	// MaxControlConnections bounds the connections for control messages;
	// 1,024 by default.
	MaxControlConnections int
	// MaxHandshakes bounds the connections not yet authenticated; 256 by default.
	MaxHandshakes int
	// FrameBytes bounds a frame's body; 256 KiB by default, 8 KiB at least.
	FrameBytes int
	// MaxBodyBytes bounds a call's body; 4 MiB by default.
	MaxBodyBytes int
	// MaxBufferedBytes bounds the bodies of the calls being received and the
	// answers being sent; 64 MiB by default. A call that would exceed it is
	// refused, so that slow readers can't fill the memory.
	MaxBufferedBytes int64
	// HandshakeTimeout bounds the handshake; 1 s by default.
	HandshakeTimeout time.Duration
	// TransferTimeout bounds receiving one call, from its first byte, and
	// sending one answer; 5 s by default.
	TransferTimeout time.Duration
	// DrainTimeout bounds how long Stop waits for peers to close idle
	// connections; 3 s by default.
	DrainTimeout time.Duration
	Recorder     lagoonbarrow.Recorder
	Scope        tally.Scope
}

// ClientConfig configures a Client. Zero limits and times take the defaults.
type ClientConfig struct {
	// PeerKey is the key that all nodes share.
	PeerKey []byte
	Self    lagoonbarrow.InstanceID
	// Advertise is this node's own peer address. It lets the peers that this
	// client calls include this node in their broadcasts.
	Advertise lagoonbarrow.Address
	// Inbound returns the advertised addresses of the peers connected to this
	// node's server, which Broadcast includes; usually Server.Connected.
	Inbound func() []lagoonbarrow.Address
	// MaxPeers bounds the peers with open connections for calls; 1,024 by default.
	MaxPeers int
	// MaxConnections bounds all connections for calls; 4,096 by default.
	MaxConnections int
	// ConnectionsPerPeer bounds the connections for calls to one peer; 128 by
	// default. Long calls use at most a quarter, and a tenth is kept for critical
	// calls.
	ConnectionsPerPeer int
	// IdleControlConnections bounds the kept idle control connections; 32 by
	// default. A negative value makes every control connection short-lived.
	IdleControlConnections int
	// FrameBytes bounds a frame's body; 256 KiB by default, 8 KiB at least.
	FrameBytes int
	// MaxBodyBytes bounds the body of a call and of an answer; 4 MiB by default.
	MaxBodyBytes int
	// DialTimeout bounds opening a TCP connection; 1 s by default.
	DialTimeout time.Duration
	// UnacknowledgedTimeout closes connections whose bytes the peer's host doesn't
	// acknowledge for so long; the system's own limit by default.
	UnacknowledgedTimeout time.Duration
	// HandshakeTimeout bounds the handshake; 1 s by default.
	HandshakeTimeout time.Duration
	// CallTimeout bounds a call without a deadline in its context or a remaining
	// time; 30 s by default.
	CallTimeout time.Duration
	// SendTimeout bounds a control message whose context has no deadline; 2 s
	// by default.
	SendTimeout time.Duration
	// IdleTimeout is how long an unused connection for calls is kept; 30 s by
	// default.
	IdleTimeout time.Duration
	// ControlIdleTimeout is the same for control connections; 5 s by default.
	ControlIdleTimeout time.Duration
	// SweepInterval is the time between checks of idle connections; 500 ms by
	// default.
	SweepInterval time.Duration
	Recorder      lagoonbarrow.Recorder
	Scope         tally.Scope
}

// minFrameBytes holds a head frame with an inline body and some headers.
const minFrameBytes = 2 * inlineBytes

// errSmallFrames: the frame limit is too low for any call.
var errSmallFrames = errors.Wrapf(lagoonbarrow.ErrInvalid, "peer: frame limit is below %d bytes", minFrameBytes)

func defaultInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func defaultDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

// complete sets the defaults. It returns ErrInvalid for a missing value.
func (c *ServerConfig) complete() error {
	if c.Address == "" || len(c.PeerKey) == 0 || c.Self == "" || c.Calls == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "peer: server needs address, peer key, own id and call handler")
	}
	defaultInt(&c.MaxConnections, defaultMaxConnections)
	defaultInt(&c.MaxControlConnections, defaultMaxControlConnections)
	defaultInt(&c.MaxHandshakes, defaultMaxHandshakes)
	defaultInt(&c.FrameBytes, frame.DefaultBytes)
	if c.FrameBytes < minFrameBytes {
		return errSmallFrames
	}
	defaultInt(&c.MaxBodyBytes, defaultMaxBodyBytes)
	if c.MaxBufferedBytes == 0 {
		c.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	defaultDuration(&c.HandshakeTimeout, defaultHandshakeTimeout)
	defaultDuration(&c.TransferTimeout, defaultTransferTimeout)
	defaultDuration(&c.DrainTimeout, defaultDrainTimeout)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return nil
}

// complete sets the defaults. It returns ErrInvalid for a missing value.
func (c *ClientConfig) complete() error {
	if len(c.PeerKey) == 0 || c.Self == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "peer: client needs peer key and own id")
	}
	defaultInt(&c.MaxPeers, defaultMaxPeers)
	defaultInt(&c.MaxConnections, defaultMaxConnections)
	defaultInt(&c.ConnectionsPerPeer, defaultConnectionsPerPeer)
	defaultInt(&c.IdleControlConnections, defaultIdleControlConnections)
	defaultInt(&c.FrameBytes, frame.DefaultBytes)
	if c.FrameBytes < minFrameBytes {
		return errSmallFrames
	}
	defaultInt(&c.MaxBodyBytes, defaultMaxBodyBytes)
	defaultDuration(&c.DialTimeout, defaultDialTimeout)
	defaultDuration(&c.HandshakeTimeout, defaultHandshakeTimeout)
	defaultDuration(&c.CallTimeout, defaultCallTimeout)
	defaultDuration(&c.SendTimeout, defaultSendTimeout)
	defaultDuration(&c.IdleTimeout, defaultIdleTimeout)
	defaultDuration(&c.ControlIdleTimeout, defaultControlIdleTimeout)
	defaultDuration(&c.SweepInterval, defaultSweepInterval)
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	return nil
}
