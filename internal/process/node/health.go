package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/panics"
	"lagoonbarrow/pkg/event"
)

const (
	// healthInterval is the time between two probes of the backend server.
	healthInterval = 500 * time.Millisecond
	// healthTimeout bounds one probe.
	healthTimeout = 2 * time.Second
	// failureThreshold is the number of failed probes in a row after which the backend
	// server counts as down. A timeout doesn't count: health endpoints are slow under
	// load, and removing loaded instances would move their load to the others.
	failureThreshold = 3
)

// startHealth starts the loop that updates the node's readiness from the state of
// the contracts, the members and the backend server.
func (n *Node) startHealth() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stopHealth = cancel
	n.healthEnded.Add(1)
	go func() {
		defer n.healthEnded.Done()
		panics.NewReporter(n.logger).Run(ctx, "health", n.watchHealth)
	}()
}

// healthState is the state of the health loop.
type healthState struct {
	failedProbes int
	up           bool
	ready        bool
}

func (n *Node) watchHealth(ctx context.Context) {
	var state healthState
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		n.checkHealth(ctx, &state)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) checkHealth(ctx context.Context, state *healthState) {
	probeCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	err := n.backend.Probe(probeCtx)
	cancel()
	n.recordProbe(state, err)
	ready := state.up && n.registry.Ready() && n.roster.Ready()
	if ready == state.ready || ctx.Err() != nil {
		return
	}
	state.ready = ready
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

func (n *Node) recordProbe(state *healthState, err error) {
	if err == nil {
		state.failedProbes = 0
		if !state.up {
			state.up = true
			n.timeline.Record(event.BackendUp, event.Fields{})
		}
		return
	}
	if timedOut(err) {
		return
	}
	state.failedProbes++
	if state.up && state.failedProbes >= failureThreshold {
		state.up = false
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
