// Package sidecar wires the parts of the process that runs beside each backend
// server on the users' platform, starts them and stops them gracefully.
package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer"
	"lagoonbarrow/internal/process/background"
	"lagoonbarrow/internal/process/departure"
	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/internal/process/era"
	"lagoonbarrow/internal/process/fairness"
	"lagoonbarrow/internal/process/feed"
	"lagoonbarrow/internal/process/follower"
	"lagoonbarrow/internal/process/memory"
	"lagoonbarrow/internal/process/metrics"
	"lagoonbarrow/internal/process/placement"
	"lagoonbarrow/internal/process/quota"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/process/retry"
	"lagoonbarrow/internal/process/slots"
	"lagoonbarrow/internal/process/timeline"
	"lagoonbarrow/internal/request/backend"
	"lagoonbarrow/internal/request/entry"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/request/forward"
	"lagoonbarrow/internal/version/exchange"
	"lagoonbarrow/internal/version/routing"
)

const (
	// timelineEvents is the number of events kept in memory.
	timelineEvents = 512
	// requestLogsPerSecond bounds the log lines about single requests.
	requestLogsPerSecond = 50
	// maxBodyBytes bounds the body of one request or answer.
	maxBodyBytes = 64 << 20
	// maxIdleServerConnections bounds the idle connections to the backend server, which
	// accepts a few hundred connections in total.
	maxIdleServerConnections = 64
	// maxUnsafeIdle bounds the idle time of a connection that is reused for a write. A
	// server may drop an idle connection without closing it, and the write would be lost.
	maxUnsafeIdle = 50 * time.Millisecond
	// serverDialTimeout bounds opening a connection to the backend server on the same
	// machine. A server that lost power doesn't answer at all.
	serverDialTimeout = 200 * time.Millisecond
	// bodiesFraction limits the bodies of all requests and responses in the process. The
	// rest of the memory is for the process itself and for bodies that are not yet
	// garbage-collected. On a machine of 184 MB it has room for a body of 64 MiB.
	bodiesFraction = 0.5
	// requestsFraction limits the bodies of requests, so that the responses of those that
	// are running find memory. It also has room for 64 MiB.
	requestsFraction = 0.375
)

// Config configures a Sidecar.
type Config struct {
	Settings      lagoonbarrow.SidecarSettings
	Store         lagoonbarrow.RowStore
	Configuration lagoonbarrow.ConfigurationSource
	Headers       lagoonbarrow.ServerHeaders
	// HeartbeatHandler serves the backend server's heartbeats.
	HeartbeatHandler func(lagoonbarrow.HeartbeatHandler, hclog.Logger) fasthttp.RequestHandler
	Logger           hclog.Logger
}

// Sidecar is the process beside one backend server.
type Sidecar struct {
	config   Config
	settings lagoonbarrow.SidecarSettings
	// store is the platform's store, with the versions of its eras kept apart.
	store *era.Store

	metrics           *metrics.Metrics
	timeline          *timeline.Timeline
	routes            *routing.Registry
	directory         *directory.Directory
	rowWriter         *registration.RowWriter
	rowRemover        *registration.RowRemover
	registration      *registration.Registration
	departures        *departure.Keeper
	departureRecorder *departure.Recorder
	departureQuery    *departure.Query
	verifications     background.Task
	gate              *slots.Gate
	board             *fairness.Board
	chooser           *placement.Chooser
	customerLimits    *quota.Limits
	budget            *retry.Budget
	bodies            *memory.Limiter
	peerKey           *peerKeyLoader
	transport         *peer.Client
	server            *peer.Server
	backend           *backend.Client
	handler           *execute.Handler
	forwarder         *forward.Forwarder
	requests          *entry.RoutedListener
	heartbeatListener *controlListener
	readinessListener *controlListener
	metricsListener   *controlListener
	followers         []*follower.Follower
	// restores runs the checks after restores of the store.
	restores             background.Task
	refreshConfiguration func()
	exchange             *exchange.Exchange
	tableCache           *feed.Cache

	// highestVersion is the highest configuration version received from other nodes.
	highestVersion atomic.Uint64
	// stopTimeout is the time limit of Stop in nanoseconds.
	stopTimeout atomic.Int64
	stopping    atomic.Bool
	// ownRowKnown is set once this node's row, or its absence, has been read.
	ownRowKnown atomic.Bool
	// leaving is set once calls from other nodes are refused.
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
	s.buildFollowers()
	if err := s.buildServer(); err != nil {
		return nil, err
	}
	s.buildListeners()
	return s, nil
}

func (s *Sidecar) buildTelemetry() {
	s.metrics = metrics.New(metrics.Config{
		Instance: s.settings.Instance,
		Service:  s.settings.Service,
		Zone:     s.settings.Zone,
	})
	s.timeline = timeline.New(timeline.Config{
		Instance:             s.settings.Instance,
		Zone:                 s.settings.Zone,
		Clock:                timeline.NewClock(time.Now),
		Logger:               s.config.Logger,
		EventsPerRing:        timelineEvents,
		RequestLogsPerSecond: requestLogsPerSecond,
	})
}

