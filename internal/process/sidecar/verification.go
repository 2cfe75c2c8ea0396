package sidecar

import (
	"context"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/backoff"
	"lagoonbarrow/internal/process/registration"
	"lagoonbarrow/internal/request/backend"
)

const (
	// verifyTimeout bounds the question to a server, which may wait for a slot.
	verifyTimeout = 500 * time.Millisecond
	// configurationPollInterval is the time between two checks whether the configuration, which
	// names the health path, is known.
	configurationPollInterval = 20 * time.Millisecond
	// defaultHealthPath is the path of a service for which the configuration names none.
	defaultHealthPath = "/health"
)

// verifyServer asks the backend server at its health path whether it leaves, once the
// configuration is known, and reports the verdict.
func (s *Sidecar) verifyServer(server lagoonbarrow.ServerID, report func(registration.Verdict)) {
	s.verifications.Go("verification", func(ctx context.Context) {
		for ctx.Err() == nil && !s.routes.Ready() {
			backoff.Pause(ctx, configurationPollInterval)
		}
		if ctx.Err() == nil {
			report(s.queryHealth(ctx, server))
		}
	})
}

// queryHealth returns what the server answers at its health path.
func (s *Sidecar) queryHealth(ctx context.Context, server lagoonbarrow.ServerID) registration.Verdict {
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	path := defaultHealthPath
	if named := s.routes.Current().HealthPaths[s.settings.Service]; named != "" {
		path = named
	}
	health, err := s.backend.Health(ctx, path)
	if err != nil {
		s.config.Logger.Info("the server gave no answer at its health path", "server", server, "error", err)
		return registration.VerdictUnknown
	}
	verdict := verdictOf(server, health)
	s.config.Logger.Info("the server has answered at its health path", "server", server, "answered", health.Server, "status", health.Status, "not-run", health.NotRun, "verdict", verdict.String())
	return verdict
}

// verdictOf returns what an answer at the health path says about a server. The answer of another
// server, or one that was not processed, says nothing.
func verdictOf(server lagoonbarrow.ServerID, health backend.Health) registration.Verdict {
	switch {
	case health.Server != server || health.NotRun:
		return registration.VerdictUnknown
	case health.Status == statusHealthy:
		return registration.VerdictServes
	case health.Status == statusUnhealthy:
		return registration.VerdictLeaves
	default:
		return registration.VerdictUnknown
	}
}

// The statuses at the health path.
const (
	statusHealthy   = 200
	statusUnhealthy = 503
)
