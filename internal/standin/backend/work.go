package backend

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// maxRequestBytes bounds a request's body.
	maxRequestBytes = 8 << 20
	// maxPadding bounds the padding that the query size=N requests.
	maxPadding = 64 << 20
	// failurePoint is the fraction of the service time after which the switch Fail
	// ends a request.
	failurePoint = 0.5
)

// Body is the JSON body of an answer. It repeats the request, which lets a caller
// detect an answer to another request.
type Body struct {
	Service    lagoonbarrow.ServiceName `json:"service"`
	Path       string                   `json:"path"`
	Query      string                   `json:"query"`
	Request    lagoonbarrow.RequestID   `json:"request"`
	Call       lagoonbarrow.CallID      `json:"call"`
	Error      string                   `json:"error,omitempty"`
	Downstream []DownstreamResult       `json:"downstream,omitempty"`
	Padding    string                   `json:"padding,omitempty"`
}

// DownstreamResult is the result of one downstream call.
type DownstreamResult struct {
	Service lagoonbarrow.ServiceName `json:"service"`
	Status  int                      `json:"status"`
	Outcome string                   `json:"outcome,omitempty"`
	Error   string                   `json:"error,omitempty"`
}

var (
	errFailed     = errors.New("switched to fail")
	errDownstream = errors.New("a downstream call failed")
)

// serveWork runs one request in a slot.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	// The HTTP server only detects a closed connection and cancels the request's
	// context after the body was read.
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	switches := s.switches.Load()
	if switches.Plain503 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if switches.Shed || switches.Drain || !s.acquireSlot(ctx) {
		s.refuse(w)
		return
	}
	defer func() { <-s.slots }()
	s.run(ctx, w, r, content)
}

// withDeadline returns the request's context, bounded by Lagoonbarrow-Deadline-Ms.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	remaining, err := strconv.ParseInt(r.Header.Get(lagoonbarrow.HeaderDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(remaining)*time.Millisecond)
}

// acquireSlot waits in the queue for a slot. It returns false if the queue is full
// or ctx ends first.
func (s *Server) acquireSlot(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.queued.Add(1) > int64(s.config.QueueLength) {
		s.queued.Add(-1)
		return false
	}
	defer s.queued.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// refuse answers 503 with the outcome not-run.
func (s *Server) refuse(w http.ResponseWriter) {
	s.counts.shed.Add(1)
	w.Header().Set(lagoonbarrow.HeaderOutcome, string(lagoonbarrow.OutcomeNotRun))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// run executes a request that holds a slot, records the run and sends the answer.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, content []byte) {
	record := &Run{
		Request: lagoonbarrow.RequestID(r.Header.Get(lagoonbarrow.HeaderRequest)),
		Call:    lagoonbarrow.CallID(r.Header.Get(lagoonbarrow.HeaderCall)),
		Key:     r.Header.Get(lagoonbarrow.HeaderIdempotencyKey),
		Method:  r.Method,
		Path:    r.URL.Path,
		Start:   time.Now(),
	}
	s.runs.add(record)
	s.counts.started.Add(1)
	results, err := s.work(ctx, r, content)
	s.runs.end(record, err == nil)
	body := &Body{
		Service:    s.config.Service,
		Path:       r.URL.Path,
		Query:      r.URL.RawQuery,
		Request:    record.Request,
		Call:       record.Call,
		Downstream: results,
		Padding:    padding(r),
	}
	if err != nil {
		body.Error = err.Error()
	}
	s.writeAnswer(w, r, body, err)
}

// work sleeps for the service time and makes the downstream calls.
func (s *Server) work(ctx context.Context, r *http.Request, content []byte) ([]DownstreamResult, error) {
	duration := s.serviceTime(r)
	switches := s.switches.Load()
	failing := s.random.chance(switches.Fail)
	if failing {
		duration = time.Duration(failurePoint * float64(duration))
	}
	if switches.Hang {
		<-ctx.Done()
	}
	if err := wait(ctx, duration); err != nil {
		return nil, err
	}
	if failing {
		return nil, errFailed
	}
	return s.callDownstream(ctx, r, content)
}

func (s *Server) serviceTime(r *http.Request) time.Duration {
	mean := s.config.ServiceTime
	if strings.Contains(r.URL.Path, "/archive") || r.URL.Query().Get("long") == "1" {
		mean = s.config.LongServiceTime
	}
	duration := s.random.duration(mean, s.config.Distribution)
	if time.Since(s.started) < s.config.ColdStart {
		duration = time.Duration(s.config.ColdFactor * float64(duration))
	}
	if slow := s.switches.Load().Slow; slow > 0 {
		duration = time.Duration(slow * float64(duration))
	}
	return duration
}

func wait(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// writeAnswer sends the result of a run and counts it.
func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, body *Body, err error) {
	status := http.StatusOK
	switch {
	case err == nil:
		s.counts.completed.Add(1)
	case errors.Is(err, context.Canceled):
		s.counts.cancelled.Add(1)
		// The client closed the connection.
		panic(http.ErrAbortHandler)
	case errors.Is(err, context.DeadlineExceeded):
		s.counts.cancelled.Add(1)
		status = http.StatusGatewayTimeout
	case errors.Is(err, errDownstream):
		s.counts.failed.Add(1)
		status = http.StatusBadGateway
	default:
		s.counts.failed.Add(1)
		status = http.StatusInternalServerError
	}
	encoded, encodeErr := json.Marshal(body)
	if encodeErr != nil {
		http.Error(w, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(encoded)))
	w.WriteHeader(status)
	if s.random.chance(s.switches.Load().Cut) {
		_, _ = w.Write(encoded[:len(encoded)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodHead {
		return
	}
	// The run is recorded even if the client closed the connection.
	_, _ = w.Write(encoded)
}

// padding returns N bytes for the query size=N, at most maxPadding.
func padding(r *http.Request) string {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size <= 0 {
		return ""
	}
	return strings.Repeat("x", min(size, maxPadding))
}
