package admin

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// Defaults of Config.
const (
	DefaultMaxConnections = 64
	// DefaultRequestTimeout is shorter than the 10 s timeout of the operator commands,
	// so that they receive the outcome.
	DefaultRequestTimeout = 8 * time.Second
	DefaultNodeTimeout    = time.Second
	// DefaultRolloutWorkers is high enough to finish within the request timeout when a
	// whole availability zone does not answer, which is 1,560 of 7,800 nodes.
	DefaultRolloutWorkers = 256
	// rolloutCacheTimePerNode is the time per live node for which a roll-out result is
	// cached. The operator commands send 10 queries a second, which without the cache
	// would be 78,000 messages a second at 7,800 nodes.
	rolloutCacheTimePerNode = 250 * time.Microsecond
	// rolloutQueueSize limits the number of nodes that wait to be queried, over all
	// requests.
	rolloutQueueSize = 1024
)

// Config configures a Server. Zero limits and timeouts select the defaults.
type Config struct {
	// Address is the IP address and port to listen on. For port 0 the system selects one.
	Address lagoonbarrow.Address
	// ReadToken and ChangeToken are the Bearer credentials. ChangeToken allows reads as
	// well. An empty token allows no access.
	ReadToken   string
	ChangeToken string
	Store       lagoonbarrow.ContractStore
	Contracts   lagoonbarrow.Contracts
	Claims      lagoonbarrow.Claims
	Roster      lagoonbarrow.Roster
	Transport   lagoonbarrow.Transport
	// Status returns the value that /v1/status encodes as JSON.
	Status func() any
	// Events returns the events of the timeline that match, oldest first.
	Events func(EventFilter) []event.Event
	// Metrics serves /metrics.
	Metrics fasthttp.RequestHandler
	// Healthy and Ready return an error that says why the node is not healthy or ready.
	// A nil function means that it is.
	Healthy func() error
	Ready   func() error
	// Recorder is unused, because Claims records settled claims itself. It can be
	// removed together with its last use in package node.
	Recorder lagoonbarrow.Recorder
	// Logger may be nil.
	Logger hclog.Logger
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// RequestTimeout limits the processing time of one request.
	RequestTimeout time.Duration
	// NodeTimeout limits the query to one node during a roll-out query.
	NodeTimeout time.Duration
	// RolloutWorkers is the number of nodes queried concurrently.
	RolloutWorkers int
}

// EventFilter selects events. Empty fields match all.
type EventFilter struct {
	Request         lagoonbarrow.RequestID
	Customer        lagoonbarrow.CustomerID
	ContractVersion lagoonbarrow.ContractVersion
	Since           time.Time
	// Limit is the maximum number of events to return. The latest events are returned.
	Limit int
}

func withDefaults(config Config) Config {
	if config.MaxConnections <= 0 {
		config.MaxConnections = DefaultMaxConnections
	}
	if config.RequestTimeout <= 0 {
		config.RequestTimeout = DefaultRequestTimeout
	}
	if config.NodeTimeout <= 0 {
		config.NodeTimeout = DefaultNodeTimeout
	}
	if config.RolloutWorkers <= 0 {
		config.RolloutWorkers = DefaultRolloutWorkers
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return config
}
