// Package node wires the parts of one node process together, starts them and
// stops them gracefully.
package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/peer"
	"lagoonbarrow/internal/process/admin"
	"lagoonbarrow/internal/process/admission"
	"lagoonbarrow/internal/process/metrics"
	"lagoonbarrow/internal/process/panics"
	"lagoonbarrow/internal/process/platform"
	"lagoonbarrow/internal/process/quota"
	"lagoonbarrow/internal/process/roster"
	"lagoonbarrow/internal/process/route"
	"lagoonbarrow/internal/process/settings"
	"lagoonbarrow/internal/process/timeline"
	"lagoonbarrow/internal/request/backend"
	"lagoonbarrow/internal/request/budget"
	"lagoonbarrow/internal/request/call"
	"lagoonbarrow/internal/request/claim"
	"lagoonbarrow/internal/request/entry"
	"lagoonbarrow/internal/version/contract"
	"lagoonbarrow/pkg/event"
)

// Config configures a Node.
type Config struct {
	Settings settings.Settings
	Logger   hclog.Logger
}

// Node is one node process.
type Node struct {
	settings settings.Settings
	logger   hclog.Logger

	metrics  *metrics.Metrics
	scope    tally.Scope
	clock    *timeline.Clock
	timeline *timeline.Timeline

	platform    *platform.Client
	transport   *peer.Client
	server      *peer.Server
	roster      *roster.Roster
	registry    *contract.Registry
	store       lagoonbarrow.ContractStore
	distributor *contract.Distributor
	gate        *admission.Gate
	ledger      *budget.Ledger
	router      *route.Router
	quota       *quota.Quota
	claims      *claim.Claims
	backend     *backend.Client
	handler     *call.Handler
	caller      *call.Caller
	customers   *entry.CustomerListener
	local       *entry.LocalListener
	admin       *admin.Server

	// announced is set once the other nodes were informed that this node is ready.
	announced   atomic.Bool
	stopHealth  context.CancelFunc
	healthEnded sync.WaitGroup
}

