// Package sidecar wires the parts of the process that runs beside each backend
// server on the users' platform, starts them and stops them gracefully.
package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer"
	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/internal/process/feed"
	"lagoonbarrow/internal/process/follower"
	"lagoonbarrow/internal/process/metrics"
	"lagoonbarrow/internal/process/placement"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/internal/process/timeline"
	"lagoonbarrow/internal/request/backend"
	"lagoonbarrow/internal/request/entry"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/internal/version/routing"
	"lagoonbarrow/pkg/event"
)

const (
	// configurationWait is how long one question for changes of the configuration
	// waits. A source that went silent is noticed after it, and another one asked well
	// within the time that a change may take.
	configurationWait = 800 * time.Millisecond
	// instancesWait is the same for the instances, whose changes are less urgent: a
	// node refuses what its server can't take.
	instancesWait = time.Second
	// instancesPause lets the changes of many instances gather.
	instancesPause = 300 * time.Millisecond
	// reservedFiles is the part of the open files that isn't for connections.
	reservedFiles = 300
	// timelineEvents is the number of events kept in memory.
	timelineEvents = 512
	// requestLogs bounds the log lines of single requests in a second.
	requestLogs = 50
	// maxBodyBytes bounds what a node holds for one request or answer.
	maxBodyBytes = 64 << 20
	// maxIdleToServer bounds the unused connections to the backend server, which
	// accepts a few hundred in all.
	maxIdleToServer = 64
	// serverDialTimeout bounds opening a connection to the backend server, which is on
	// the same machine. A server that lost power doesn't answer at all.
	serverDialTimeout = 200 * time.Millisecond
	// peerDialTimeout bounds opening a connection to another node, which is a few
	// milliseconds away, and peerHandshakeTimeout the handshake with one that is busy.
	peerDialTimeout      = 300 * time.Millisecond
	peerHandshakeTimeout = 500 * time.Millisecond
	// peerSilenceTimeout ends calls to a node that lost power or is cut off, early
	// enough for the client to repeat them within its latency objective. A packet that
	// is lost twice is sent a third time before.
	peerSilenceTimeout = 800 * time.Millisecond
	// bufferedPart is the part of the memory that bodies between nodes may take.
	bufferedPart = 4
)

// Config configures a Sidecar.
type Config struct {
	Settings      lagoonbarrow.SidecarSettings
	Store         lagoonbarrow.RowStore
	Configuration lagoonbarrow.ConfigurationSource
	Headers       lagoonbarrow.ServerHeaders
	// HeartbeatHandler serves the backend server's heartbeats.
	HeartbeatHandler func(lagoonbarrow.Heartbeats) fasthttp.RequestHandler
	Logger           hclog.Logger
}

// Sidecar is the process beside one backend server.
type Sidecar struct {
	config   Config
	settings lagoonbarrow.SidecarSettings

	metrics      *metrics.Metrics
	timeline     *timeline.Timeline
	routes       *routing.Registry
	directory    *directory.Directory
	row          *registration.RowKeeper
	remover      *registration.Remover
	registration *registration.Registration
	gate         *slots.Gate
	chooser      *placement.Chooser
	budget       *retry.Budget
	keys         *peerKeys
	transport    *peer.Client
	server       *peer.Server
	backend      *backend.Client
	handler      *execute.Handler
	forwarder    *forward.Forwarder
	requests     *entry.RoutedListener
	heartbeats   *control
	ready        *control
	scrape       *control
	followers    []*follower.Follower
	refresh      func()
	tables       *feed.Cache

	// highest is the highest configuration version that a node has told of.
	highest atomic.Uint64
	// stopTimeout is the time limit of a stop in nanoseconds.
	stopTimeout atomic.Int64
	stopping    atomic.Bool
	// leaving is set once other nodes' calls are refused.
	leaving atomic.Bool
	closed  sync.Once
}

