package peer

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
	"lagoonbarrow/internal/process/memory"
	"lagoonbarrow/internal/process/panics"
)

// Defaults of ServerConfig and ClientConfig.
const (
	// defaultMaxBodyBytes is the size limit of the body of a call or answer
	// (docs/design.md, 3.5).
	defaultMaxBodyBytes = 4 << 20
	// defaultMaxBufferedBytes has room for 16 bodies of the largest size.
	defaultMaxBufferedBytes      = 64 << 20
	defaultMaxConnections        = 4096
	defaultMaxControlConnections = 1024
	defaultMaxHandshakes         = 256
	defaultMaxPeers              = 1024
	// defaultConnectionsPerPeer is high enough that calls wait in the callee's
	// admission queue and not here: the largest backend servers have 200 slots
	// (docs/design.md, 1.1), and at least four callers share them.
	defaultConnectionsPerPeer = 128
	// defaultIdleControlConnections lets small clusters reuse control connections,
	// since a node probes the same peer again soon.
	defaultIdleControlConnections = 32
	defaultHandshakeTimeout       = time.Second
	defaultDialTimeout            = time.Second
	defaultTransferTimeout        = 5 * time.Second
	defaultDrainTimeout           = 3 * time.Second
	defaultIdleTimeout            = 30 * time.Second
	defaultControlIdleTimeout     = 5 * time.Second
	// defaultSweepInterval bounds how long a stopping peer waits for this client to
	// close its idle connections. A sweep takes about 1.4 us per connection.
	defaultSweepInterval = 500 * time.Millisecond
	defaultCallTimeout   = 30 * time.Second
	defaultSendTimeout   = 2 * time.Second
)

// ServerConfig configures a Server. Limits and durations of zero are replaced by
// their defaults.
type ServerConfig struct {
	// Address is the address to listen on. With port 0 the system chooses a port.
	Address lagoonbarrow.Address
	// PeerKey is the secret key shared by all nodes.
	PeerKey []byte
	Self    lagoonbarrow.InstanceID
	Calls   lagoonbarrow.CallHandler
	// Messages holds the handlers of control messages by kind, as MessageHandlers returns
	// them.
	Messages map[string]lagoonbarrow.MessageHandler
	// MaxConnections bounds the connections for calls; 4,096 by default.
	MaxConnections int
	// MaxControlConnections bounds the connections for control messages;
	// 1,024 by default.
	MaxControlConnections int
	// MaxHandshakes bounds the connections that are not yet authenticated; 256 by
	// default.
	MaxHandshakes int
	// FrameBytes bounds the body of a frame; 256 KiB by default, at least 8 KiB.
	FrameBytes int
	// MaxBodyBytes bounds the body of a call; 4 MiB by default.
	MaxBodyBytes int
	// MaxBufferedBytes bounds the total size of the bodies of calls in progress and of
	// answers being sent; 64 MiB by default. A call that would exceed it is
	// refused. Without this limit slow readers could exhaust the memory.
	MaxBufferedBytes int64
	// Memory bounds the bodies of calls and of their answers instead of MaxBufferedBytes,
	// which then bounds messages only.
	Memory *memory.Limiter
	// HandshakeTimeout bounds the handshake; 1 s by default.
	HandshakeTimeout time.Duration
	// TransferTimeout bounds the time to receive one call, counted from its first
	// byte, and the time to send one answer; 5 s by default.
	TransferTimeout time.Duration
	// DrainTimeout bounds how long Stop waits for peers to close idle
	// connections; 3 s by default.
	DrainTimeout time.Duration
	Recorder     lagoonbarrow.Recorder
	Scope        tally.Scope
	// Panics reports panics of the handlers; they are contained without it too.
	Panics *panics.Reporter
}

