package backend

import (
	"net/http"
	"sync"
	"time"

	"lagoonbarrow"
)

// sampleInterval is the time between two load samples.
const sampleInterval = 50 * time.Millisecond

func (s *Server) currentLoad() lagoonbarrow.Load {
	return lagoonbarrow.Load{
		Limit:   s.config.Slots,
		Running: len(s.slots),
		Queued:  int(s.queued.Load()),
	}
}

func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	load := s.load.oldest()
	body := map[string]int{
		"slots":   load.Limit,
		"running": load.Running,
		"queued":  load.Queued,
	}
	writeJSON(w, http.StatusOK, body)
}

// loadHistory samples the load and returns it with a delay.
type loadHistory struct {
	current func() lagoonbarrow.Load
	quit    chan struct{}
	done    chan struct{}

	mutex sync.Mutex
	// samples is ordered by time, oldest first.
	samples    []lagoonbarrow.Load
	maxSamples int
}

func newLoadHistory(lag time.Duration, current func() lagoonbarrow.Load) *loadHistory {
	h := &loadHistory{
		current:    current,
		quit:       make(chan struct{}),
		done:       make(chan struct{}),
		maxSamples: int(lag/sampleInterval) + 1,
	}
	go h.run()
	return h
}

func (h *loadHistory) run() {
	defer close(h.done)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.quit:
			return
		case <-ticker.C:
			h.sample()
		}
	}
}

func (h *loadHistory) sample() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.samples = append(h.samples, h.current())
	if len(h.samples) > h.maxSamples {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
}

// oldest returns the oldest stored sample, or an idle load if there is none.
func (h *loadHistory) oldest() lagoonbarrow.Load {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.samples) == 0 {
		return lagoonbarrow.Load{
			Limit: h.current().Limit,
		}
	}
	return h.samples[0]
}

func (h *loadHistory) stop() {
	close(h.quit)
	<-h.done
}