// New builds a sidecar that is not started yet.
func New(config Config) (*Sidecar, error) {
	s := &Sidecar{
		config:   config,
		settings: config.Settings,
	}
	s.stopTimeout.Store(int64(config.Settings.StopTimeout))
	s.buildTelemetry()
	s.buildState()
	if err := s.buildServer(); err != nil {
		return nil, err
	}
	s.buildRequests()
	return s, nil
}

func (s *Sidecar) buildTelemetry() {
	s.metrics = metrics.New(metrics.Config{
		Instance: s.settings.Instance,
		Service:  s.settings.Service,
		Zone:     s.settings.Zone,
	})
	s.timeline = timeline.New(timeline.Config{
		Instance:    s.settings.Instance,
		Zone:        s.settings.Zone,
		Clock:       timeline.NewClock(time.Now),
		Logger:      s.config.Logger,
		Events:      timelineEvents,
		RequestLogs: requestLogs,
	})
}

// buildState builds what is known of the call graph and of the server beside this node.
func (s *Sidecar) buildState() {
	s.routes = routing.NewRegistry()
	s.chooser = placement.New(placement.Config{
		Zone: s.settings.Zone,
	})
	s.row = registration.NewRowKeeper(registration.RowConfig{
		Store:  s.config.Store,
		Table:  directory.Table,
		Key:    string(s.settings.Instance),
		Logger: s.config.Logger.Named("row"),
	})
	s.directory = directory.New(directory.Config{
		Self:    s.settings.Instance,
		Logger:  s.config.Logger.Named("directory"),
		OwnRow:  s.row.Seen,
		Changed: s.membersChanged,
	})
	s.registration = registration.New(registration.Config{
		Service:           s.settings.Service,
		Address:           s.settings.Server,
		HeartbeatInterval: s.settings.HeartbeatInterval,
		Changed:           s.serverChanged,
		Logger:            s.config.Logger.Named("server"),
	})
	s.gate = slots.New(slots.Config{})
	s.budget = retry.New(retry.Config{
		Bounds: retry.Bounds{
			Ratio:  s.settings.RetryRatio,
			Slack:  s.settings.RetrySlack,
			Window: s.settings.RetryWindow,
		},
		Instances: s.siblings,
	})
	s.remover = registration.NewRemover(registration.RemoverConfig{
		Self:    s.settings.Instance,
		Store:   s.config.Store,
		Table:   directory.Table,
		Members: s.directory.All,
		Version: s.directory.Version,
		Sender:  lateTransport{sidecar: s},
		Logger:  s.config.Logger.Named("remover"),
	})
	s.tables = feed.NewCache()
	source := feed.New(feed.Config{
		Self:    s.settings.Instance,
		Zone:    s.settings.Zone,
		Store:   s.config.Store,
		Members: s.directory.All,
		Sender:  lateTransport{sidecar: s},
		Cache:   s.tables,
		Logger:  s.config.Logger.Named("feed"),
	})
	configuration := follower.New(follower.Config{
		Feed:    source,
		Table:   s.config.Configuration.Table,
		Wait:    configurationWait,
		Behind:  s.behind,
		Replace: s.configurationRows,
		Apply:   s.configurationChanges,
		Logger:  s.config.Logger.Named("configuration"),
	})
	s.refresh = configuration.Refresh
	instances := follower.New(follower.Config{
		Feed:    source,
		Table:   directory.Table,
		Wait:    instancesWait,
		Pause:   instancesPause,
		Replace: s.directory.Replace,
		Apply:   s.directory.Apply,
		Logger:  s.config.Logger.Named("directory"),
	})
	s.followers = []*follower.Follower{configuration, instances}
}

