package sidecar

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer"
	"lagoonbarrow/internal/process/departure"
	"lagoonbarrow/internal/process/feed"
	"lagoonbarrow/internal/process/panics"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/version/exchange"
)

const (
	// reservedFiles is the number of open files that are not for connections.
	reservedFiles = 300
	// peerDialTimeout bounds opening a connection to another node, which is a few
	// milliseconds away. peerHandshakeTimeout bounds the handshake, also with a busy node.
	peerDialTimeout      = 300 * time.Millisecond
	peerHandshakeTimeout = 500 * time.Millisecond
	// peerSilenceTimeout ends calls to a node that lost power or its network, early
	// enough for the client to retry them within its target latency. It is long
	// enough for the third transmission of a packet that was lost twice.
	peerSilenceTimeout = 800 * time.Millisecond
	// peerDrainTimeout is how long a stop waits for other nodes to close their idle connections,
	// which they check every 0.5 s. A node that is frozen or gone doesn't, and a longer wait would
	// use up the time of the stop.
	peerDrainTimeout = time.Second
	// bufferedDivisor limits buffered messages between nodes to a sixteenth of the memory.
	bufferedDivisor = 16
)

// buildPeers builds the client and the server for messages and calls between nodes.
func (s *Sidecar) buildPeers(key []byte) error {
	var err error
	s.transport, err = peer.NewClient(peer.ClientConfig{
		PeerKey:               key,
		Self:                  s.settings.Instance,
		Advertise:             s.settings.PeerAddress,
		DialTimeout:           peerDialTimeout,
		HandshakeTimeout:      peerHandshakeTimeout,
		UnacknowledgedTimeout: peerSilenceTimeout,
		MaxConnections:        s.maxConnections(),
		MaxBodyBytes:          maxBodyBytes,
		Memory:                s.bodies,
		Recorder:              s.timeline,
		Scope:                 s.metrics.Scope().SubScope("peer"),
	})
	if err != nil {
		return err
	}
	s.server, err = peer.NewServer(peer.ServerConfig{
		Address:          s.settings.PeerAddress,
		PeerKey:          key,
		Self:             s.settings.Instance,
		Calls:            s.handler,
		Messages:         s.messageHandlers(),
		MaxConnections:   s.maxConnections(),
		MaxBodyBytes:     maxBodyBytes,
		Memory:           s.bodies,
		MaxBufferedBytes: s.settings.MemoryBytes / bufferedDivisor,
		DrainTimeout:     peerDrainTimeout,
		Panics:           panics.NewReporter(s.config.Logger.Named("peer")),
		Recorder:         s.timeline,
		Scope:            s.metrics.Scope().SubScope("peer"),
	})
	return err
}

// messageHandlers returns the handlers of the messages of other nodes.
func (s *Sidecar) messageHandlers() map[string]lagoonbarrow.MessageHandler {
	return peer.MessageHandlers(
		&feed.Handler{
			Cache: s.tableCache,
		},
		&departure.Handler{
			Keeper: s.departures,
		},
		&registration.PresenceHandler{
			Self: s.settings.Instance,
		},
		&exchange.Handler{
			Current: s.routes.Current,
		},
		s.customerLimits,
	)
}

// maxConnections returns the limit of connections of one kind. There are four kinds:
// from clients, from other nodes, to other nodes and to the backend server.
func (s *Sidecar) maxConnections() int {
	return max(1, (s.settings.MaxOpenFiles-reservedFiles)/4)
}
