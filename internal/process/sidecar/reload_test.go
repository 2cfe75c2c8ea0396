package sidecar

import (
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against settings that a reload ignores, and against changes that need a
// restart without a report of it.
func TestReloadAppliesSettings(t *testing.T) {
	f := newFleet(t, 0, nil)
	s := f.members[0].sidecar
	rows := []struct {
		name    string
		change  func(settings *lagoonbarrow.SidecarSettings)
		restart bool
	}{
		{"stop timeout", func(settings *lagoonbarrow.SidecarSettings) { settings.StopTimeout = 10 * time.Second }, false},
		{"retry slack", func(settings *lagoonbarrow.SidecarSettings) { settings.RetrySlack = 1 }, false},
		{"heartbeat interval", func(settings *lagoonbarrow.SidecarSettings) { settings.HeartbeatInterval = time.Minute }, false},
		{"address", func(settings *lagoonbarrow.SidecarSettings) { settings.PeerAddress = "127.0.0.1:1" }, true},
	}
	for _, row := range rows {
		settings := s.settings
		row.change(&settings)
		if got := needsRestart(s.settings, settings); got != row.restart {
			t.Errorf("%s: needs a restart %t, want %t", row.name, got, row.restart)
		}
		s.Reload(settings)
		if got := time.Duration(s.stopTimeout.Load()); got != settings.StopTimeout {
			t.Errorf("%s: a stop takes %s, want %s", row.name, got, settings.StopTimeout)
		}
	}
}

// Guards against a heartbeat that takes a stopping node out of use while the node
// still runs calls from other nodes.
func TestHeartbeatsDuringAStopKeepTheServerInUse(t *testing.T) {
	f := newFleet(t, 0, nil)
	stopping := f.members[0]
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopping.sidecar.Stop()
	}()
	f.waitFor("the node is not ready", func() bool { return !stopping.ready() })
	if err := stopping.server.SendHeartbeat(stopping.sidecar.settings.HeartbeatAddress); err != nil {
		t.Fatal(err)
	}
	if !stopping.sidecar.leaving.Load() && len(stopping.sidecar.directory.Instances("alpha")) != 2 {
		t.Error("the node's own instance is not in use although it serves calls")
	}
	<-ended
	if stopping.sidecar.handler.HandleCall(t.Context(), &lagoonbarrow.Call{
		Service: "alpha",
	}).Outcome != lagoonbarrow.OutcomeNotRun {
		t.Error("a stopped node accepted a call")
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
