package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

const (
	// healthInterval is the time between two looks at the backend server.
	healthInterval = 500 * time.Millisecond
	// healthTimeout bounds one look.
	healthTimeout = 2 * time.Second
	// failedProbes in a row take the backend server for down. A timeout doesn't
	// count: health endpoints are slow under load, and taking loaded instances
	// out would push their load onto the rest.
	failedProbes = 3
)

// startHealth keeps the node's readiness in step with contracts, members and
// backend server.
func (n *Node) startHealth() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopHealth = cancel
	n.healthEnded.Add(1)
	go func() {
		defer n.healthEnded.Done()
		n.watchHealth(ctx)
	}()
}

// health is what the health loop knows.
type health struct {
	failed int
	up     bool
	ready  bool
}

func (n *Node) watchHealth(ctx context.Context) {
	var known health
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		n.checkHealth(ctx, &known)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) checkHealth(ctx context.Context, known *health) {
	probing, cancel := context.WithTimeout(ctx, healthTimeout)
	err := n.backend.Probe(probing)
	cancel()
	n.noteProbe(known, err)
	ready := known.up && n.registry.Ready() && n.roster.Ready()
	if ready == known.ready || ctx.Err() != nil {
		return
	}
	known.ready = ready
	n.handler.SetReady(ready)
	if !ready {
		n.announced.Store(false)
		n.roster.SetState(lagoonbarrow.StateStarting)
		return
	}
	n.roster.AnnounceReady(ctx)
	n.announced.Store(true)
	n.timeline.Record(event.NodeReady, event.Fields{})
}

func (n *Node) noteProbe(known *health, err error) {
	if err == nil {
		known.failed = 0
		if !known.up {
			known.up = true
			n.timeline.Record(event.BackendUp, event.Fields{})
		}
		return
	}
	if timedOut(err) {
		return
	}
	known.failed++
	if known.up && known.failed >= failedProbes {
		known.up = false
		n.timeline.Record(event.BackendDown, event.Fields{
			Detail: err.Error(),
		})
	}
}

func timedOut(err error) bool {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return true
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, lagoonbarrow.ErrDeadline)
}
