package roster

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// RevisionGossip is the contract revision that probes and probe acks carry.
type RevisionGossip struct {
	Revision lagoonbarrow.Revision
	// HeadAge is the time since any node confirmed Revision with the platform. It
	// is negative when no confirmation is known.
	HeadAge time.Duration
}

// Defaults of Config. With them a dead instance is suspect after about 3 s and
// dead after about 8 s in a small fleet, and after about 23 s in a fleet of
// 7,800. Callers avoid it from their first failed call on (docs/design.md, 3.12).
const (
	DefaultProbeInterval   = time.Second
	DefaultProbeTimeout    = 500 * time.Millisecond
	DefaultDigestInterval  = 30 * time.Second
	DefaultHealInterval    = time.Minute
	DefaultLeftRetention   = 10 * time.Minute
	DefaultDeadRetention   = 24 * time.Hour
	DefaultRowRemovalDelay = 30 * time.Minute
	DefaultBudgetPerSecond = 2000
	// suspicionIntervals is the default suspicion time in probe intervals. It
	// gives gossip and refutations the same number of rounds at every interval.
	suspicionIntervals = 5
	// suspicionTimeouts is the minimum suspicion time in probe timeouts.
	suspicionTimeouts       = 4
	defaultIndirectProbers  = 3
	defaultSeedRows         = 8
	maxRowRemovalsPerSecond = 2
)

// Config holds the dependencies and settings of a Roster. Zero durations and
// counts take defaults.
type Config struct {
	// Self is this instance's own record. Incarnation and State are ignored.
	Self      lagoonbarrow.Instance
	Table     lagoonbarrow.Table
	Transport lagoonbarrow.Transport
	Recorder  lagoonbarrow.Recorder
	// Scope and Logger may be nil.
	Scope  tally.Scope
	Logger hclog.Logger

	// LocalRevision returns the revision to send with probes. If it is nil, none is
	// sent.
	LocalRevision func() RevisionGossip
	// OnRevision receives a peer's revision. HeadAge includes an estimate of the
	// transit time. It is called from message handlers and must not block.
	OnRevision func(from lagoonbarrow.Instance, g RevisionGossip)
	// OnSuperseded is called once when another process runs with the same instance
	// id and a later incarnation. This node then stops announcing itself.
	OnSuperseded func()

	// ProbeInterval is the shortest time between two probes of this node.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe. The indirect probes that follow get the
	// same time again.
	ProbeTimeout time.Duration
	// SuspicionTime is how long a suspect instance has to refute the suspicion in
	// a fleet of up to 10. Larger fleets get more. The default is 5 probe
	// intervals and at least 4 probe timeouts.
	SuspicionTime time.Duration
	// DigestInterval is the mean time between digest exchanges.
	DigestInterval time.Duration
	// HealInterval is the time between heal rounds, which probe dead members and
	// read rows again.
	HealInterval time.Duration
	// LeftRetention is how long the record of an instance that left is kept.
	LeftRetention time.Duration
	// DeadRetention is how long the record of a dead instance is kept.
	DeadRetention time.Duration
	// RowRemovalDelay is how long an instance must be dead before its row is removed.
	RowRemovalDelay time.Duration
	// BudgetPerSecond is the number of bytes that this package may send in a
	// second, including connection set-up. It is less than the 3 KB/s for all
	// control traffic, because contracts and shares need the rest.
	BudgetPerSecond int
}

func (c *Config) check() error {
	if c.Self.ID == "" || c.Self.Service == "" || c.Self.Peer == "" {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "roster: own record needs id, service and peer address")
	}
	if c.Table == nil || c.Transport == nil || c.Recorder == nil {
		return errors.Wrap(lagoonbarrow.ErrInvalid, "roster: table, transport and recorder are required")
	}
	return nil
}

func (c *Config) setDefaults() {
	setDuration(&c.ProbeInterval, DefaultProbeInterval)
	setDuration(&c.ProbeTimeout, DefaultProbeTimeout)
	setDuration(&c.SuspicionTime, max(suspicionIntervals*c.ProbeInterval, suspicionTimeouts*c.ProbeTimeout))
	setDuration(&c.DigestInterval, DefaultDigestInterval)
	setDuration(&c.HealInterval, DefaultHealInterval)
	setDuration(&c.LeftRetention, DefaultLeftRetention)
	setDuration(&c.DeadRetention, DefaultDeadRetention)
	setDuration(&c.RowRemovalDelay, DefaultRowRemovalDelay)
	if c.BudgetPerSecond <= 0 {
		c.BudgetPerSecond = DefaultBudgetPerSecond
	}
	if c.Scope == nil {
		c.Scope = tally.NoopScope
	}
	if c.Logger == nil {
		c.Logger = hclog.NewNullLogger()
	}
	if c.LocalRevision == nil {
		c.LocalRevision = func() RevisionGossip {
			return RevisionGossip{
				HeadAge: -1,
			}
		}
	}
	if c.OnRevision == nil {
		c.OnRevision = func(lagoonbarrow.Instance, RevisionGossip) {}
	}
	if c.OnSuperseded == nil {
		c.OnSuperseded = func() {}
	}
}

func setDuration(value *time.Duration, fallback time.Duration) {
	if *value <= 0 {
		*value = fallback
	}
}
