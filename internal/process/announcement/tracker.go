// Package announcement holds what the backend server beside this node says about itself
// in its answers: the requests a second that it accepts, and that it leaves.
//
// Only this node can reach the server, so it enforces both. It loses them when it
// starts again, while other nodes still know what they have passed on to their clients.
// They send it with their calls, and this node adopts it until the server itself answers.
package announcement

import (
	"fmt"
	"sync"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/logging"
	"lagoonbarrow/pkg/event"
)

// Config configures a Tracker.
type Config struct {
	// OnLimit is called when the limit of the current server changes.
	OnLimit func(limited bool, limit lagoonbarrow.RequestsPerSecond)
	// OnLeaving is called when a server announces that it leaves. It may be called again
	// for the same server.
	OnLeaving func(server lagoonbarrow.ServerID, started time.Time)
	Recorder  lagoonbarrow.Recorder
}

// Tracker holds the announcements of one server at a time. Its lock is held during
// OnLimit, which must not call the tracker.
type Tracker struct {
	config   Config
	throttle logging.Throttle

	mu      sync.Mutex
	current lagoonbarrow.Announcement
	// heard is set once the current server itself has answered.
	heard bool
}

// New returns a tracker without a server.
func New(config Config) *Tracker {
	return &Tracker{
		config: config,
	}
}

// SetServer discards what another server, or an earlier lifetime of the server, has announced.
func (t *Tracker) SetServer(server lagoonbarrow.ServerID, started time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.current.IsFrom(server, started) {
		return
	}
	t.setLimit(false, 0, "another server")
	t.current = lagoonbarrow.Announcement{
		Server:  server,
		Started: started,
	}
	t.heard = false
}

// Observe processes the announcement in an answer of a server. The newest answer decides; one
// with a malformed limit leaves the limit as it is.
func (t *Tracker) Observe(answered lagoonbarrow.Announcement) {
	if answered.Leaving {
		t.config.OnLeaving(answered.Server, answered.Started)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.current.IsFrom(answered.Server, answered.Started) {
		return
	}
	if answered.Malformed {
		t.record("a malformed limit was ignored")
		return
	}
	t.heard = true
	t.setLimit(answered.Limited, answered.Limit, "answer")
}

// Adopt processes an announcement that another node has passed on to a client. This node may
// have started again since. Of several limits the lowest applies until the server answers.
func (t *Tracker) Adopt(passedOn lagoonbarrow.Announcement) {
	if passedOn.Leaving {
		t.config.OnLeaving(passedOn.Server, passedOn.Started)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heard || !passedOn.Limited || !t.current.IsFrom(passedOn.Server, passedOn.Started) {
		return
	}
	if !passedOn.Valid() {
		t.record("a malformed limit of another node was ignored")
		return
	}
	if t.current.Limited && t.current.Limit <= passedOn.Limit {
		return
	}
	t.setLimit(true, passedOn.Limit, "another node")
}

// Current returns the announcement of the current server.
func (t *Tracker) Current() lagoonbarrow.Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current
}

// setLimit changes the limit. The caller holds the mutex.
func (t *Tracker) setLimit(limited bool, limit lagoonbarrow.RequestsPerSecond, cause string) {
	if limited == t.current.Limited && limit == t.current.Limit {
		return
	}
	t.current.Limited = limited
	t.current.Limit = limit
	t.config.OnLimit(limited, limit)
	t.record(cause)
}

// record records the limit in force, once a second at most. The caller holds the mutex.
func (t *Tracker) record(cause string) {
	count, allowed := t.throttle.Next()
	if !allowed {
		return
	}
	t.config.Recorder.Record(event.ServerLimitChanged, event.Fields{
		Detail: fmt.Sprintf("server=%s limited=%t limit=%g cause=%q changes=%d", t.current.Server, t.current.Limited, t.current.Limit, cause, count),
	})
}
