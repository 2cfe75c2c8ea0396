// Package platform is a client of the platform's transactional table and object
// store. It batches writes, has a circuit breaker, and distinguishes writes that were
// certainly not made from those that may have taken effect.
package platform

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Config configures a Client. Zero values select the defaults.
type Config struct {
	// Address is the IP address and port of the platform.
	Address lagoonbarrow.Address
	// Timeout limits the duration of one request to the platform; default 1 s.
	Timeout time.Duration
	// DialTimeout limits the time to establish a connection; default 500 ms.
	DialTimeout time.Duration
	// Concurrency is the maximum number of requests in flight; default 32.
	Concurrency int
	// MaxWaiting limits the requests that wait for a permit and, separately, the writes
	// that wait for a batch. More are refused with ErrUnavailable. Default 4,096.
	MaxWaiting int
	// MaxBatchWrites is the maximum number of writes in one batch; default 64.
	MaxBatchWrites int
	// MaxBatchBytes limits the total size of the values in one batch, unless it has a
	// single write; default 1 MiB.
	MaxBatchBytes int
	// FailureLimit is the number of consecutive failures that opens the circuit
	// breaker; default 5.
	FailureLimit int
	// ProbeInterval is the mean time between probes while the breaker is open;
	// default 1 s. Each delay is drawn from 0.75 to 1.25 times the mean.
	ProbeInterval time.Duration
	// Recorder receives PlatformDown and PlatformUp events; may be nil.
	Recorder lagoonbarrow.Recorder
	// Scope receives the metrics; may be nil.
	Scope tally.Scope
	// Logger may be nil.
	Logger hclog.Logger
}
