package lagoonbarrow

import (
	"context"
	"time"
)

// ConfigurationVersion orders the configurations of the call graph; higher wins.
type ConfigurationVersion uint64

// RouteName names a route of the configuration.
type RouteName string

// ServerID names one start of a backend server. A server that is started again
// usually has a new id.
type ServerID string

// Configuration states which requests the call graph serves, where they go and
// which of them matter most. It is immutable once it is in force.
type Configuration struct {
	Version  ConfigurationVersion
	Routes   []Route
	Services []ServiceName
	Limits   RequestLimits
}

// RouteNames returns the names of all routes.
func (c *Configuration) RouteNames() map[RouteName]bool {
	names := map[RouteName]bool{}
	for i := range c.Routes {
		names[c.Routes[i].Name] = true
	}
	return names
}

// RequestLimits bound what a client may send.
type RequestLimits struct {
	HeaderBytes int
	BodyBytes   int
	// IdleTimeout is how long a client's connection may be unused.
	IdleTimeout time.Duration
}

// Route tells how the requests of one host and path prefix are handled.
type Route struct {
	Name RouteName
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Importance decides which requests are shed first.
	Importance Importance
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer is of full use.
	Objective time.Duration
	// MaxServers is the number of backend servers that one request may be sent to.
	MaxServers int
	// Shares distribute the requests over services; there is at least one.
	Shares []RouteShare
}

// RouteShare is the part of a route's requests that one service gets.
type RouteShare struct {
	Service ServiceName
	// Weight is relative to the sum of the route's weights.
	Weight float64
}

// ServerState is what a backend server says of itself.
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
	// Sequence increases with each heartbeat of one start of a server.
	Sequence uint64
	// Started is when the server was started. It orders the starts of servers.
	Started time.Time
	// ColdRemaining is how much longer the server stays slow after its start.
	ColdRemaining time.Duration
}

// Heartbeats takes the reports of the backend server beside this node.
type Heartbeats interface {
	// Heartbeat takes a report. It returns ErrInvalid for one that can't be from
	// the server beside this node. Reports that are out of order change nothing.
	Heartbeat(heartbeat Heartbeat) error
	// Leave notes that the server of this id ends.
	Leave(id ServerID)
}

// ServerHeaders names the HTTP headers between nodes, clients and backend
// servers. A header whose name is empty is not used.
type ServerHeaders struct {
	// RequestID holds the id of one attempt of a client; servers echo it.
	RequestID string
	// Deadline holds the milliseconds that the client still waits.
	Deadline string
	// ExpectedServer makes every server of another id refuse the request.
	ExpectedServer string
	// CallerService names the service beside the node where the request began.
	CallerService string
	// NotRun marks answers to requests that were not run.
	NotRun string
	// Signature is set by servers on all their answers.
	Signature string
}

// Change is a row of a table that was written or deleted.
type Change struct {
	Row     Row
	Deleted bool
}

// ChangeFeed tells of the changes of the platform's tables.
type ChangeFeed interface {
	// Rows returns all rows of a table and the version at which they were read.
	Rows(ctx context.Context, table string) ([]Row, RowVersion, error)
	// Changes waits for changes after a version, for the given time at most, and
	// returns them in order with the version to continue from. It returns
	// ErrHistoryLost when the changes are no longer known.
	Changes(ctx context.Context, table string, after RowVersion, wait time.Duration) ([]Change, RowVersion, error)
}

// RowStore is the platform's store as nodes use it: rows, conditional writes and
// a feed of changes.
type RowStore interface {
	ChangeFeed
	// Put makes one conditional write and returns the row's new version. It returns
	// ErrConflict, ErrUnavailable when nothing was done, or ErrOutcomeUnknown.
	Put(ctx context.Context, write Write) (RowVersion, error)
}
