package sidecar

import (
	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// applyConfigurationRows puts the configuration among all rows of its table in force.
func (s *Sidecar) applyConfigurationRows(rows []lagoonbarrow.Row, _ lagoonbarrow.RowVersion) {
	for _, row := range rows {
		s.applyConfiguration(row)
	}
}

func (s *Sidecar) applyConfigurationChanges(changes []lagoonbarrow.Change, _ lagoonbarrow.RowVersion) {
	for _, change := range changes {
		if !change.Deleted {
			s.applyConfiguration(change.Row)
		}
	}
}

// applyConfiguration puts the configuration of a row in force if it is valid and newer.
func (s *Sidecar) applyConfiguration(row lagoonbarrow.Row) {
	if row.Key == s.config.Configuration.Key {
		s.offerConfiguration(row.Value)
	}
}

// offerConfiguration puts a configuration, as the operator wrote it, in force if it is valid
// and newer.
func (s *Sidecar) offerConfiguration(encoded []byte) {
	configuration, err := s.config.Configuration.Decode(encoded)
	if err != nil {
		s.timeline.Record(event.ConfigurationRefused, event.Fields{
			Detail: err.Error(),
		})
		return
	}
	configuration.Encoded = encoded
	if s.routes.Offer(configuration) {
		s.chooser.RetainRoutes(configuration.RouteNames())
		s.timeline.Record(event.ConfigurationInForce, event.Fields{
			ContractVersion: uint64(configuration.Version),
		})
	}
}

// observeVersion refreshes the configuration when another node has a newer one, from the
// store and from other nodes, as a restored store may not have it.
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
	s.exchange.Request()
}

// configurationOutdated reports whether another node has a newer configuration.
func (s *Sidecar) configurationOutdated() bool {
	return s.highestVersion.Load() > uint64(s.routes.Version())
}
