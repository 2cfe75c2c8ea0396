package sidecar

import (
	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// applyConfigurationRows puts the configuration among all rows of its table in force.
func (s *Sidecar) applyConfigurationRows(rows []lagoonbarrow.Row) {
	for _, row := range rows {
		s.applyConfiguration(row)
	}
}

func (s *Sidecar) applyConfigurationChanges(changes []lagoonbarrow.Change) {
	for _, change := range changes {
		if !change.Deleted {
			s.applyConfiguration(change.Row)
		}
	}
}

// applyConfiguration puts a configuration in force if it is valid and newer.
func (s *Sidecar) applyConfiguration(row lagoonbarrow.Row) {
	if row.Key != s.config.Configuration.Key {
		return
	}
	configuration, err := s.config.Configuration.Decode(row.Value)
	if err != nil {
		s.timeline.Record(event.ConfigurationRefused, event.Fields{
			Detail: err.Error(),
		})
		return
	}
	if s.routes.Offer(configuration) {
		s.chooser.RetainRoutes(configuration.RouteNames())
		s.timeline.Record(event.ConfigurationInForce, event.Fields{
			ContractVersion: uint64(configuration.Version),
		})
	}
}

// observeVersion refreshes the configuration when another node has a newer one.
func (s *Sidecar) observeVersion(version lagoonbarrow.ConfigurationVersion) {
	if version <= s.routes.Version() {
		return
	}
	for highest := s.highestVersion.Load(); uint64(version) > highest; highest = s.highestVersion.Load() {
		if s.highestVersion.CompareAndSwap(highest, uint64(version)) {
			break
		}
	}
	s.refreshConfiguration()
}

// configurationOutdated reports whether another node has a newer configuration.
func (s *Sidecar) configurationOutdated() bool {
	return s.highestVersion.Load() > uint64(s.routes.Version())
}
