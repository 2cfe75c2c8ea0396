package registration

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

type clock struct {
	now time.Time
}

func newRegistration() (*Registration, *clock) {
	c := &clock{
		now: time.Unix(1000, 0),
	}
	registration := New(Config{
		Service:           "alpha",
		Address:           "10.0.0.1:80",
		HeartbeatInterval: time.Second,
		Changed:           func(Server, bool) {},
		Logger:            hclog.NewNullLogger(),
		Now:               func() time.Time { return c.now },
	})
	return registration, c
}

func beat(id lagoonbarrow.ServerID, started int64, sequence uint64, state lagoonbarrow.ServerState) lagoonbarrow.Heartbeat {
	return lagoonbarrow.Heartbeat{
		ID:       id,
		Service:  "alpha",
		Address:  "10.0.0.1:80",
		Slots:    10,
		State:    state,
		Sequence: sequence,
		Started:  time.Unix(started, 0),
	}
}

// Guards against a server that is leaving or gone and gets new work again because
// of a late heartbeat, and against a new one that gets none.
func TestHeartbeatsInAnyOrder(t *testing.T) {
	const (
		ready    = lagoonbarrow.ServerReady
		draining = lagoonbarrow.ServerDraining
	)
	rows := []struct {
		name  string
		steps func(r *Registration, c *clock)
		id    lagoonbarrow.ServerID
		ready bool
	}{
		{"a late heartbeat of a draining server", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			_ = r.Heartbeat(beat("a", 1, 3, draining))
			_ = r.Heartbeat(beat("a", 1, 2, ready))
		}, "a", false},
		{"a heartbeat after the server has left", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			r.Leave("a")
			_ = r.Heartbeat(beat("a", 1, 2, ready))
		}, "a", false},
		{"the next server", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 9, draining))
			r.Leave("a")
			_ = r.Heartbeat(beat("b", 2, 1, ready))
		}, "b", true},
		{"a late heartbeat of the server before", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("b", 2, 1, ready))
			_ = r.Heartbeat(beat("a", 1, 9, draining))
		}, "b", true},
		{"a late leave of the server before", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("b", 2, 1, ready))
			r.Leave("a")
		}, "b", true},
		{"the same id started again", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 9, draining))
			_ = r.Heartbeat(beat("a", 2, 1, ready))
		}, "a", true},
		{"the same id started again after it has left", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 9, ready))
			r.Leave("a")
			_ = r.Heartbeat(beat("a", 2, 1, ready))
		}, "a", true},
		{"a start with an earlier time after the clock was set back", func(r *Registration, c *clock) {
			_ = r.Heartbeat(beat("a", 10, 1, ready))
			c.now = c.now.Add(3 * time.Second)
			_ = r.Heartbeat(beat("b", 8, 1, ready))
		}, "b", true},
		{"another server answers", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			r.Replaced("a")
		}, "a", false},
		{"no connection", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			r.Unreachable("a")
		}, "a", false},
		{"a heartbeat after no connection", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			r.Unreachable("a")
			_ = r.Heartbeat(beat("a", 1, 2, ready))
		}, "a", true},
		{"no connection to the server before", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("b", 2, 1, ready))
			r.Unreachable("a")
		}, "b", true},
		{"a heartbeat of the server that was replaced", func(r *Registration, _ *clock) {
			_ = r.Heartbeat(beat("a", 1, 1, ready))
			r.Replaced("a")
			_ = r.Heartbeat(beat("a", 1, 2, ready))
		}, "a", false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			registration, c := newRegistration()
			row.steps(registration, c)
			server, ready := registration.Current()
			if server.ID != row.id || ready != row.ready {
				t.Fatalf("server %q ready %t, want %q %t", server.ID, ready, row.id, row.ready)
			}
		})
	}
}

// Guards against heartbeats that another service's server sends to this node.
func TestHeartbeatsOfOthersAreRefused(t *testing.T) {
	registration, _ := newRegistration()
	other := beat("a", 1, 1, lagoonbarrow.ServerReady)
	other.Service = "beta"
	elsewhere := beat("a", 1, 1, lagoonbarrow.ServerReady)
	elsewhere.Address = "10.0.0.2:80"
	for _, heartbeat := range []lagoonbarrow.Heartbeat{other, elsewhere} {
		if err := registration.Heartbeat(heartbeat); !errors.Is(err, lagoonbarrow.ErrInvalid) {
			t.Fatalf("error %v", err)
		}
	}
	if _, ready := registration.Current(); ready {
		t.Fatal("a server of another service is ready")
	}
}
