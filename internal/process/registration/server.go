// Package registration tracks the backend server beside this node by its heartbeats
// and maintains this node's row in the platform's store.
package registration

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// Server is the backend server beside this node.
type Server struct {
	ID      lagoonbarrow.ServerID
	Service lagoonbarrow.ServiceName
	Slots   int
	Started time.Time
	// Left is set when the server has announced that it leaves, or has left.
	Left bool
	// AllLeftAt is when the server has named its id only, so that all of its runs have left. It
	// is zero otherwise.
	AllLeftAt time.Time
}

// Config configures a Registration.
type Config struct {
	Service           lagoonbarrow.ServiceName
	Address           lagoonbarrow.Address
	HeartbeatInterval time.Duration
	// AwaitDepartures is set if SetDeparturesKnown will be called. Until then no server is ready
	// and OnChange is not called.
	AwaitDepartures bool
	// Verify asks a server whether it leaves, and calls report once. It must return at once. If
	// it is nil, servers are not asked.
	Verify func(server lagoonbarrow.ServerID, report func(verdict Verdict))
	// OnChange is called with the current server, or one that left before the first heartbeat,
	// and whether it may receive work.
	OnChange func(server Server, ready bool)
	Logger   hclog.Logger
	// Now returns the current time. The default is time.Now.
	Now func() time.Time
}

// Registration holds the state of the backend server.
type Registration struct {
	config Config

	mu sync.Mutex
	// heartbeatInterval is the usual time between two heartbeats.
	heartbeatInterval time.Duration
	// latest is the newest heartbeat. Its ID is empty before the first.
	latest     lagoonbarrow.Heartbeat
	receivedAt time.Time
	// hasLeft is set when the latest server has left, or another one answers at its
	// address.
	hasLeft bool
	// unreachable is set when no connection to the server can be opened or it gives no
	// answers. The next heartbeat clears it.
	unreachable bool
	// earlier holds the last heartbeats of the runs that were present before.
	earlier   []lagoonbarrow.Heartbeat
	candidate candidate
	// departed holds the runs that left most recently. A late heartbeat of such a run must not
	// make it current again.
	departed []departedRun
	// departuresKnown is set once the departures from before this process are known.
	departuresKnown bool
	verification    verification
	ready           bool
	// published is the server of the last call of OnChange.
	published Server
}

const (
	// maxDeparted bounds the departed servers that are kept.
	maxDeparted = 16
	// maxHeartbeatDelay is how late a heartbeat may arrive. A server whose start time is
	// not known stays departed for this time unless it has started again.
	maxHeartbeatDelay = 30 * time.Second
)

// New returns a registration that has no server yet.
func New(config Config) *Registration {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Registration{
		config:            config,
		heartbeatInterval: config.HeartbeatInterval,
		departuresKnown:   !config.AwaitDepartures,
		verification: verification{
			done: config.Verify == nil,
		},
	}
}

// SetDeparturesKnown states that RestoreDeparture was called with what earlier processes of
// this node have recorded, so that a server may be ready.
func (r *Registration) SetDeparturesKnown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departuresKnown = true
	r.publish("departures known")
}

// SetHeartbeatInterval changes the usual time between two heartbeats.
func (r *Registration) SetHeartbeatInterval(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heartbeatInterval = interval
}

// Current returns the server and whether it may receive new work.
func (r *Registration) Current() (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server(), r.ready
}

// HasPublished reports whether OnChange was called last with a server that has departed so.
func (r *Registration) HasPublished(departed lagoonbarrow.Departure) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	published := lagoonbarrow.Departure{
		Server:  r.published.ID,
		Started: r.published.Started,
		LeftAt:  r.published.AllLeftAt,
		AllRuns: !r.published.AllLeftAt.IsZero(),
	}
	return r.published.Left && published.States(departed)
}

// publicServer returns the server for OnChange. Before the first heartbeat it is the server
// that has left last.
func (r *Registration) publicServer() Server {
	if r.latest.ID != "" || len(r.departed) == 0 {
		return r.server()
	}
	last := r.departed[len(r.departed)-1]
	return Server{
		ID:        last.Server,
		Service:   r.config.Service,
		Slots:     1,
		Started:   last.Started,
		Left:      true,
		AllLeftAt: r.allLeftAt(last.Server),
	}
}

func (r *Registration) server() Server {
	server := Server{
		ID:      r.latest.ID,
		Service: r.latest.Service,
		Slots:   r.latest.Slots,
		Started: r.latest.Started,
		Left:    r.hasLeft || r.latest.State == lagoonbarrow.ServerDraining,
	}
	if server.Left {
		server.AllLeftAt = r.allLeftAt(server.ID)
	}
	return server
}

// HandleHeartbeat processes a heartbeat of the server. It returns ErrInvalid for one of
// another server and ErrOrderUnknown for one of a run that may not be the present one, and
// ignores old ones of a run that is known.
func (r *Registration) HandleHeartbeat(heartbeat lagoonbarrow.Heartbeat) error {
	if heartbeat.Service != r.config.Service || heartbeat.Address != r.config.Address {
		r.config.Logger.Warn("refused a heartbeat of another server", "server", heartbeat.ID, "service", heartbeat.Service, "address", heartbeat.Address)
		return errors.Wrap(lagoonbarrow.ErrInvalid, "registration: heartbeat of another server")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.order(heartbeat) {
	case orderLate:
		r.logHeartbeat("ignored a late heartbeat", heartbeat)
		return nil
	case orderUnknown:
		r.logHeartbeat("refused a heartbeat of a run whose order is not known", heartbeat)
		r.setCandidate(heartbeat)
		return errors.Wrap(lagoonbarrow.ErrOrderUnknown, "registration: heartbeat of another run")
	case orderNewer:
	}
	if !isSameRun(heartbeat, r.latest) {
		r.replace(heartbeat)
	}
	r.latest = heartbeat
	r.unreachable = false
	r.receivedAt = r.config.Now()
	r.publish("heartbeat")
	r.verify()
	return nil
}

// logHeartbeat logs a heartbeat that changes nothing, with what it was compared to.
func (r *Registration) logHeartbeat(message string, heartbeat lagoonbarrow.Heartbeat) {
	r.config.Logger.Info(message, "server", heartbeat.ID, "started", heartbeat.Started, "sequence", heartbeat.Sequence, "state", heartbeat.State,
		"present", r.latest.ID, "present-started", r.latest.Started, "present-sequence", r.latest.Sequence)
}

// MarkReplaced records that another server answers at the address of the server with
// this id.
func (r *Registration) MarkReplaced(id lagoonbarrow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.latest.ID || r.hasLeft {
		return
	}
	r.hasLeft = true
	r.publish("another server answers")
}

// MarkUnreachable records that the server with this id can't be reached or gives no
// answers. It receives no work until its next heartbeat.
func (r *Registration) MarkUnreachable(id lagoonbarrow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.latest.ID || r.unreachable {
		return
	}
	r.unreachable = true
	r.publish("unreachable")
}

// publish computes whether the server is ready and calls OnChange. The caller holds
// the mutex.
func (r *Registration) publish(cause string) {
	if !r.departuresKnown {
		return
	}
	ready := r.verification.done && !r.hasLeft && !r.unreachable && r.latest.State == lagoonbarrow.ServerReady
	if ready != r.ready {
		r.config.Logger.Info("the backend server changed its state", "server", r.latest.ID, "ready", ready, "sequence", r.latest.Sequence, "cause", cause)
	}
	r.ready = ready
	r.published = r.publicServer()
	if r.published.ID != "" {
		r.config.OnChange(r.published, ready)
	}
}
