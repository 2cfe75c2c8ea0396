package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// workDuration is the mean work of a doc-upload of the site.
const workDuration = 160 * time.Millisecond

// run is a request that a server began to work on.
type run struct {
	at   time.Time
	id   string
	body []byte
	// finished is set once the work has come to its end.
	finished bool
}

// server is a sound backend server.
type server struct {
	id      string
	service string
	address string
	zone    string
	// report is the address that gets the heartbeats.
	report string
	// finishes is set for a server that doesn't drop a request whose connection is closed.
	finishes bool

	listener net.Listener
	http     *http.Server
	// beating is closed to end the heartbeats, and stop when the server ends.
	beating   chan struct{}
	stop      chan struct{}
	closeOnce sync.Once

	mu   sync.Mutex
	born time.Time
	left bool
	// liesUntil is until when the server answers at its health path that it serves.
	liesUntil time.Time
	sequence  int
	// acks counts the reports that were acknowledged.
	acks int
	runs []run
}

// newServer starts a server.
func newServer(id, service, zone, address string) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		id:       id,
		service:  service,
		address:  address,
		zone:     zone,
		listener: listener,
		born:     time.Now(),
		stop:     make(chan struct{}),
		beating:  make(chan struct{}),
	}
	s.http = &http.Server{
		Handler: s,
	}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// close ends the server.
func (s *server) close() {
	s.closeOnce.Do(func() {
		close(s.stop)
		_ = s.http.Close()
	})
}

// startHeartbeats sends a heartbeat each interval.
func (s *server) startHeartbeats() {
	go func() {
		for {
			_ = s.heartbeat()
			select {
			case <-s.stop:
				return
			case <-s.beating:
				return
			case <-time.After(heartbeatInterval):
			}
		}
	}()
}

// stopHeartbeats ends the heartbeats.
func (s *server) stopHeartbeats() {
	close(s.beating)
}

// heartbeat sends the next heartbeat, and returns an error unless it was acknowledged.
func (s *server) heartbeat() error {
	return s.send(http.MethodPut, s.nextHeartbeat())
}

// nextHeartbeat returns the body of the next heartbeat, which may be sent late.
func (s *server) nextHeartbeat() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":%q,"slots":299},"status":{"state":"ready","sequence":%d,"cold-remaining":"0ms"}}`,
		s.address, s.born.UnixMilli(), s.service, s.zone, s.sequence)
}

// lie makes the server's answers at its health path false for a time.
func (s *server) lie(duration time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.liesUntil = time.Now().Add(duration)
}

// healthStatus returns the status at the health path.
func (s *server) healthStatus() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left && time.Now().After(s.liesUntil) {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// send reports to the node beside the server: PUT is a heartbeat, DELETE says that it leaves.
func (s *server) send(method, body string) error {
	request, err := http.NewRequest(method, "http://"+s.report+"/instances/"+s.id, bytes.NewBufferString(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{
		Timeout: time.Second,
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acks++
	s.left = s.left || method == http.MethodDelete
	return nil
}

func (s *server) acknowledged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acks > 0
}

// allRuns returns the runs so far.
func (s *server) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run{}, s.runs...)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", s.id)
	if r.URL.Path == "/health" {
		w.WriteHeader(s.healthStatus())
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// An incomplete request is not run.
		return
	}
	number := s.begin(id, body)
	if !s.wait(r) {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	s.finish(number)
	w.Header().Set("Response-Signature", "s-"+id)
	_, _ = io.WriteString(w, "answer to "+id)
}

// begin records a run and returns its number.
func (s *server) begin(id string, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, run{
		at:   time.Now(),
		id:   id,
		body: body,
	})
	return len(s.runs) - 1
}

// finish records that a run has come to its end.
func (s *server) finish(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[number].finished = true
}

// wait works on a request, and reports whether it came to its end.
func (s *server) wait(r *http.Request) bool {
	milliseconds, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		milliseconds = maxDeadlineMilliseconds
	}
	left := r.Context().Done()
	if s.finishes {
		left = nil
	}
	select {
	case <-time.After(workDuration):
		return true
	case <-time.After(time.Duration(milliseconds) * time.Millisecond):
	case <-left:
	}
	return false
}

// maxDeadlineMilliseconds is the deadline of a request that names none.
const maxDeadlineMilliseconds = 60000
