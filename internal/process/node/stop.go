package node

import (
	"context"
	"net"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/backoff"
	"lagoonbarrow/pkg/event"
)

const (
	// drainTime is how long customers' connections are still served after the
	// stop began, with answers that ask them to reconnect elsewhere. It covers
	// load balancers that check /readyz every half second.
	drainTime = time.Second
	// stopPollInterval is the time between two checks for calls in flight.
	stopPollInterval = 10 * time.Millisecond
)

// Stop stops gracefully. It refuses new work at once, waits until all calls in flight
// have ended and then stops the parts. The wait is bounded by the stop-timeout setting.
func (n *Node) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.StopTimeout)
	defer cancel()
	n.timeline.Record(event.NodeStopping, event.Fields{})
	n.stopHealth()
	n.healthEnded.Wait()
	n.handler.RefuseNewCalls()
	n.roster.Leave(ctx)
	n.stopEntry(ctx)
	n.waitForCalls(ctx)
	n.stopParts(ctx)
	n.timeline.Record(event.NodeStopped, event.Fields{})
}

func (n *Node) stopEntry(ctx context.Context) {
	if n.customers == nil {
		return
	}
	n.customers.Drain()
	backoff.Pause(ctx, drainTime)
	if err := n.customers.Stop(ctx); err != nil {
		n.logger.Warn("entry listener stopped with requests in progress", "error", err)
	}
}

func (n *Node) waitForCalls(ctx context.Context) {
	for n.handler.InFlight() > 0 {
		if ctx.Err() != nil {
			n.timeline.Record(event.StopTimeout, event.Fields{})
			return
		}
		backoff.Pause(ctx, stopPollInterval)
	}
}

func (n *Node) stopParts(ctx context.Context) {
	n.logStopError("peer server", n.server.Stop(ctx))
	n.logStopError("local listener", n.local.Stop(ctx))
	n.caller.Stop()
	n.quota.Stop()
	n.distributor.Stop()
	n.roster.Stop()
	n.logStopError("claims", n.claims.Stop())
	n.gate.Stop()
	n.transport.Close()
	n.backend.Close()
	n.logStopError("platform client", n.platform.Stop())
	n.logStopError("administration API", n.admin.Stop(ctx))
	n.logStopError("metrics", n.metrics.Close())
}

func (n *Node) logStopError(part string, err error) {
	if err != nil {
		n.logger.Warn("part did not stop cleanly", "part", part, "error", err)
	}
}

// warnOpenListeners records listeners that accept connections on all addresses.
func (n *Node) warnOpenListeners() {
	addresses := []lagoonbarrow.Address{
		n.settings.EntryAddress,
		n.settings.LocalAddress,
		n.settings.PeerAddress,
		n.settings.AdminAddress,
	}
	for _, address := range addresses {
		host, _, err := net.SplitHostPort(string(address))
		if err != nil || !net.ParseIP(host).IsUnspecified() {
			continue
		}
		n.timeline.Record(event.ListenerOpenToAll, event.Fields{
			Detail: string(address),
		})
	}
}
