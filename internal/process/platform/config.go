// Package platform is the client of the platform's transactional table and
// object store. It groups writes, stops calling a platform that does not
// answer, and tells a write that was certainly not made from one that may have
// taken effect.
package platform

import (
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"lagoonbarrow"
)

// Config sets up a Client. Zero values are replaced by the defaults given.
type Config struct {
	// Address is the IP address and port of the platform.
	Address lagoonbarrow.Address
	// Timeout bounds one request to the platform; default 1 s.
	Timeout time.Duration
	// DialTimeout bounds the set-up of a connection; default 500 ms.
	DialTimeout time.Duration
	// Concurrency is the highest number of requests under way; default 32.
	Concurrency int
	// Waiting bounds the requests that wait for room and, separately, the
	// writes that wait for a batch; more are refused with ErrUnavailable. Default 4,096.
	Waiting int
	// BatchWrites is the highest number of writes in one request; default 64.
	BatchWrites int
	// BatchBytes bounds the values in one batch; default 1 MiB.
	BatchBytes int
	// FailureLimit is the number of failures in a row that opens the circuit
	// breaker; default 5.
	FailureLimit int
	// ProbeInterval is the mean time between probes while the breaker is open;
	// default 1 s. Each wait is drawn from 0.75 to 1.25 of it.
	ProbeInterval time.Duration
	// Recorder takes PlatformDown and PlatformUp events; may be nil.
	Recorder lagoonbarrow.Recorder
	// Scope takes metrics; may be nil.
	Scope tally.Scope
	// Logger may be nil.
	Logger hclog.Logger
}
