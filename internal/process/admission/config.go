package admission

import (
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Defaults of Config (docs/design.md, 3.2 to 3.4).
const (
	DefaultTargetQueueDelay = 20 * time.Millisecond
	DefaultWindow           = 100 * time.Millisecond
	DefaultLongShare        = 0.25
	DefaultCriticalReserve  = 0.10
)

// Clock returns the current time. Tests replace it.
type Clock interface {
	Now() time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time {
	return time.Now()
}

// Config configures a Gate. Zero values select the defaults.
type Config struct {
	// Slots is the highest number of calls that the backend server runs at once. Required.
	Slots int
	// TargetQueueDelay is the standing queueing delay above which the threshold
	// rises. Critical work that waits longer preempts other work.
	TargetQueueDelay time.Duration
	// Window is the interval between changes of the threshold and the limit.
	Window time.Duration
	// LongShare is the fraction of the limit that long work may use, from 0 to 1.
	LongShare float64
	// CriticalReserve is the fraction of the limit that only critical work may use,
	// at least 0 and below 1. A reserve has at least one slot.
	CriticalReserve float64
	// Recorder receives the gate's events. Optional.
	Recorder lagoonbarrow.Recorder
	// Scope receives the gate's metrics. Optional.
	Scope tally.Scope
	// Clock defaults to the system's clock.
	Clock Clock
	// Plain replaces the gate's rules by a single FIFO queue of four times the slots,
	// without thresholds, priorities, lanes, preemption or an adaptive limit. It is
	// the baseline of benchmarks.
	Plain bool
}

func (c Config) withDefaults() (Config, error) {
	if c.Slots < 1 {
		return c, errors.Wrapf(lagoonbarrow.ErrInvalid, "admission: slots must be at least 1, got %d", c.Slots)
	}
	if c.LongShare < 0 || c.LongShare > 1 {
		return c, errors.Wrapf(lagoonbarrow.ErrInvalid, "admission: long share must be from 0 to 1, got %g", c.LongShare)
	}
	if c.CriticalReserve < 0 || c.CriticalReserve >= 1 {
		return c, errors.Wrapf(lagoonbarrow.ErrInvalid, "admission: critical reserve must be at least 0 and below 1, got %g", c.CriticalReserve)
	}
	if c.TargetQueueDelay <= 0 {
		c.TargetQueueDelay = DefaultTargetQueueDelay
	}
	if c.Window <= 0 {
		c.Window = DefaultWindow
	}
	if c.LongShare == 0 {
		c.LongShare = DefaultLongShare
	}
	if c.CriticalReserve == 0 {
		c.CriticalReserve = DefaultCriticalReserve
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Clock == nil {
		c.Clock = systemClock{}
	}
	return c, nil
}
