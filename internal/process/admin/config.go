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
	// DefaultRequestTimeout ends before the 10 s after which the operator
	// commands give up, so that they learn the outcome.
	DefaultRequestTimeout = 8 * time.Second
	DefaultNodeTimeout    = time.Second
	// DefaultRolloutWorkers allows for 1,560 silent nodes, an availability zone
	// of 7,800, within the request timeout.
	DefaultRolloutWorkers = 256
	// rolloutReuse is the time per live node for which an answer about a
	// roll-out is given again. The operator commands ask 10 times a second, which
	// at 7,800 nodes would be 78,000 messages a second.
	rolloutReuse = 250 * time.Microsecond
	// rolloutQueue bounds the nodes that wait to be asked, over all requests.
	rolloutQueue = 1024
)

// Config holds what a Server needs.
type Config struct {
	// Address is the listener's IP address and port; port 0 is chosen by the system.
	Address lagoonbarrow.Address
	// ReadToken and ChangeToken are the Bearer credentials. ChangeToken may read
	// as well. An empty token admits nobody.
	ReadToken   string
	ChangeToken string
	Store       lagoonbarrow.ContractStore
	Contracts   lagoonbarrow.Contracts
	Claims      lagoonbarrow.Claims
	Roster      lagoonbarrow.Roster
	Transport   lagoonbarrow.Transport
	// Status returns the value that /v1/status writes as JSON.
	Status func() any
	// Events returns the events of the time line that match, oldest first.
	Events func(EventFilter) []event.Event
	// Metrics serves /metrics.
	Metrics fasthttp.RequestHandler
	// Healthy and Ready return why the node is not; nil functions mean that it is.
	Healthy func() error
	Ready   func() error
	// Recorder is unused, because Claims records settled claims itself. It is to
	// be removed together with its last use in package node.
	Recorder lagoonbarrow.Recorder
	// Logger may be nil.
	Logger hclog.Logger
	// MaxConnections bounds the open connections.
	MaxConnections int
	// RequestTimeout bounds the work for one request.
	RequestTimeout time.Duration
	// NodeTimeout bounds the question to one node during a roll-out query.
	NodeTimeout time.Duration
	// RolloutWorkers is the number of nodes asked at once.
	RolloutWorkers int
}

// EventFilter selects events. Empty fields match all.
type EventFilter struct {
	Request         lagoonbarrow.RequestID
	Customer        lagoonbarrow.CustomerID
	ContractVersion lagoonbarrow.ContractVersion
	Since           time.Time
	// Limit is the largest number of events to return; the latest are kept.
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
