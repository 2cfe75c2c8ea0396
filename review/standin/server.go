package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the setting "heartbeat".
const heartbeatInterval = 1500 * time.Millisecond

// connectionClosed is how a run ended whose connection was closed before its answer.
const connectionClosed = "connection closed"

// arrival is a request that has reached a server.
type arrival struct {
	id string
	at time.Time
}

// server is a backend server. It runs each request for work, and answers with a body of
// bodyBytes.
type server struct {
	id        string
	node      *node
	record    *record
	work      time.Duration
	bodyBytes int
	slots     int

	http     *http.Server
	born     time.Time
	stopBeat chan struct{}

	mu       sync.Mutex
	sequence int
	state    string
	running  int
	arrivals []arrival
	runs     map[string]int
	ended    map[string]string
}

// start listens at the address of the settings.
func (s *server) start() error {
	s.born = time.Now()
	s.state = "ready"
	s.runs = map[string]int{}
	s.ended = map[string]string{}
	s.stopBeat = make(chan struct{})
	socket, err := net.Listen("tcp", s.node.ip+":"+serverPort)
	if err != nil {
		return err
	}
	s.http = &http.Server{
		Handler: s,
	}
	go func() {
		_ = s.http.Serve(socket)
	}()
	return nil
}

// exit ends the server. What it still runs is lost.
func (s *server) exit() {
	_ = s.http.Close()
}

// heartbeat returns the next heartbeat.
func (s *server) heartbeat() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"address":"%s:%s","born":%d,"info":{"service":%q,"version":"v1","zone":"zone-a","slots":%d},"status":{"state":%q,"sequence":%d,"cold-remaining":"0ms"}}`,
		s.node.ip, serverPort, s.born.UnixMilli(), s.node.service, s.slots, s.state, s.sequence)
}

// deliver sends a heartbeat to the control address of the machine and returns the status of
// the answer, or 0.
func (s *server) deliver(heartbeat string) int {
	return s.tell(http.MethodPut, heartbeat)
}

// leave tells the machine that the server leaves, and returns the status of the answer, or 0.
func (s *server) leave() int {
	return s.tell(http.MethodDelete, "")
}

func (s *server) tell(method, body string) int {
	request, err := http.NewRequest(method, "http://"+s.node.ip+":"+controlPort+"/instances/"+s.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{
		Timeout: time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// beat sends heartbeats until stopBeat is closed.
func (s *server) beat() {
	for {
		s.deliver(s.heartbeat())
		select {
		case <-s.stopBeat:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.admit(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.done()
	s.record.add("server %s runs %s, %s ms left", s.id, id, r.Header.Get("Deadline-Ms"))
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	work := s.work
	if text := r.URL.Query().Get("work-ms"); text != "" {
		milliseconds, _ := strconv.Atoi(text)
		work = time.Duration(milliseconds) * time.Millisecond
	}
	select {
	case <-time.After(work):
	case <-time.After(time.Duration(deadline) * time.Millisecond):
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		s.record.add("server %s: the connection of %s was closed while it ran", s.id, id)
		s.setEnded(id, connectionClosed)
		return
	}
	size := s.bodyBytes
	if text := r.URL.Query().Get("bytes"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	w.Header().Set("Response-Signature", id+"."+strconv.Itoa(size))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	s.setEnded(id, "200")
	_, _ = w.Write(make([]byte, size))
}

func (s *server) admit(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{
		id: id,
		at: time.Now(),
	})
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.runs[id]++
	return true
}

// hasRun reports whether the server has begun to run a request.
func (s *server) hasRun(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id] > 0
}

func (s *server) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// cut returns how many runs ended because their connections were closed.
func (s *server) cut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, how := range s.ended {
		if how == connectionClosed {
			count++
		}
	}
	return count
}

func (s *server) setEnded(id, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended[id] = how
}

// arrivalsAfter returns the requests that have reached the server after a time.
func (s *server) arrivalsAfter(after time.Time) []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	var later []arrival
	for _, a := range s.arrivals {
		if a.at.After(after) {
			later = append(later, a)
		}
	}
	return later
}

// setState changes the state in later heartbeats.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}
