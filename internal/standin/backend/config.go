// Package backend is a small stand-in for a backend server. Tests, benchmarks
// and the demonstration use it.
package backend

import (
	"time"

	"lagoonbarrow"
)

// Config configures a Server.
type Config struct {
	Service lagoonbarrow.ServiceName
	// Address to listen on; port 0 lets the system choose.
	Address lagoonbarrow.Address
	// Node is the local address of the node beside this backend server, for
	// downstream calls. It can be set later with SetNode.
	Node lagoonbarrow.Address
	// Slots is how many requests run at once; 70 by default.
	Slots int
	// QueueLength bounds the requests that wait for a slot; Slots by default.
	QueueLength int
	// ServiceTime is the mean time of one request, without downstream calls.
	ServiceTime time.Duration
	// ServiceTimeSpread makes the service time uniform between
	// ServiceTime*(1-spread) and ServiceTime*(1+spread); 0 to 1.
	ServiceTimeSpread float64
	// Seed of the service times.
	Seed uint64
	// LongServiceTime applies to paths containing "/archive" and to the query
	// long=1; 20 times ServiceTime by default.
	LongServiceTime time.Duration
	// ColdStart is how long after Start requests take ColdFactor times longer;
	// none by default.
	ColdStart time.Duration
	// ColdFactor is 4 by default.
	ColdFactor float64
	// LoadLag is how old the figures of GET /load are.
	LoadLag time.Duration
	// Downstream services are called for each request.
	Downstream []lagoonbarrow.ServiceName
	// Parallel calls the downstream services at the same time.
	Parallel bool
	// Retries is how often the application itself repeats a failed downstream
	// call; 0 by default.
	Retries int
	// KeepRuns bounds the kept run records; 200,000 by default.
	KeepRuns int
}
