package shutdown

import (
	"sync/atomic"
	"time"
)

// Deadline bounds the deadlines of work that arrives during a stop. The zero value bounds
// nothing. It is safe for concurrent use.
type Deadline struct {
	at atomic.Pointer[time.Time]
}

// Set begins to bound deadlines.
func (d *Deadline) Set(at time.Time) {
	d.at.Store(&at)
}

// IsSet reports whether the process stops.
func (d *Deadline) IsSet() bool {
	return d.at.Load() != nil
}

// Bound returns the earlier one of a deadline and the bound.
func (d *Deadline) Bound(deadline time.Time) time.Time {
	bound := d.at.Load()
	if bound != nil && bound.Before(deadline) {
		return *bound
	}
	return deadline
}
