// Package platform provides an in-memory stand-in for the platform's transactional
// table and object store, for tests and benchmarks. It implements the same HTTP
// protocol, and its faults can be changed at run time.
package platform

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// Config configures a Server.
type Config struct {
	// Address is the IP address and port to listen on; port 0 lets the system choose.
	Address lagoonbarrow.Address
	// WritesPerSecond limits the writes of rows and objects. A request that exceeds it
	// is rejected with 429. 0 means no limit.
	WritesPerSecond int
	// ReadsPerSecond limits the read requests. A request that exceeds it is rejected
	// with 429. 0 means no limit.
	ReadsPerSecond int
	// Faults are in force from the start.
	Faults Faults
	// Logger may be nil.
	Logger hclog.Logger
}

// The values of Faults.Down.
const (
	// DownRefuse rejects every request with 503.
	DownRefuse = "refuse"
	// DownHang delays every request until the faults are changed and then rejects it
	// with 503.
	DownHang = "hang"
)

// Faults configures the faults that the stand-in injects. The zero value injects none.
type Faults struct {
	// Down is empty, DownRefuse or DownHang.
	Down string `json:"down,omitempty"`
	// Slow is added to every request before it is served.
	Slow lagoonbarrow.Duration `json:"slow,omitempty"`
	// LoseAnswers is the probability that a write request takes effect and its
	// connection is closed without a response.
	LoseAnswers float64 `json:"lose-answers,omitempty"`
	// LoseReads is the probability that the connection of a read request is closed
	// without a response.
	LoseReads float64 `json:"lose-reads,omitempty"`
	// DelayWrites is the time after which a write takes effect, even when its
	// client has closed the connection.
	DelayWrites lagoonbarrow.Duration `json:"delay-writes,omitempty"`
	// DelayProbability is the fraction of writes that are delayed. 0 means all.
	DelayProbability float64 `json:"delay-probability,omitempty"`
	// Seed initializes the sequence of random choices, so it can be reproduced.
	Seed uint64 `json:"seed,omitempty"`
}

// Stats holds the counters of a Server.
type Stats struct {
	// Reads counts row, scan and object reads.
	Reads uint64 `json:"reads"`
	// Writes counts the successful writes of rows and objects.
	Writes uint64 `json:"writes"`
	// Conflicts counts the writes that expected another version or ETag.
	Conflicts uint64 `json:"conflicts"`
	// Batches counts the batch requests that were admitted.
	Batches uint64 `json:"batches"`
	// Refused counts the requests rejected with 503 or 429.
	Refused uint64 `json:"refused"`
	// LostAnswers counts the requests whose connection was closed without a response.
	LostAnswers uint64 `json:"lost-answers"`
	// BytesIn and BytesOut count the bytes of request and response bodies.
	BytesIn  uint64 `json:"bytes-in"`
	BytesOut uint64 `json:"bytes-out"`
}

// stopTimeout bounds the wait for requests in flight in Stop.
const stopTimeout = 5 * time.Second
