package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/internal/process/registration"
)

// serverChanged applies the state of the backend server to this node's slots, its
// entry in the directory and its row.
func (s *Sidecar) serverChanged(server registration.Server, ready bool) {
	state := lagoonbarrow.StateLeaving
	if ready {
		state = lagoonbarrow.StateReady
	}
	s.gate.SetSlots(server.Slots)
	self := lagoonbarrow.Instance{
		ID:      s.settings.Instance,
		Service: server.Service,
		Zone:    s.settings.Zone,
		Region:  s.settings.Region,
		Peer:    s.settings.PeerAddress,
		Slots:   server.Slots,
		State:   state,
	}
	if s.leaving.Load() {
		self.State = lagoonbarrow.StateLeft
	}
	s.directory.SetSelf(self)
	value, err := directory.Encode(self, directory.Server{
		ID:        server.ID,
		Started:   server.Started,
		Left:      server.Left,
		AllLeftAt: server.AllLeftAt,
	})
	if err != nil {
		s.config.Logger.Error("encoding the node's row failed", "error", err)
		return
	}
	s.rowWriter.SetValue(value)
}

// waitForRow waits until the store has this node's row with a departure. It returns
// ErrNotFound if the row is about another server.
func (s *Sidecar) waitForRow(ctx context.Context, departed lagoonbarrow.Departure) error {
	if !s.registration.HasPublished(departed) {
		return errors.Wrap(lagoonbarrow.ErrNotFound, "sidecar: the node's row does not state the departure")
	}
	return s.rowWriter.Wait(ctx)
}

// ownRowRead processes this node's row in the table at a version. The first one read was
// written by an earlier process, which may have acknowledged that the backend server leaves.
func (s *Sidecar) ownRowRead(row lagoonbarrow.Row, tableVersion lagoonbarrow.RowVersion) {
	if !s.ownRowKnown.Swap(true) && row.Version != 0 {
		s.restoreDeparture(row)
	}
	// Only now may the row be written, as it may be the only record of the departure.
	s.rowWriter.ObserveRow(row, tableVersion)
}

// restoreDeparture processes a row that an earlier process of this node has written.
func (s *Sidecar) restoreDeparture(row lagoonbarrow.Row) {
	server, err := directory.DecodeServer(row)
	if err != nil {
		s.config.Logger.Warn("this node's row can't be decoded", "version", row.Version.String(), "error", err)
		return
	}
	if !server.Left {
		return
	}
	departed := lagoonbarrow.Departure{
		Server:  server.ID,
		Started: server.Started,
		LeftAt:  time.Now(),
	}
	if !server.AllLeftAt.IsZero() {
		departed.LeftAt = server.AllLeftAt
		departed.AllRuns = true
	}
	s.registration.RestoreDeparture(departed)
}

// serviceInstances returns the number of known instances of this node's service, its
// own included. It returns 0 until the directory is ready.
func (s *Sidecar) serviceInstances() int {
	if !s.directory.Ready() {
		return 0
	}
	return len(s.directory.Instances(s.settings.Service))
}

// knownMembers returns all nodes, and whether they were read from the store.
func (s *Sidecar) knownMembers() ([]lagoonbarrow.Instance, bool) {
	return s.directory.All(), s.directory.Ready()
}

func (s *Sidecar) membersChanged(ids map[lagoonbarrow.InstanceID]bool) {
	s.chooser.RetainInstances(ids)
	s.customerLimits.MembersChanged()
}
