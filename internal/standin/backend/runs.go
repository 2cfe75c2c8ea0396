package backend

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"lagoonbarrow"
)

// Run records one request that obtained a slot.
type Run struct {
	Request lagoonbarrow.RequestID `json:"request"`
	Call    lagoonbarrow.CallID    `json:"call"`
	Key     string                 `json:"key"`
	Method  string                 `json:"method"`
	Path    string                 `json:"path"`
	Start   time.Time              `json:"start"`
	End     time.Time              `json:"end"`
	// Completed reports whether the work finished. It is false for a run that was
	// cancelled or failed, although End is set.
	Completed bool `json:"completed"`
}

// Counts holds the totals since the start, and the current number of running and
// queued requests.
type Counts struct {
	Started            int64 `json:"started"`
	Completed          int64 `json:"completed"`
	Cancelled          int64 `json:"cancelled"`
	Failed             int64 `json:"failed"`
	Shed               int64 `json:"shed"`
	DownstreamCalls    int64 `json:"downstream-calls"`
	DownstreamFailures int64 `json:"downstream-failures"`
	Running            int64 `json:"running"`
	Queued             int64 `json:"queued"`
}

// counters holds the totals of Counts for concurrent use.
type counters struct {
	started            atomic.Int64
	completed          atomic.Int64
	cancelled          atomic.Int64
	failed             atomic.Int64
	shed               atomic.Int64
	downstreamCalls    atomic.Int64
	downstreamFailures atomic.Int64
}

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	return Counts{
		Started:            s.counts.started.Load(),
		Completed:          s.counts.completed.Load(),
		Cancelled:          s.counts.cancelled.Load(),
		Failed:             s.counts.failed.Load(),
		Shed:               s.counts.shed.Load(),
		DownstreamCalls:    s.counts.downstreamCalls.Load(),
		DownstreamFailures: s.counts.downstreamFailures.Load(),
		Running:            int64(len(s.slots)),
		Queued:             s.queued.Load(),
	}
}

// Runs returns the stored runs in the order of their start.
func (s *Server) Runs() []Run {
	return s.runs.list(func(*Run) bool { return true })
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Counts())
}

func (s *Server) serveRuns(w http.ResponseWriter, r *http.Request) {
	key := r.URL.Query().Get("key")
	request := lagoonbarrow.RequestID(r.URL.Query().Get("request"))
	selected := s.runs.list(func(run *Run) bool {
		if key != "" && run.Key != key {
			return false
		}
		return request == "" || run.Request == request
	})
	writeJSON(w, http.StatusOK, selected)
}

// runLog is a ring buffer of the latest runs.
type runLog struct {
	mutex    sync.Mutex
	capacity int
	// oldest is the index of the oldest run.
	oldest int
	runs   []*Run
}

func newRunLog(capacity int) *runLog {
	return &runLog{
		capacity: capacity,
	}
}

func (l *runLog) add(run *Run) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.runs) < l.capacity {
		l.runs = append(l.runs, run)
		return
	}
	l.runs[l.oldest] = run
	l.oldest = (l.oldest + 1) % l.capacity
}

// end records the end of a run.
func (l *runLog) end(run *Run, completed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run.End = time.Now()
	run.Completed = completed
}

func (l *runLog) list(matches func(*Run) bool) []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	found := []Run{}
	for i := range l.runs {
		run := l.runs[(l.oldest+i)%len(l.runs)]
		if matches(run) {
			found = append(found, *run)
		}
	}
	return found
}
