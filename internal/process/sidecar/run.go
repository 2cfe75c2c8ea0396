package sidecar

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow/internal/process/backoff"
	"lagoonbarrow/internal/process/shutdown"
	"lagoonbarrow/pkg/event"
)

const (
	// readinessDelay is how long clients may take to detect that a node is no longer
	// ready: two checks, one second apart.
	readinessDelay = 2500 * time.Millisecond
	// clientIdleTime without a request ends the wait for clients early.
	clientIdleTime = 500 * time.Millisecond
	// stopPollInterval is the time between two checks for requests in progress.
	stopPollInterval = 20 * time.Millisecond
	// closeTimeout bounds closing the listeners once nothing is in progress.
	closeTimeout = 200 * time.Millisecond
)

// Start starts all parts. Requests are refused as not run until a configuration
// and the instances are known.
func (s *Sidecar) Start(ctx context.Context) error {
	s.timeline.Record(event.NodeStarted, event.Fields{
		Detail: string(s.settings.Service) + " in " + string(s.settings.Zone),
	})
	for _, listener := range []*controlListener{s.heartbeatListener, s.readinessListener, s.metricsListener} {
		if err := listener.start(); err != nil {
			return err
		}
	}
	if _, err := s.requests.Start(); err != nil {
		return err
	}
	s.rowWriter.Start()
	s.rowRemover.Start()
	for _, f := range s.followers {
		f.Start()
	}
	key, err := s.peerKey.wait(ctx)
	if err != nil {
		return err
	}
	if err := s.buildPeers(key); err != nil {
		return err
	}
	if _, err := s.server.Start(); err != nil {
		return errors.Wrap(err, "sidecar: start peer server")
	}
	s.peerKey.active.Store(true)
	s.exchange.Start()
	s.departureQuery.Start()
	s.customerLimits.Start()
	return nil
}

// serveReady answers 200 while this node accepts requests.
func (s *Sidecar) serveReady(ctx *fasthttp.RequestCtx) {
	if s.stopping.Load() || !s.routes.Ready() || !s.directory.Ready() || !s.peerKey.inUse() || !s.exchange.Started() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Stop stops gracefully. The accounts of customers move to other nodes. Clients are asked
// to reconnect elsewhere and are served until they have left. Then the node refuses calls
// from other nodes and waits for all work in progress. The setting StopTimeout bounds the
// wait.
func (s *Sidecar) Stop() {
	started := time.Now()
	schedule := shutdown.NewSchedule(shutdown.Config{
		Started: started,
		Timeout: time.Duration(s.stopTimeout.Load()),
	})
	s.timeline.Record(event.NodeStopping, event.Fields{})
	s.stopping.Store(true)
	// Other nodes learn of it while they can connect, and need not wait for their votes to end.
	s.customerLimits.Leave()
	s.requests.Drain(schedule.Deadline)
	s.handler.Drain(schedule.Deadline)
	ctx, cancel := context.WithDeadline(context.Background(), schedule.AbortAt)
	defer cancel()
	// The backend server usually keeps running, and other nodes can use its slots
	// while this node's clients leave.
	s.waitForClients(ctx, started, schedule.AcceptUntil)
	s.leave()
	drained := s.drainPeers(ctx)
	s.waitForIdle(ctx, schedule.AcceptUntil, drained)
	s.close()
	s.timeline.Record(event.NodeStopped, event.Fields{})
}

// leave refuses new calls from other nodes and publishes the state left, also if the backend
// server has left before. The row stays for a while, and must not count as a running node.
func (s *Sidecar) leave() {
	s.leaving.Store(true)
	s.handler.Close()
	server, _ := s.registration.Current()
	if server.ID != "" && server.Slots > 0 {
		s.serverChanged(server, false)
	}
}

// waitForClients waits until clients had time to detect the stop and send no more
// requests, or until acceptUntil.
func (s *Sidecar) waitForClients(ctx context.Context, started, acceptUntil time.Time) {
	for ctx.Err() == nil {
		if time.Now().After(acceptUntil) {
			return
		}
		if time.Since(started) > readinessDelay && s.requests.Idle() > clientIdleTime {
			return
		}
		backoff.Pause(ctx, stopPollInterval)
	}
}

// drainPeers asks the other nodes to close their connections, and closes the channel
// when they have. A connection that is cut instead may carry a call that its sender
// then can't retry.
func (s *Sidecar) drainPeers(ctx context.Context) <-chan struct{} {
	drained := make(chan struct{})
	if !s.peerKey.inUse() {
		close(drained)
		return drained
	}
	go func() {
		defer close(drained)
		s.logStopError("peer server", s.server.Stop(ctx))
	}()
	return drained
}

// waitForIdle waits until other nodes have closed their connections and all requests
// and calls have ended. After that no more requests are accepted. When ctx ends, it
// aborts the requests in progress.
func (s *Sidecar) waitForIdle(ctx context.Context, acceptUntil time.Time, drained <-chan struct{}) {
	for ctx.Err() == nil {
		if time.Now().After(acceptUntil) {
			s.requests.StopAccepting()
		}
		if isClosed(drained) && s.idle() {
			// A request may have arrived since the check. None starts after StopAccepting.
			s.requests.StopAccepting()
			if s.idle() {
				return
			}
		}
		backoff.Pause(ctx, stopPollInterval)
	}
	s.timeline.Record(event.StopTimeout, event.Fields{
		Detail: fmt.Sprintf("requests=%d calls=%d", s.requests.InFlight(), s.handler.InFlight()),
	})
	s.requests.StopAccepting()
	s.requests.Abort()
}

// idle reports whether nothing is in progress.
func (s *Sidecar) idle() bool {
	return s.requests.InFlight() == 0 && s.handler.InFlight() == 0
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// close closes all parts. It may be called more than once.
func (s *Sidecar) close() {
	s.closed.Do(s.closeParts)
}

func (s *Sidecar) closeParts() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	s.logStopError("request listener", s.requests.Stop(ctx))
	if s.peerKey.inUse() {
		s.logStopError("peer server", s.server.Stop(ctx))
		s.transport.Close()
	}
	s.backend.Close()
	for _, f := range s.followers {
		f.Stop()
	}
	s.customerLimits.Stop()
	s.restores.Stop()
	s.exchange.Stop()
	s.verifications.Stop()
	s.departureQuery.Stop()
	s.departureRecorder.Stop()
	s.rowWriter.Stop()
	s.rowRemover.Stop()
	for _, listener := range []*controlListener{s.heartbeatListener, s.readinessListener, s.metricsListener} {
		s.logStopError("listener", listener.stop(ctx))
	}
	s.logStopError("metrics", s.metrics.Close())
}

func (s *Sidecar) logStopError(part string, err error) {
	if err != nil {
		s.config.Logger.Warn("part did not stop cleanly", "part", part, "error", err)
	}
}
