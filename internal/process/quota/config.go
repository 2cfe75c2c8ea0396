package quota

import (
	"time"

	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Defaults of Config.
const (
	DefaultReportInterval = time.Second
	// DefaultShareLife lets a share survive two lost reports.
	DefaultShareLife = 3 * time.Second
	// DefaultReportTimeout leaves time to send the report to a second instance
	// before the next one is due.
	DefaultReportTimeout = 500 * time.Millisecond
)

// creditLife is how long credit is valid after its report was sent: two of the
// shortest report intervals. It adds to the bound on the admitted work.
const creditLife = 500 * time.Millisecond

// Config holds the dependencies and settings of a Quota.
type Config struct {
	Roster    lagoonbarrow.Roster
	Transport lagoonbarrow.Transport
	// Contracts provides the customers' rates.
	Contracts lagoonbarrow.Contracts
	// Recorder records events. Nil disables them.
	Recorder lagoonbarrow.Recorder
	// Scope receives metrics. Nil disables them.
	Scope tally.Scope
	// ReportInterval is the time between two reports of a customer's demand.
	ReportInterval time.Duration
	// ShareLife is how long a share is valid after its report was sent. It must
	// be the same on all nodes.
	ShareLife time.Duration
	// ReportTimeout bounds one report message.
	ReportTimeout time.Duration
	// Now is the clock. Nil means time.Now.
	Now func() time.Time
}

func withDefaults(config Config) Config {
	if config.ReportInterval <= 0 {
		config.ReportInterval = DefaultReportInterval
	}
	if config.ShareLife <= 0 {
		config.ShareLife = DefaultShareLife
	}
	if config.ReportTimeout <= 0 {
		config.ReportTimeout = DefaultReportTimeout
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Scope == nil {
		config.Scope = tally.NoopScope
	}
	return config
}
