package sidecar

import (
	"lagoonbarrow/internal/process/departure"
	"lagoonbarrow/internal/process/registration"
)

// buildDepartures builds the parts that record the departures of backend servers, and find
// them again after a restart.
func (s *Sidecar) buildDepartures() {
	config := departure.Config{
		Self:    s.settings.Instance,
		Members: s.knownMembers,
		Sender:  deferredTransport{sidecar: s},
		Logger:  s.config.Logger.Named("departures"),
	}
	s.departures = departure.NewKeeper()
	s.departureRecorder = departure.NewRecorder(departure.RecorderConfig{
		Config:     config,
		WaitForRow: s.waitForRow,
	})
	s.departureQuery = departure.NewQuery(departure.QueryConfig{
		Config:      config,
		OnDeparture: s.registration.RestoreDeparture,
		OnKnown:     s.registration.SetDeparturesKnown,
	})
}

// newAcknowledger returns the handler of the backend server's reports.
func (s *Sidecar) newAcknowledger() *registration.Acknowledger {
	return registration.NewAcknowledger(registration.AcknowledgerConfig{
		Registration: s.registration,
		Record:       s.departureRecorder.Record,
	})
}