// New builds a node that is not started yet.
func New(config Config) (*Node, error) {
	node := &Node{
		settings: config.Settings,
		logger:   config.Logger,
	}
	steps := []func() error{
		node.buildTelemetry,
		node.buildControl,
		node.buildRequestPath,
		node.buildListeners,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return node, nil
}

func (n *Node) buildTelemetry() error {
	n.metrics = metrics.New(metrics.Config{
		Instance: n.settings.Instance,
		Service:  n.settings.Service,
		Zone:     n.settings.Zone,
	})
	n.scope = n.metrics.Scope()
	n.clock = timeline.NewClock(time.Now)
	n.timeline = timeline.New(timeline.Config{
		Instance:      n.settings.Instance,
		Zone:          n.settings.Zone,
		Clock:         n.clock,
		Logger:        n.logger,
		EventsPerRing: n.settings.TimelineEvents,
	})
	return nil
}

// self returns this node's own instance record.
func (n *Node) self() lagoonbarrow.Instance {
	return lagoonbarrow.Instance{
		ID:      n.settings.Instance,
		Service: n.settings.Service,
		Zone:    n.settings.Zone,
		Region:  n.settings.Region,
		Peer:    n.settings.PeerAdvertiseAddress,
		Admin:   n.settings.AdminAddress,
		Slots:   n.settings.Slots,
		State:   lagoonbarrow.StateStarting,
	}
}

// buildControl builds the parts that exchange state with the platform and with other
// nodes: members, contracts and quotas.
func (n *Node) buildControl() error {
	n.platform = platform.New(platform.Config{
		Address:       n.settings.PlatformAddress,
		Timeout:       n.settings.PlatformTimeout,
		ProbeInterval: n.settings.PlatformProbeInterval,
		Recorder:      n.timeline,
		Scope:         n.scope.SubScope("platform"),
		Logger:        n.logger.Named("platform"),
	})
	var err error
	n.transport, err = peer.NewClient(peer.ClientConfig{
		PeerKey:      []byte(n.settings.PeerKey),
		Self:         n.settings.Instance,
		Advertise:    n.settings.PeerAdvertiseAddress,
		Inbound:      n.connectedPeers,
		MaxBodyBytes: n.settings.MaxBodyBytes,
		Recorder:     n.timeline,
		Scope:        n.scope.SubScope("peer"),
	})
	if err != nil {
		return err
	}
	n.roster, err = roster.New(roster.Config{
		Self:          n.self(),
		Table:         n.platform,
		Transport:     n.transport,
		Recorder:      n.timeline,
		Scope:         n.scope.SubScope("roster"),
		Logger:        n.logger.Named("roster"),
		LocalRevision: n.localRevision,
		OnRevision:    n.onRevision,
		OnSuperseded:  n.onSuperseded,
		ProbeInterval: n.settings.ProbeInterval,
	})
	if err != nil {
		return err
	}
	n.registry = contract.NewRegistry(contract.RegistryConfig{
		Recorder: n.timeline,
	})
	n.store = contract.NewStore(contract.StoreConfig{
		Table:      n.platform,
		Recorder:   n.timeline,
		OnAccepted: func() { n.distributor.Refresh() },
	})
	n.distributor = contract.NewDistributor(contract.Config{
		Table:        n.platform,
		Roster:       n.roster,
		Transport:    n.transport,
		Registry:     n.registry,
		Recorder:     n.timeline,
		Scope:        n.scope.SubScope("contract"),
		HeadInterval: n.settings.HeadInterval,
	})
	n.quota = quota.New(quota.Config{
		Roster:    n.roster,
		Transport: n.transport,
		Contracts: n.registry,
		Recorder:  n.timeline,
		Scope:     n.scope.SubScope("quota"),
	})
	return nil
}

func (n *Node) connectedPeers() []lagoonbarrow.Address {
	return n.server.Connected()
}

func (n *Node) localRevision() roster.RevisionGossip {
	revision, age, known := n.distributor.Gossip()
	if !known {
		age = -1
	}
	return roster.RevisionGossip{
		Revision: revision,
		HeadAge:  age,
	}
}

func (n *Node) onRevision(from lagoonbarrow.Instance, gossip roster.RevisionGossip) {
	n.distributor.HandleGossip(from, gossip.Revision, gossip.HeadAge, gossip.HeadAge >= 0)
}

// onSuperseded refuses new work after a later process has taken over this instance's
// backend server. Two nodes beside one server would admit twice its slots.
func (n *Node) onSuperseded() {
	n.handler.RefuseNewCalls()
	n.timeline.Record(event.Superseded, event.Fields{})
}

// buildRequestPath builds the parts that a request passes through.
func (n *Node) buildRequestPath() error {
	var err error
	n.gate, err = admission.New(admission.Config{
		Slots:            n.settings.Slots,
		TargetQueueDelay: n.settings.QueueDelay,
		Recorder:         n.timeline,
		Scope:            n.scope.SubScope("admission"),
		Plain:            n.settings.Plain,
	})
	if err != nil {
		return err
	}
	n.ledger = budget.New(budget.Config{})
	n.router, err = route.New(route.Config{
		Roster:     n.roster,
		RoundRobin: n.settings.Plain,
	})
	if err != nil {
		return err
	}
	n.claims = claim.New(claim.Config{
		Table:           n.platform,
		Self:            n.settings.Instance,
		CompleteTimeout: n.settings.ClaimAnswerWait,
		Recorder:        n.timeline,
		Scope:           n.scope.SubScope("claim"),
		Logger:          n.logger.Named("claim"),
	})
	n.backend, err = backend.New(backend.Config{
		Address:      n.settings.BackendAddress,
		HealthPath:   n.settings.HealthPath,
		Connections:  n.settings.Connections,
		MaxBodyBytes: n.settings.MaxBodyBytes,
		Logger:       n.logger.Named("backend"),
		Scope:        n.scope.SubScope("backend"),
	})
	if err != nil {
		return err
	}
	n.handler = call.NewHandler(call.HandlerConfig{
		Admission:       n.gate,
		Ledger:          n.ledger,
		Claims:          n.claims,
		Backend:         n.backend,
		Recorder:        n.timeline,
		Clock:           n.clock,
		Scope:           n.scope.SubScope("call"),
		ClaimAnswerWait: n.settings.ClaimAnswerWait,
		Plain:           n.settings.Plain,
	})
	n.caller = call.NewCaller(
		call.CallerConfig{
			Self:          n.settings.Instance,
			Transport:     n.transport,
			Roster:        n.roster,
			Router:        n.router,
			Claims:        n.claims,
			Recorder:      n.timeline,
			Clock:         n.clock,
			Scope:         n.scope.SubScope("call"),
			OnUnreachable: n.roster.MarkUnreachable,
			Plain:         n.settings.Plain,
			PlainRetries:  n.settings.PlainRetries,
		},
		n.handler,
	)
	return nil
}

func (n *Node) buildListeners() error {
	limits := entry.Limits{
		MaxBodyBytes:   n.settings.MaxBodyBytes,
		MaxHeaderBytes: n.settings.MaxHeaderBytes,
		MaxConnections: n.settings.MaxConnections,
	}
	n.local = entry.NewLocalListener(entry.LocalConfig{
		Address: n.settings.LocalAddress,
		Limits:  limits,
		Ledger:  n.ledger,
		Caller:  n.caller,
		Logger:  n.logger.Named("local"),
	})
	if n.settings.EntryAddress != "" {
		n.customers = entry.NewCustomerListener(entry.CustomerConfig{
			Address:   n.settings.EntryAddress,
			Service:   n.settings.Service,
			Limits:    limits,
			Contracts: n.registry,
			Quota:     n.quota,
			Table:     n.platform,
			Ledger:    n.ledger,
			Caller:    n.caller,
			Recorder:  n.timeline,
			Scope:     n.scope.SubScope("entry"),
			Logger:    n.logger.Named("entry"),
			Plain:     n.settings.Plain,
		})
	}
	var err error
	n.server, err = peer.NewServer(peer.ServerConfig{
		Address:      n.settings.PeerAddress,
		PeerKey:      []byte(n.settings.PeerKey),
		Self:         n.settings.Instance,
		Calls:        n.handler,
		Messages:     peer.MessageHandlers(n.roster, n.distributor, n.quota),
		MaxBodyBytes: n.settings.MaxBodyBytes,
		Recorder:     n.timeline,
		Scope:        n.scope.SubScope("peer"),
		Panics:       panics.NewReporter(n.logger.Named("peer")),
	})
	if err != nil {
		return err
	}
	n.buildAdmin()
	return nil
}

// Start starts all parts. The node accepts work once it has contracts and members
// and its backend server answers.
func (n *Node) Start(ctx context.Context) error {
	n.timeline.Record(event.NodeStarted, event.Fields{
		Detail: string(n.settings.Service) + " in " + string(n.settings.Zone),
	})
	n.warnOpenListeners()
	if err := n.platform.Start(); err != nil {
		return errors.Wrap(err, "node: start platform client")
	}
	if err := n.claims.Start(); err != nil {
		return errors.Wrap(err, "node: start claims")
	}
	n.gate.Start()
	if err := n.startListeners(); err != nil {
		return err
	}
	if err := n.roster.Start(ctx); err != nil {
		return errors.Wrap(err, "node: start roster")
	}
	n.distributor.Start()
	n.quota.Start()
	n.caller.Start()
	n.startHealth()
	return nil
}

func (n *Node) startListeners() error {
	if _, err := n.server.Start(); err != nil {
		return errors.Wrap(err, "node: start peer server")
	}
	if _, err := n.local.Start(); err != nil {
		return errors.Wrap(err, "node: start local listener")
	}
	if err := n.admin.Start(); err != nil {
		return errors.Wrap(err, "node: start administration API")
	}
	if n.customers == nil {
		return nil
	}
	_, err := n.customers.Start()
	return errors.Wrap(err, "node: start entry listener")
}
