package sidecar

import (
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against changed settings that a running process ignores, and against one
// that needs a restart and isn't said to.
func TestReloadTakesWhatMayChange(t *testing.T) {
	f := newFleet(t, 0, nil)
	s := f.members[0].sidecar
	rows := []struct {
		name    string
		change  func(settings *lagoonbarrow.SidecarSettings)
		restart bool
	}{
		{"time of a stop", func(settings *lagoonbarrow.SidecarSettings) { settings.StopTimeout = 10 * time.Second }, false},
		{"repeats", func(settings *lagoonbarrow.SidecarSettings) { settings.RetrySlack = 1 }, false},
		{"heartbeats", func(settings *lagoonbarrow.SidecarSettings) { settings.HeartbeatInterval = time.Minute }, false},
		{"address", func(settings *lagoonbarrow.SidecarSettings) { settings.Peer = "127.0.0.1:1" }, true},
	}
	for _, row := range rows {
		settings := s.settings
		row.change(&settings)
		if got := needsRestart(s.settings, settings); got != row.restart {
			t.Errorf("%s: needs a restart %t, want %t", row.name, got, row.restart)
		}
		s.Reload(settings)
		if got := s.part(1); got != settings.StopTimeout {
			t.Errorf("%s: a stop takes %s, want %s", row.name, got, settings.StopTimeout)
		}
	}
}

// Guards against a stopping node that tells others to send nothing more while its
// server still serves their calls.
func TestHeartbeatsDuringAStopKeepTheServerInUse(t *testing.T) {
	f := newFleet(t, 0, nil)
	stopping := f.members[0]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopping.sidecar.Stop()
	}()
	f.await("the node is not ready", func() bool { return !stopping.ready() })
	if err := stopping.server.Beat(stopping.sidecar.settings.Heartbeats); err != nil {
		t.Fatal(err)
	}
	if !stopping.sidecar.leaving.Load() && len(stopping.sidecar.directory.Instances("alpha")) != 2 {
		t.Error("the node's own instance is not in use although it serves calls")
	}
	<-ended
	if stopping.sidecar.handler.HandleCall(t.Context(), &lagoonbarrow.Call{
		Service: "alpha",
	}).Outcome != lagoonbarrow.OutcomeNotRun {
		t.Error("a stopped node took a call")
	}
}

// Guards against a process that fails when it is stopped before it has started.
func TestStopBeforeTheStart(t *testing.T) {
	f := newFleet(t, 0, nil)
	settings := f.members[0].sidecar.settings
	process, err := New(Config{
		Settings:         settings,
		Store:            f.members[0].sidecar.config.Store,
		Configuration:    f.members[0].sidecar.config.Configuration,
		Headers:          f.members[0].sidecar.config.Headers,
		HeartbeatHandler: f.members[0].sidecar.config.HeartbeatHandler,
		Logger:           f.members[0].sidecar.config.Logger,
	})
	if err != nil {
		t.Fatal(err)
	}
	process.close()
}