// ClientConfig configures a Client. Limits and durations of zero are replaced by
// their defaults.
type ClientConfig struct {
	// PeerKey is the secret key shared by all nodes.
	PeerKey []byte
	Self    lagoonbarrow.InstanceID
	// Advertise is this node's own peer address. The peers that this client calls
	// use it to include this node in their broadcasts.
	Advertise lagoonbarrow.Address
	// Inbound returns the advertised addresses of the peers connected to this
	// node's server, usually Server.Connected. Broadcast includes them.
	Inbound func() []lagoonbarrow.Address
	// MaxPeers bounds the peers with open connections for calls; 1,024 by default.
	MaxPeers int
	// MaxConnections bounds all connections for calls; 4,096 by default.
	MaxConnections int
	// ConnectionsPerPeer bounds the connections for calls to one peer; 128 by
	// default. Long calls use at most a quarter of them, and a tenth is reserved for
	// critical calls.
	ConnectionsPerPeer int
	// IdleControlConnections bounds the idle control connections that are kept open;
	// 32 by default. With a negative value none are kept.
	IdleControlConnections int
	// FrameBytes bounds the body of a frame; 256 KiB by default, at least 8 KiB.
	FrameBytes int
	// MaxBodyBytes bounds the body of a call and of an answer; 4 MiB by default.
	MaxBodyBytes int
	// Memory bounds the bodies of answers; they have no bound together by default.
	Memory *memory.Limiter
	// DialTimeout bounds opening a TCP connection; 1 s by default.
	DialTimeout time.Duration
	// UnacknowledgedTimeout is how long sent bytes may stay unacknowledged by the
	// peer's host before the connection is closed. The default is the system's limit.
	UnacknowledgedTimeout time.Duration
	// HandshakeTimeout bounds the handshake; 1 s by default.
	HandshakeTimeout time.Duration
	// CallTimeout bounds a call that has no remaining time; 30 s by default. A
	// deadline of the call's context applies as well.
	CallTimeout time.Duration
	// SendTimeout bounds a control message whose context has no deadline; 2 s
	// by default.
	SendTimeout time.Duration
	// IdleTimeout is how long an unused connection for calls is kept; 30 s by
	// default.
	IdleTimeout time.Duration
	// ControlIdleTimeout is how long an unused control connection is kept; 5 s by
	// default.
	ControlIdleTimeout time.Duration
	// SweepInterval is the time between checks of idle connections; 500 ms by
	// default.
	SweepInterval time.Duration
	Recorder      lagoonbarrow.Recorder
	Scope         tally.Scope
}

// minFrameBytes has room for a head frame with an inline body and some headers.
const minFrameBytes = 2 * inlineBytes

// errFrameLimitTooLow is returned for a frame limit that is too low for any call.
var errFrameLimitTooLow = errors.Wrapf(lagoonbarrow.ErrInvalid, "peer: frame limit is below %d bytes", minFrameBytes)

func defaultInt(value *int, defaultValue int) {
	if *value == 0 {
		*value = defaultValue
	}
}

func defaultDuration(value *time.Duration, defaultValue time.Duration) {
	if *value == 0 {
		*value = defaultValue
	}
}

// setDefaults fills in the defaults. It returns ErrInvalid if a required value is
// missing or the frame limit is too low.
func (c *ServerConfig) setDefaults() error {
	if c.Address == "" || len(c.PeerKey) == 0 || c.Self == "" || c.Calls == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "peer: server needs address, peer key, own id and call handler")
	}
	defaultInt(&c.MaxConnections, defaultMaxConnections)
	defaultInt(&c.MaxControlConnections, defaultMaxControlConnections)
	defaultInt(&c.MaxHandshakes, defaultMaxHandshakes)
	defaultInt(&c.FrameBytes, frame.DefaultBytes)
	if c.FrameBytes < minFrameBytes {
		return errFrameLimitTooLow
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

// setDefaults fills in the defaults. It returns ErrInvalid if a required value is
// missing or the frame limit is too low.
func (c *ClientConfig) setDefaults() error {
	if len(c.PeerKey) == 0 || c.Self == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "peer: client needs peer key and own id")
	}
	defaultInt(&c.MaxPeers, defaultMaxPeers)
	defaultInt(&c.MaxConnections, defaultMaxConnections)
	defaultInt(&c.ConnectionsPerPeer, defaultConnectionsPerPeer)
	defaultInt(&c.IdleControlConnections, defaultIdleControlConnections)
	defaultInt(&c.FrameBytes, frame.DefaultBytes)
	if c.FrameBytes < minFrameBytes {
		return errFrameLimitTooLow
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

// MessageHandlers returns the parts by the kinds of messages that they serve.
func MessageHandlers(parts ...lagoonbarrow.MessagePart) map[string]lagoonbarrow.MessageHandler {
	handlers := map[string]lagoonbarrow.MessageHandler{}
	for _, part := range parts {
		for _, kind := range part.Kinds() {
			handlers[kind] = part
		}
	}
	return handlers
}
