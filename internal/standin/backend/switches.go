package backend

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxControlBytes bounds the body of POST /control.
const maxControlBytes = 64 << 10

// Switches control the faults of a running server. POST /control accepts them as
// JSON and leaves omitted fields unchanged.
type Switches struct {
	// Fail is the fraction of requests that fail with 500 after half of their
	// service time.
	Fail float64 `json:"fail"`
	// Cut is the fraction of requests whose connection closes after half of the
	// answer.
	Cut float64 `json:"cut"`
	// Slow multiplies the service time when it is above 0.
	Slow float64 `json:"slow"`
	// Hang blocks requests until they are cancelled.
	Hang bool `json:"hang"`
	// Shed refuses all requests with the outcome not-run.
	Shed bool `json:"shed"`
	// Plain503 answers all requests with 503 and no outcome.
	Plain503 bool `json:"plain-503"`
	// Drain refuses new requests with the outcome not-run and fails the health
	// check.
	Drain bool `json:"drain"`
	// Unhealthy only fails the health check.
	Unhealthy bool `json:"unhealthy"`
}

// UpdateSwitches applies change to the switches atomically. It may call change more
// than once.
func (s *Server) UpdateSwitches(change func(*Switches)) {
	for {
		old := s.switches.Load()
		changed := *old
		change(&changed)
		if s.switches.CompareAndSwap(old, &changed) {
			return
		}
	}
}

func (s *Server) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "use POST", http.StatusMethodNotAllowed)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxControlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(body, &Switches{}); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.UpdateSwitches(func(switches *Switches) {
		// The same body was decoded without an error above.
		_ = json.Unmarshal(body, switches)
	})
	writeJSON(w, http.StatusOK, s.switches.Load())
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switches := s.switches.Load()
	if switches.Drain || switches.Unhealthy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeJSON sends value as JSON.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client closed the connection.
	_ = json.NewEncoder(w).Encode(value)
}

// exponentialCap limits exponential service times, in multiples of the mean.
const exponentialCap = 10

// randomSource is a seeded source of random numbers for concurrent use.
type randomSource struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newRandomSource(seed uint64) *randomSource {
	return &randomSource{
		source: rand.New(rand.NewPCG(seed, seed)),
	}
}

// chance returns true with the given probability.
func (r *randomSource) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Float64() < probability
}

// duration draws a service time from the distribution.
func (r *randomSource) duration(mean time.Duration, distribution Distribution) time.Duration {
	if distribution == DistributionFixed {
		return mean
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	factor := 0.5 + r.source.Float64()
	if distribution == DistributionExponential {
		factor = min(exponentialCap, r.source.ExpFloat64())
	}
	return time.Duration(factor * float64(mean))
}
