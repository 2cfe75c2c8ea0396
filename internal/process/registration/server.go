// Package registration knows the backend server beside this node from its
// heartbeats, and keeps this node's row in the platform's store.
package registration

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// heartbeatsMissed is the number of heartbeat intervals after which the present
// start of the server may be followed by one whose clock is behind. Before that, a
// heartbeat with an earlier start is a late one.
const heartbeatsMissed = 2

// Server is the backend server beside this node.
type Server struct {
	ID      lagoonbarrow.ServerID
	Service lagoonbarrow.ServiceName
	Slots   int
}

// Config configures a Registration.
type Config struct {
	Service           lagoonbarrow.ServiceName
	Address           lagoonbarrow.Address
	HeartbeatInterval time.Duration
	// Changed is told the present server, or that there is none that may receive work.
	Changed func(server Server, ready bool)
	Logger  hclog.Logger
	// Now tells the time; time.Now by default.
	Now func() time.Time
}

// Registration holds the state of the backend server. It implements
// lagoonbarrow.Heartbeats.
type Registration struct {
	config Config

	mu sync.Mutex
	// interval is the usual time between two heartbeats.
	interval time.Duration
	// last is the newest heartbeat; its ID is empty before the first.
	last    lagoonbarrow.Heartbeat
	heardAt time.Time
	// left is set when the last server has said that it ends, or was found to be
	// replaced by another one.
	left bool
	// down is set when no connection to the server could be opened, or it gave no
	// answers, until its next heartbeat.
	down bool
	// ended holds the last ids that have left, so that late heartbeats of theirs don't
	// bring them back.
	ended []lagoonbarrow.ServerID
	ready bool
}

// endedKept bounds the remembered ids of ended servers.
const endedKept = 16

var _ lagoonbarrow.Heartbeats = (*Registration)(nil)

// New returns a registration without a server.
func New(config Config) *Registration {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Registration{
		config:   config,
		interval: config.HeartbeatInterval,
	}
}

// SetHeartbeatInterval changes the usual time between two heartbeats.
func (r *Registration) SetHeartbeatInterval(interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interval = interval
}

// Current returns the server that may receive new work.
func (r *Registration) Current() (Server, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.server(), r.ready
}

func (r *Registration) server() Server {
	return Server{
		ID:      r.last.ID,
		Service: r.last.Service,
		Slots:   r.last.Slots,
	}
}

// Heartbeat takes a report of the server.
func (r *Registration) Heartbeat(heartbeat lagoonbarrow.Heartbeat) error {
	if heartbeat.Service != r.config.Service || heartbeat.Address != r.config.Address {
		r.config.Logger.Warn("refused a heartbeat of another server", "server", heartbeat.ID, "service", heartbeat.Service, "address", heartbeat.Address)
		return errors.Wrap(lagoonbarrow.ErrInvalid, "registration: heartbeat of another server")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.follows(heartbeat) {
		r.config.Logger.Info("ignored a late heartbeat", "server", heartbeat.ID, "sequence", heartbeat.Sequence, "present", r.last.ID, "present-sequence", r.last.Sequence)
		return nil
	}
	if heartbeat.ID != r.last.ID || !heartbeat.Started.Equal(r.last.Started) {
		r.config.Logger.Info("a backend server started", "server", heartbeat.ID, "before", r.last.ID, "slots", heartbeat.Slots)
		r.left = false
	}
	r.last = heartbeat
	r.down = false
	r.heardAt = r.config.Now()
	r.publish("heartbeat")
	return nil
}

// follows reports whether a heartbeat is newer than what is known.
func (r *Registration) follows(heartbeat lagoonbarrow.Heartbeat) bool {
	if r.last.ID == "" {
		return true
	}
	sameStart := heartbeat.ID == r.last.ID && heartbeat.Started.Equal(r.last.Started)
	if sameStart {
		return !r.left && heartbeat.Sequence > r.last.Sequence
	}
	if heartbeat.ID != r.last.ID && slices.Contains(r.ended, heartbeat.ID) {
		return heartbeat.Started.After(r.last.Started)
	}
	if heartbeat.Started.After(r.last.Started) {
		return true
	}
	// The clock may have been set back between two starts.
	silent := r.config.Now().Sub(r.heardAt) > heartbeatsMissed*r.interval
	return heartbeat.ID != r.last.ID && (r.left || silent)
}

// Leave notes that the server of this id ends.
func (r *Registration) Leave(id lagoonbarrow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(id)
	if id == r.last.ID {
		r.left = true
		r.publish("leave")
	}
}

// Replaced notes that another server answers at the address of this id.
func (r *Registration) Replaced(id lagoonbarrow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.last.ID || r.left {
		return
	}
	r.left = true
	r.publish("another server answers")
}

// Unreachable notes that the server of this id can't be reached or gives no
// answers. It gets no work until its next heartbeat.
func (r *Registration) Unreachable(id lagoonbarrow.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.last.ID || r.down {
		return
	}
	r.down = true
	r.publish("unreachable")
}

func (r *Registration) end(id lagoonbarrow.ServerID) {
	r.ended = append(r.ended, id)
	if len(r.ended) > endedKept {
		r.ended = r.ended[1:]
	}
}

// publish tells of a change of the state. The caller holds the mutex.
func (r *Registration) publish(cause string) {
	ready := !r.left && !r.down && r.last.State == lagoonbarrow.ServerReady
	if ready != r.ready {
		r.config.Logger.Info("the backend server changed its state", "server", r.last.ID, "ready", ready, "sequence", r.last.Sequence, "cause", cause)
	}
	r.ready = ready
	r.config.Changed(r.server(), ready)
}