// buildServer builds what other nodes call.
func (s *Sidecar) buildServer() error {
	var err error
	s.backend, err = backend.New(backend.Config{
		Address:      s.settings.Server,
		MaxBodyBytes: maxBodyBytes,
		MaxIdle:      maxIdleToServer,
		DialTimeout:  serverDialTimeout,
		Headers:      s.config.Headers,
		// A server may forget an idle connection without a sign.
		FreshTime: -1,
		Scope:     s.metrics.Scope().SubScope("backend"),
	})
	if err != nil {
		return err
	}
	s.handler = execute.NewHandler(execute.Config{
		Current:     s.registration.Current,
		Replaced:    s.registration.Replaced,
		Unreachable: s.registration.Unreachable,
		Version:     s.routes.Version,
		Heard:       s.heard,
		Gate:        s.gate,
		Budget:      s.budget,
		Relay:       s.backend,
		Recorder:    s.timeline,
	})
	s.keys = &peerKeys{
		store:  s.config.Store,
		logger: s.config.Logger.Named("peer-key"),
	}
	return nil
}

// buildPeers builds the transport between nodes once their key is known.
func (s *Sidecar) buildPeers(key []byte) error {
	var err error
	s.transport, err = peer.NewClient(peer.ClientConfig{
		PeerKey:               key,
		Self:                  s.settings.Instance,
		Advertise:             s.settings.Peer,
		DialTimeout:           peerDialTimeout,
		HandshakeTimeout:      peerHandshakeTimeout,
		UnacknowledgedTimeout: peerSilenceTimeout,
		MaxConnections:        s.connections(),
		MaxBodyBytes:          maxBodyBytes,
		Recorder:              s.timeline,
		Scope:                 s.metrics.Scope().SubScope("peer"),
	})
	if err != nil {
		return err
	}
	s.server, err = peer.NewServer(peer.ServerConfig{
		Address:          s.settings.Peer,
		PeerKey:          key,
		Self:             s.settings.Instance,
		Calls:            s.handler,
		Messages:         s.messages(),
		MaxConnections:   s.connections(),
		MaxBodyBytes:     maxBodyBytes,
		MaxBufferedBytes: s.settings.MemoryBytes / bufferedPart,
		Recorder:         s.timeline,
		Scope:            s.metrics.Scope().SubScope("peer"),
	})
	return err
}

func (s *Sidecar) messages() map[string]lagoonbarrow.MessageHandler {
	changes := &feed.Handler{
		Cache: s.tables,
	}
	presence := &registration.Presence{
		Self: s.settings.Instance,
	}
	handlers := map[string]lagoonbarrow.MessageHandler{}
	for _, kind := range changes.Kinds() {
		handlers[kind] = changes
	}
	for _, kind := range presence.Kinds() {
		handlers[kind] = presence
	}
	return handlers
}

// connections is the number of connections of one kind; there are four: from clients,
// from and to other nodes, and to the backend server.
func (s *Sidecar) connections() int {
	return max(1, (s.settings.MaxOpenFiles-reservedFiles)/4)
}

func (s *Sidecar) buildRequests() {
	s.forwarder = forward.New(forward.Config{
		Self:      s.settings.Instance,
		Directory: s.directory,
		Chooser:   s.chooser,
		Transport: lateTransport{sidecar: s},
		Local:     s.handler,
		Version:   s.routes.Version,
		Heard:     s.heard,
		Recorder:  s.timeline,
	})
	s.requests = entry.NewRoutedListener(entry.RoutedConfig{
		Address: s.settings.Requests,
		Service: s.settings.Service,
		Limits: entry.Limits{
			BodyBytes:   maxBodyBytes,
			HeaderBytes: maxHeaderBytes,
			Connections: s.connections(),
		},
		Headers:   s.config.Headers,
		Routes:    s.routes,
		Forwarder: s.forwarder,
		Parent:    s.handler.Parent,
		Recorder:  s.timeline,
		Logger:    s.config.Logger.Named("requests"),
	})
	s.heartbeats = s.newControl("heartbeats", s.settings.Heartbeats, s.config.HeartbeatHandler(s.registration))
	s.ready = s.newControl("readiness", s.settings.Ready, s.serveReady)
	s.scrape = s.newControl("metrics", s.settings.Metrics, s.metrics.Handler())
}

