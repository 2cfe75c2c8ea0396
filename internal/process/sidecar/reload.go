package sidecar

import (
	"lagoonbarrow"
	"lagoonbarrow/internal/process/retry"
)

// Reload applies the settings that can change while the process runs: the bounds of
// retries, the heartbeat interval and the stop timeout. All others take effect at the
// next start.
func (s *Sidecar) Reload(settings lagoonbarrow.SidecarSettings) {
	s.budget.SetBounds(retry.Bounds{
		Ratio:  settings.RetryRatio,
		Slack:  settings.RetrySlack,
		Window: settings.RetryWindow,
	})
	s.registration.SetHeartbeatInterval(settings.HeartbeatInterval)
	s.stopTimeout.Store(int64(settings.StopTimeout))
	s.config.Logger.Info("settings were reloaded", "retry-ratio", settings.RetryRatio, "retry-slack", settings.RetrySlack,
		"retry-window", settings.RetryWindow, "heartbeat-interval", settings.HeartbeatInterval, "stop-timeout", settings.StopTimeout,
		"restart-needed", needsRestart(s.settings, settings))
}

// needsRestart reports whether settings differ that Reload doesn't apply.
func needsRestart(current, next lagoonbarrow.SidecarSettings) bool {
	next.RetryRatio = current.RetryRatio
	next.RetrySlack = current.RetrySlack
	next.RetryWindow = current.RetryWindow
	next.HeartbeatInterval = current.HeartbeatInterval
	next.StopTimeout = current.StopTimeout
	return next != current
}
