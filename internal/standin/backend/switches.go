package backend

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// controlBytes bounds the body of POST /control.
const controlBytes = 64 << 10

// Switches change a running server's behaviour. POST /control takes them as JSON;
// fields that are left out stay as they are.
type Switches struct {
	// Fail is the part of requests that end with 500 in the middle of their work.
	Fail float64 `json:"fail"`
	// Cut is the part of requests whose answer is cut off after its first half.
	Cut float64 `json:"cut"`
	// Slow multiplies the service time when it is above 0.
	Slow float64 `json:"slow"`
	// Hang makes requests take until they are cancelled.
	Hang bool `json:"hang"`
	// Shed refuses all requests as not run.
	Shed bool `json:"shed"`
	// Plain503 answers 503 without an outcome.
	Plain503 bool `json:"plain-503"`
	// Drain refuses new requests as not run and fails the health check.
	Drain bool `json:"drain"`
	// Unhealthy fails the health check only.
	Unhealthy bool `json:"unhealthy"`
}

// Switch changes the switches.
func (s *Server) Switch(change func(*Switches)) {
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, controlBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := json.Unmarshal(body, &Switches{}); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Switch(func(switches *Switches) {
		// The body was decoded without an error before.
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

// writeJSON answers with a JSON value.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// exponentialCap cuts off exponential service times, in multiples of the mean.
const exponentialCap = 10

// chance is a seeded source of random numbers for concurrent use.
type chance struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newChance(seed uint64) *chance {
	return &chance{
		source: rand.New(rand.NewPCG(seed, seed)),
	}
}

// happens reports true in the given part of the calls.
func (c *chance) happens(part float64) bool {
	if part <= 0 {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.source.Float64() < part
}

// duration draws from a distribution.
func (c *chance) duration(mean time.Duration, distribution Distribution) time.Duration {
	if distribution == DistributionFixed {
		return mean
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	factor := 0.5 + c.source.Float64()
	if distribution == DistributionExponential {
		factor = min(exponentialCap, c.source.ExpFloat64())
	}
	return time.Duration(factor * float64(mean))
}