// maxHeaderBytes bounds a request's headers; the platform's clients stay within 16 KiB.
const maxHeaderBytes = 17 << 10

// serverChanged takes the state of the backend server beside this node.
func (s *Sidecar) serverChanged(server registration.Server, ready bool) {
	state := lagoonbarrow.StateLeaving
	if ready {
		state = lagoonbarrow.StateReady
	}
	s.gate.SetSlots(server.Slots)
	self := lagoonbarrow.Instance{
		ID:      s.settings.Instance,
		Service: server.Service,
		Zone:    s.settings.Zone,
		Region:  s.settings.Region,
		Peer:    s.settings.Peer,
		Slots:   server.Slots,
		State:   state,
	}
	if s.leaving.Load() {
		self.State = lagoonbarrow.StateLeaving
	}
	s.directory.SetSelf(self)
	value, err := directory.Encode(self, server.ID)
	if err != nil {
		s.config.Logger.Error("encoding the node's row failed", "error", err)
		return
	}
	s.row.Want(value)
}

// siblings returns the number of known instances of this node's service, itself
// included, or 0 while the others are not known.
func (s *Sidecar) siblings() int {
	if !s.directory.Ready() {
		return 0
	}
	return len(s.directory.Instances(s.settings.Service))
}

func (s *Sidecar) membersChanged(ids map[lagoonbarrow.InstanceID]bool) {
	s.chooser.Keep(ids)
}

func (s *Sidecar) configurationRows(rows []lagoonbarrow.Row) {
	for _, row := range rows {
		s.takeConfiguration(row)
	}
}

func (s *Sidecar) configurationChanges(changes []lagoonbarrow.Change) {
	for _, change := range changes {
		if !change.Deleted {
			s.takeConfiguration(change.Row)
		}
	}
}

// takeConfiguration puts a configuration in force if it is valid and newer.
func (s *Sidecar) takeConfiguration(row lagoonbarrow.Row) {
	if row.Key != s.config.Configuration.Key {
		return
	}
	configuration, err := s.config.Configuration.Decode(row.Value)
	if err != nil {
		s.timeline.Record(event.ConfigurationRefused, event.Fields{
			Detail: err.Error(),
		})
		return
	}
	if s.routes.Offer(configuration) {
		s.chooser.KeepRoutes(configuration.RouteNames())
		s.timeline.Record(event.ConfigurationInForce, event.Fields{
			ContractVersion: uint64(configuration.Version),
		})
	}
}

// heard asks for the configuration again when another node knows a newer one.
func (s *Sidecar) heard(version lagoonbarrow.ConfigurationVersion) {
	if version <= s.routes.Version() {
		return
	}
	for known := s.highest.Load(); uint64(version) > known; known = s.highest.Load() {
		if s.highest.CompareAndSwap(known, uint64(version)) {
			break
		}
	}
	s.refresh()
}

// behind reports whether another node knows a newer configuration.
func (s *Sidecar) behind() bool {
	return s.highest.Load() > uint64(s.routes.Version())
}

// lateTransport refuses calls until the key of the nodes is known.
type lateTransport struct {
	sidecar *Sidecar
}

// Send implements lagoonbarrow.MessageSender.
func (t lateTransport) Send(ctx context.Context, to lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	if !t.sidecar.keys.known() {
		return lagoonbarrow.Message{}, errors.Wrap(lagoonbarrow.ErrNotSent, "sidecar: the key of the nodes is not known yet")
	}
	return t.sidecar.transport.Send(ctx, to, message)
}

// Call implements forward.Transport.
func (t lateTransport) Call(ctx context.Context, to lagoonbarrow.Instance, call *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	if !t.sidecar.keys.known() {
		return nil, errors.Wrap(lagoonbarrow.ErrNotSent, "sidecar: the key of the nodes is not known yet")
	}
	return t.sidecar.transport.Call(ctx, to, call)
}
