// Package roster keeps the table of all instances. Membership follows SWIM:
// random probes, indirect probes, suspicion with refutation, and gossip on the
// probes, repaired by digest exchanges.
package roster

import (
	"context"

	"lagoonbarrow"
)

var (
	_ lagoonbarrow.Roster         = (*Roster)(nil)
	_ lagoonbarrow.MessageHandler = (*Roster)(nil)
)

// Roster knows the instances of all services.
type Roster struct {
	config Config
}

// New returns a roster that knows only its own instance.
func New(config Config) (*Roster, error) {
	if err := config.check(); err != nil {
		return nil, err
	}
	config.setDefaults()
	return &Roster{
		config: config,
	}, nil
}

// Start begins registration and probing in the background. The roster stays
// not ready, and retries, until the platform's table accepted this node's row.
func (r *Roster) Start(_ context.Context) error { return nil }

// Ready reports whether this node is registered and has synchronised its table.
func (r *Roster) Ready() bool { return false }

// Leave announces that this node is leaving.
func (r *Roster) Leave(_ context.Context) {}

// Stop ends all background work. After Leave it also removes this node's row.
func (r *Roster) Stop() {}

// SetState announces this node's own state: starting, ready or leaving.
func (r *Roster) SetState(_ lagoonbarrow.InstanceState) {}

// MarkUnreachable asks for an out-of-turn probe after a failed call.
func (r *Roster) MarkUnreachable(_ lagoonbarrow.InstanceID) {}

// Merge takes over a record that another part of the process learned.
func (r *Roster) Merge(_ lagoonbarrow.Instance) {}

// Self returns this node's own record.
func (r *Roster) Self() lagoonbarrow.Instance { return r.config.Self }

// Instances returns the ready and suspect instances of a service. The slice is
// shared and must not be changed.
func (r *Roster) Instances(_ lagoonbarrow.ServiceName) []lagoonbarrow.Instance { return nil }

// Live returns all instances that are neither dead nor left. The slice is
// shared and must not be changed.
func (r *Roster) Live() []lagoonbarrow.Instance { return nil }

// Lookup returns the record of an instance, dead and left ones included.
func (r *Roster) Lookup(_ lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	return lagoonbarrow.Instance{}, false
}

// Kinds returns the kinds of messages that HandleMessage serves.
func (r *Roster) Kinds() []string { return nil }

// HandleMessage serves a membership message.
func (r *Roster) HandleMessage(_ context.Context, _ lagoonbarrow.InstanceID, _ lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return lagoonbarrow.Message{}, nil
}