// buildState builds the parts that hold the routes, the instances and the state of
// the backend server.
func (s *Sidecar) buildState() {
	s.restores = background.NewTask(s.config.Logger.Named("restore"))
	s.verifications = background.NewTask(s.config.Logger.Named("verification"))
	s.store = era.NewStore(era.Config{
		Store:      s.config.Store,
		OnRestored: s.storeRestored,
	})
	s.routes = routing.NewRegistry()
	s.chooser = placement.New(placement.Config{
		Zone: s.settings.Zone,
	})
	s.rowWriter = registration.NewRowWriter(registration.RowWriterConfig{
		Store:  s.store,
		Table:  directory.Table,
		Key:    string(s.settings.Instance),
		Logger: s.config.Logger.Named("row"),
	})
	s.directory = directory.New(directory.Config{
		Self:     s.settings.Instance,
		Logger:   s.config.Logger.Named("directory"),
		OnOwnRow: s.ownRowRead,
		OnChange: s.membersChanged,
	})
	s.registration = registration.New(registration.Config{
		Service:           s.settings.Service,
		Address:           s.settings.ServerAddress,
		HeartbeatInterval: s.settings.HeartbeatInterval,
		AwaitDepartures:   true,
		Verify:            s.verifyServer,
		OnChange:          s.serverChanged,
		Logger:            s.config.Logger.Named("server"),
	})
	s.buildDepartures()
	s.customerLimits = quota.NewLimits(quota.LimitsConfig{
		Self:           s.settings.Instance,
		Configuration:  s.routes.Current,
		ObserveVersion: s.observeVersion,
		Members:        s.directory.All,
		Sender:         deferredTransport{sidecar: s},
		Recorder:       s.timeline,
		Scope:          s.metrics.Scope().SubScope("customer-limits"),
		Logger:         s.config.Logger.Named("customer-limits"),
	})
	s.gate = slots.New(slots.Config{})
	s.board = fairness.NewBoard()
	s.budget = retry.New(retry.Config{
		Bounds: retry.Bounds{
			Ratio:  s.settings.RetryRatio,
			Slack:  s.settings.RetrySlack,
			Window: s.settings.RetryWindow,
		},
		Instances: s.serviceInstances,
	})
	s.rowRemover = registration.NewRowRemover(registration.RowRemoverConfig{
		Self:    s.settings.Instance,
		Store:   s.store,
		Table:   directory.Table,
		Members: s.directory.All,
		Version: s.directory.Version,
		Sender:  deferredTransport{sidecar: s},
		Logger:  s.config.Logger.Named("remover"),
	})
}

// buildServer builds the parts that run calls on the backend server.
func (s *Sidecar) buildServer() error {
	s.bodies = memory.New(memory.Config{
		MaxBytes:        int64(bodiesFraction * float64(s.settings.MemoryBytes)),
		MaxRequestBytes: int64(requestsFraction * float64(s.settings.MemoryBytes)),
		Logger:          s.config.Logger.Named("memory"),
		Scope:           s.metrics.Scope().SubScope("memory"),
	})
	var err error
	s.backend, err = backend.New(backend.Config{
		Address:       s.settings.ServerAddress,
		MaxBodyBytes:  maxBodyBytes,
		Memory:        s.bodies,
		MaxIdle:       maxIdleServerConnections,
		DialTimeout:   serverDialTimeout,
		Headers:       s.config.Headers,
		MaxUnsafeIdle: maxUnsafeIdle,
		Logger:        s.config.Logger.Named("backend"),
		Scope:         s.metrics.Scope().SubScope("backend"),
	})
	if err != nil {
		return err
	}
	s.handler = execute.NewHandler(execute.Config{
		CurrentServer:  s.registration.Current,
		OnReplaced:     s.registration.MarkReplaced,
		OnUnreachable:  s.registration.MarkUnreachable,
		OnLeaving:      s.registration.MarkLeaving,
		Version:        s.routes.Version,
		ObserveVersion: s.observeVersion,
		Gate:           s.gate,
		Board:          s.board,
		Budget:         s.budget,
		Relay:          s.backend,
		Recorder:       s.timeline,
	})
	s.peerKey = &peerKeyLoader{
		store:  s.store,
		logger: s.config.Logger.Named("peer-key"),
	}
	return nil
}

func (s *Sidecar) buildListeners() {
	s.forwarder = forward.New(forward.Config{
		Self:           s.settings.Instance,
		Directory:      s.directory,
		Chooser:        s.chooser,
		Transport:      deferredTransport{sidecar: s},
		Local:          s.handler,
		Version:        s.routes.Version,
		ObserveVersion: s.observeVersion,
		Recorder:       s.timeline,
	})
	s.requests = entry.NewRoutedListener(entry.RoutedConfig{
		Address: s.settings.RequestAddress,
		Service: s.settings.Service,
		Limits: entry.Limits{
			MaxBodyBytes:   maxBodyBytes,
			MaxHeaderBytes: maxHeaderBytes,
			MaxConnections: s.maxConnections(),
			Memory:         s.bodies,
			Scope:          s.metrics.Scope().SubScope("requests"),
		},
		Headers:        s.config.Headers,
		Routes:         s.routes,
		Forwarder:      s.forwarder,
		Parent:         s.handler.Parent,
		Recorder:       s.timeline,
		Logger:         s.config.Logger.Named("requests"),
		CustomerLimits: s.customerLimits,
		Board:          s.board,
	})
	s.heartbeatListener = s.newControlListener("heartbeats", s.settings.HeartbeatAddress, s.config.HeartbeatHandler(s.newAcknowledger(), s.config.Logger.Named("heartbeats")))
	s.readinessListener = s.newControlListener("readiness", s.settings.ReadyAddress, s.serveReady)
	s.metricsListener = s.newControlListener("metrics", s.settings.MetricsAddress, s.metrics.Handler())
}

// maxHeaderBytes bounds the headers of a request. The platform's clients send at most
// 16 KiB.
const maxHeaderBytes = 17 << 10
