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
	load := s.load.report()
	body := map[string]int{
		"slots":   load.Limit,
		"running": load.Running,
		"queued":  load.Queued,
	}
	writeJSON(w, http.StatusOK, body)
}

// loadHistory reports the load as it was some time ago.
type loadHistory struct {
	current func() lagoonbarrow.Load
	end     chan struct{}
	ended   chan struct{}

	mutex sync.Mutex
	// samples is ordered by time, oldest first.
	samples []lagoonbarrow.Load
	keep    int
}

func newLoadHistory(lag time.Duration, current func() lagoonbarrow.Load) *loadHistory {
	h := &loadHistory{
		current: current,
		end:     make(chan struct{}),
		ended:   make(chan struct{}),
		keep:    int(lag/sampleInterval) + 1,
	}
	go h.run()
	return h
}

func (h *loadHistory) run() {
	defer close(h.ended)
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.end:
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
	if len(h.samples) > h.keep {
		h.samples = append(h.samples[:0], h.samples[1:]...)
	}
}

// report returns the oldest kept sample, or an idle load before the first one.
func (h *loadHistory) report() lagoonbarrow.Load {
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
	close(h.end)
	<-h.ended
}
