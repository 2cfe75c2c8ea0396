// Package platform is an in-memory stand-in of the platform's transactional
// table and object store, for tests and measurements. It speaks the same HTTP
// protocol and can be told to fail at run time.
package platform

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
)

// Config sets up a Server.
type Config struct {
	// Address is the IP address and port to listen on; port 0 lets the system choose.
	Address lagoonbarrow.Address
	// WritesPerSecond limits the rows written; more are refused with 429. 0 means no limit.
	WritesPerSecond int
	// ReadsPerSecond limits the read requests; more are refused with 429. 0 means no limit.
	ReadsPerSecond int
	// Faults are in force from the start.
	Faults Faults
	// Logger may be nil.
	Logger hclog.Logger
}

// The values of Faults.Down.
const (
	// DownRefuse answers every request with 503.
	DownRefuse = "refuse"
	// DownHang holds every request until the fault ends and then refuses it.
	DownHang = "hang"
)

// Faults are the failures that the stand-in shows. The zero value shows none.
type Faults struct {
	// Down is empty, DownRefuse or DownHang.
	Down string `json:"down,omitempty"`
	// Slow is added to every request before it is served.
	Slow lagoonbarrow.Duration `json:"slow,omitempty"`
	// LoseAnswers is the probability that a write request takes effect and its
	// connection is closed without an answer.
	LoseAnswers float64 `json:"lose-answers,omitempty"`
	// LoseReads is the same for read requests.
	LoseReads float64 `json:"lose-reads,omitempty"`
	// DelayWrites is the time after which a write takes effect, even when its
	// client has closed the connection.
	DelayWrites lagoonbarrow.Duration `json:"delay-writes,omitempty"`
	// DelayProbability is the share of writes that are delayed; 0 means all.
	DelayProbability float64 `json:"delay-probability,omitempty"`
	// Seed makes the sequence of random choices repeatable.
	Seed uint64 `json:"seed,omitempty"`
}

// Stats counts what the stand-in has served.
type Stats struct {
	// Reads counts row, scan and object reads.
	Reads uint64 `json:"reads"`
	// Writes counts the rows and objects written with success.
	Writes uint64 `json:"writes"`
	// Conflicts counts the writes that found another version.
	Conflicts uint64 `json:"conflicts"`
	// Batches counts the batch requests that were served.
	Batches uint64 `json:"batches"`
	// Refused counts the requests answered with 503 or 429.
	Refused uint64 `json:"refused"`
	// LostAnswers counts the requests whose connection was closed without an answer.
	LostAnswers uint64 `json:"lost-answers"`
	// BytesIn and BytesOut count request and response bodies.
	BytesIn  uint64 `json:"bytes-in"`
	BytesOut uint64 `json:"bytes-out"`
}

// stopTimeout bounds the wait for requests in flight when the server stops.
const stopTimeout = 5 * time.Second
