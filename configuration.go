package lagoonbarrow

import (
	"context"
	"crypto/sha256"
	"time"
)

// ConfigurationVersion orders the configurations of the call graph. The highest one applies.
type ConfigurationVersion uint64

// RouteName identifies a route of the configuration.
type RouteName string

// ServerID identifies one run of a backend server. A restarted server usually
// has a new id.
type ServerID string

// Configuration defines which requests the call graph serves, which services
// receive them and how important they are. It is immutable once it is in force.
type Configuration struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services []ServiceName
	// HealthPaths holds the path at which the servers of a service report their health.
	HealthPaths map[ServiceName]string
	Limits      RequestLimits
	// RequiresKey is set if clients have to send a key of a customer, except on public routes.
	RequiresKey bool
	Customers   []Customer
	// Encoded is the configuration as the operator wrote it.
	Encoded []byte
}

// RouteNames returns the names of all routes.
func (c *Configuration) RouteNames() map[RouteName]bool {
	names := map[RouteName]bool{}
	for i := range c.Routes {
		names[c.Routes[i].Name] = true
	}
	return names
}

// KeyHash is the SHA-256 hash of an API key.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key []byte) KeyHash {
	return sha256.Sum256(key)
}

// Customer is a customer whose requests a configuration admits.
type Customer struct {
	ID        CustomerID
	KeyHashes []KeyHash
	// Importance precedes that of the route if HasImportance is set.
	Importance    Importance
	HasImportance bool
	// RequestsPerSecond is the rate that all nodes together admit; 0 admits any rate.
	RequestsPerSecond float64
	// BurstRequests is the number of requests that may be admitted in one burst.
	BurstRequests float64
}

// Limited reports whether the customer's rate is limited.
func (c *Customer) Limited() bool {
	return c.RequestsPerSecond > 0
}

// Priority returns the priority of one of the customer's requests.
func (c *Customer) Priority(route Importance, requestHash uint64) Priority {
	level := route
	if c.HasImportance {
		level = c.Importance
	}
	return NewCustomerPriority(level, route, requestHash)
}

// RequestLimits bounds the requests and connections of a client.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int
	// IdleTimeout is the maximum time that a client's connection may be idle.
	IdleTimeout time.Duration
}

// Route defines how the requests of one host and path prefix are handled.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Public routes serve requests without a key.
	Public bool
	// Importance decides which requests are shed first.
	Importance Importance
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// TargetLatency is the latency within which an answer has its full value.
	TargetLatency time.Duration
	// MaxServers is the maximum number of backend servers that one request is sent to.
	MaxServers int
	// Shares distribute the requests over services; there is at least one.
	Shares []RouteShare
}

// RouteShare is the part of a route's requests that one service receives.
type RouteShare struct {
	Service ServiceName
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// ServerState is the state that a backend server reports.
type ServerState string

// The states of a backend server. Only ready servers receive new work.
const (
	ServerReady    ServerState = "ready"
	ServerDraining ServerState = "draining"
)

// Heartbeat is one report of a backend server to the node beside it.
type Heartbeat struct {
	ID      ServerID
	Service ServiceName
	Zone    Zone
	Address Address
	Release string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	State ServerState
	// Sequence increases with each heartbeat of one run of a server.
	Sequence uint64
	// Started is the start time of the server. It orders the runs of a server.
	Started time.Time
	// ColdRemaining is the remaining time during which the server is slow after its start.
	ColdRemaining time.Duration
}

// Departure states that a run of a backend server leaves or has left.
type Departure struct {
	Server ServerID
	// Started is the start time of the run, or zero if it isn't known.
	Started time.Time
	LeftAt  time.Time
	// AllRuns is set if the server has named its id only: all of its runs that started up to
	// LeftAt have left, also those that were not heard of.
	AllRuns bool
}

// States reports whether the departure says all that another one says.
func (d Departure) States(other Departure) bool {
	if d.Server != other.Server || !d.Started.Equal(other.Started) {
		return false
	}
	return !other.AllRuns || d.AllRuns && !other.LeftAt.After(d.LeftAt)
}

// HeartbeatHandler receives the reports of the backend server beside this node.
type HeartbeatHandler interface {
	// HandleHeartbeat processes a report. It returns ErrInvalid for a report that can't be
	// from the server beside this node, and ignores reports that are out of order. If the
	// server says that it leaves, it returns ErrUnavailable unless that is recorded where it
	// outlasts the process. The server then reports again.
	HandleHeartbeat(heartbeat Heartbeat) error
	// Leave marks the server with this id as having left. It returns ErrUnavailable like
	// HandleHeartbeat.
	Leave(id ServerID) error
}

// ServerHeaders names the HTTP headers between nodes, clients and backend
// servers. A header whose name is empty is not used.
type ServerHeaders struct {
	// RequestID holds the id of one attempt of a client. Servers echo it.
	RequestID string
	// Deadline holds the remaining time of the request in milliseconds.
	Deadline string
	// ExpectedServer holds the id of the server that may run the request. Others refuse it.
	ExpectedServer string
	// Customer holds the id of the customer that a request belongs to.
	Customer string
	// CallerService holds the service of the node that accepted the request.
	CallerService string
	// NotRun marks answers to requests that were not run.
	NotRun string
	// Signature is set by servers on all their answers.
	Signature string
	// Limit holds the requests a second that a server accepts from all nodes together.
	Limit string
	// Leaving marks the answers of a server that leaves.
	Leaving string
	// ServerID holds the id of the server in its answers at the health path.
	ServerID string
}

// Change is a row of a table that was written or deleted.
type Change struct {
	Row     Row
	Deleted bool
}

// ChangeFeed reads the platform's tables and their changes.
type ChangeFeed interface {
	// Rows returns all rows of a table and the version at which they were read.
	Rows(ctx context.Context, table string) ([]Row, RowVersion, error)
	// Changes waits up to the given time for changes after a version, and returns
	// them in order with the version to continue from. It returns ErrHistoryLost
	// if the platform no longer has all changes after that version.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration) ([]Change, RowVersion, error)
}

// RowStore is the part of the platform's store that nodes use: rows, conditional
// writes and a feed of changes.
type RowStore interface {
	ChangeFeed
	// Put performs one conditional write and returns the row's new version. It
	// returns ErrConflict, ErrUnavailable if nothing was done, or ErrOutcomeUnknown.
	Put(ctx context.Context, write Write) (RowVersion, error)
}
