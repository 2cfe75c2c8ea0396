package sidecar

import (
	"time"

	"lagoonbarrow/internal/process/directory"
	"lagoonbarrow/internal/process/feed"
	"lagoonbarrow/internal/process/follower"
	"lagoonbarrow/internal/version/exchange"
)

const (
	// configurationPollTimeout is how long one query for configuration changes waits. The
	// feed abandons silent sources soon after it, within the time that a change may take.
	configurationPollTimeout = 800 * time.Millisecond
	// instancesPollTimeout is the same for the instances. Their changes are less urgent,
	// because a node refuses calls that its backend server can't run.
	instancesPollTimeout = time.Second
	// instancesBatchDelay is the time in which changes of many instances are collected.
	instancesBatchDelay = 300 * time.Millisecond
)

// buildFollowers builds the parts that follow the tables of the store and the configuration
// of other nodes.
func (s *Sidecar) buildFollowers() {
	s.tableCache = feed.NewCache()
	source := feed.New(feed.Config{
		Self:    s.settings.Instance,
		Zone:    s.settings.Zone,
		Store:   s.store,
		Members: s.directory.All,
		Sender:  deferredTransport{sidecar: s},
		Cache:   s.tableCache,
		Logger:  s.config.Logger.Named("feed"),
	})
	configuration := follower.New(follower.Config{
		Feed:         source,
		Table:        s.config.Configuration.Table,
		PollTimeout:  configurationPollTimeout,
		NeedsRefresh: s.configurationOutdated,
		Replace:      s.applyConfigurationRows,
		Apply:        s.applyConfigurationChanges,
		Logger:       s.config.Logger.Named("configuration"),
	})
	s.refreshConfiguration = configuration.Refresh
	s.exchange = exchange.New(exchange.Config{
		Self:     s.settings.Instance,
		Members:  s.knownMembers,
		Sender:   deferredTransport{sidecar: s},
		Current:  s.routes.Current,
		Offer:    s.offerConfiguration,
		Outdated: s.configurationOutdated,
		Logger:   s.config.Logger.Named("exchange"),
	})
	instances := follower.New(follower.Config{
		Feed:        source,
		Table:       directory.Table,
		PollTimeout: instancesPollTimeout,
		BatchDelay:  instancesBatchDelay,
		Replace:     s.directory.Replace,
		Apply:       s.directory.Apply,
		Logger:      s.config.Logger.Named("directory"),
	})
	s.followers = []*follower.Follower{configuration, instances}
}
