package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow/internal/process/backoff"
	"lagoonbarrow/pkg/event"
)

const (
	// noticeTime is how long clients may take to notice that a node is not ready any
	// more: two checks, a second apart.
	noticeTime = 2500 * time.Millisecond
	// quietTime without requests ends the stop early.
	quietTime = 500 * time.Millisecond
	// acceptPart and endPart are the parts of the stop's time limit after which no
	// request is accepted and the process ends. What is accepted last still has two
	// seconds, and closing the parts has the rest.
	acceptPart = 0.5
	endPart    = 0.85
	// stopPoll is the time between two looks at the requests in progress.
	stopPoll = 20 * time.Millisecond
	// closeTimeout bounds closing the listeners once nothing is in progress.
	closeTimeout = 200 * time.Millisecond
)

// Start starts all parts. Requests are refused as not run until a configuration
// and the instances are known.
func (s *Sidecar) Start(ctx context.Context) error {
	s.timeline.Record(event.NodeStarted, event.Fields{
		Detail: string(s.settings.Service) + " in " + string(s.settings.Zone),
	})
	for _, listener := range []*control{s.heartbeats, s.ready, s.scrape} {
		if err := listener.start(); err != nil {
			return err
		}
	}
	if _, err := s.requests.Start(); err != nil {
		return err
	}
	s.row.Start()
	s.remover.Start()
	for _, part := range s.followers {
		part.Start()
	}
	key, err := s.keys.wait(ctx)
	if err != nil {
		return err
	}
	if err := s.buildPeers(key); err != nil {
		return err
	}
	if _, err := s.server.Start(); err != nil {
		return errors.Wrap(err, "sidecar: start peer server")
	}
	s.keys.found.Store(true)
	return nil
}

// serveReady answers 200 while this node takes requests.
func (s *Sidecar) serveReady(http *fasthttp.RequestCtx) {
	if s.stopping.Load() || !s.routes.Ready() || !s.directory.Ready() || !s.keys.known() {
		http.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

// Stop stops gracefully: other nodes send no more calls, clients are asked to go
// elsewhere and are served until they have, and all that is in progress ends. The
// wait is bounded by the settings.
func (s *Sidecar) Stop() {
	began := time.Now()
	s.timeline.Record(event.NodeStopping, event.Fields{})
	s.stopping.Store(true)
	s.requests.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(s.part(endPart)))
	defer cancel()
	// The server beside this node usually goes on; its slots are of use to others
	// while this node's clients leave.
	s.awaitClients(ctx, began)
	s.leave()
	drained := s.drainPeers(ctx)
	s.awaitQuiet(ctx, began, drained)
	s.close()
	s.timeline.Record(event.NodeStopped, event.Fields{})
}

// leave refuses further calls of other nodes and tells them so.
func (s *Sidecar) leave() {
	s.leaving.Store(true)
	s.handler.Close()
	server, known := s.registration.Current()
	if known {
		s.serverChanged(server, false)
	}
}

// awaitClients waits until the clients had time to leave and have left.
func (s *Sidecar) awaitClients(ctx context.Context, began time.Time) {
	for ctx.Err() == nil {
		passed := time.Since(began)
		if passed > s.part(acceptPart) {
			return
		}
		if passed > noticeTime && s.requests.Idle() > quietTime {
			return
		}
		backoff.Pause(ctx, stopPoll)
	}
}

// drainPeers asks the other nodes to close their connections. A connection that is
// cut instead may hold a call that its sender then can't repeat.
func (s *Sidecar) drainPeers(ctx context.Context) <-chan struct{} {
	drained := make(chan struct{})
	if !s.keys.known() {
		close(drained)
		return drained
	}
	go func() {
		defer close(drained)
		s.report("peer server", s.server.Stop(ctx))
	}()
	return drained
}

// part returns a part of the stop's time limit.
func (s *Sidecar) part(part float64) time.Duration {
	return time.Duration(part * float64(s.stopTimeout.Load()))
}

// awaitQuiet waits until other nodes have closed their connections and all requests
// and calls have ended. Then no more requests are taken.
func (s *Sidecar) awaitQuiet(ctx context.Context, began time.Time, drained <-chan struct{}) {
	for ctx.Err() == nil {
		if time.Since(began) > s.part(acceptPart) {
			s.requests.Close()
		}
		if isClosed(drained) && s.idle() {
			// A request may have come just now; after the close none is begun.
			s.requests.Close()
			if s.idle() {
				return
			}
		}
		backoff.Pause(ctx, stopPoll)
	}
	s.timeline.Record(event.StopTimeout, event.Fields{})
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
	s.report("request listener", s.requests.Stop(ctx))
	if s.keys.known() {
		s.report("peer server", s.server.Stop(ctx))
		s.transport.Close()
	}
	s.backend.Close()
	for _, part := range s.followers {
		part.Stop()
	}
	s.row.Stop()
	s.remover.Stop()
	for _, listener := range []*control{s.heartbeats, s.ready, s.scrape} {
		s.report("listener", listener.stop(ctx))
	}
	s.report("metrics", s.metrics.Close())
}

func (s *Sidecar) report(part string, err error) {
	if err != nil {
		s.config.Logger.Warn("part did not stop cleanly", "part", part, "error", err)
	}
}
