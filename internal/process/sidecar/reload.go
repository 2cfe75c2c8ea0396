package sidecar

import (
	"lagoonbarrow"
	"lagoonbarrow/internal/process/retry"
)

// Reload takes the settings that may change while the process runs: the bounds of
// repeats, of the heartbeats and of the stop. All others take effect at the next
// start.
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

// needsRestart reports whether settings differ that are read at the start only.
func needsRestart(present, next lagoonbarrow.SidecarSettings) bool {
	next.RetryRatio = present.RetryRatio
	next.RetrySlack = present.RetrySlack
	next.RetryWindow = present.RetryWindow
	next.HeartbeatInterval = present.HeartbeatInterval
	next.StopTimeout = present.StopTimeout
	return next != present
}
