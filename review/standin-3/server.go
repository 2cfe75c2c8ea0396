package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// heartbeatTimeout bounds one heartbeat.
const heartbeatTimeout = time.Second

// serverSlots is the number of slots that a server declares.
const serverSlots = 72

// exchange is a request that a server runs.
type exchange struct {
	id     string
	header http.Header
	path   string
	body   []byte
}

// responder runs a request and returns the bytes of its answer.
type responder func(request exchange) []byte

// serverConfig configures a server.
type serverConfig struct {
	id      string
	service string
	address string
	respond responder
	record  *record
}

// server is a stand-in for a backend server that writes the bytes of its answers itself.
type server struct {
	config   serverConfig
	listener net.Listener
	born     time.Time

	mu       sync.Mutex
	sequence int
	conns    map[net.Conn]bool
}

func newServer(config serverConfig) (*server, error) {
	listener, err := net.Listen("tcp", config.address)
	if err != nil {
		return nil, err
	}
	s := &server{
		config:   config,
		listener: listener,
		born:     time.Now(),
		conns:    map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

func (s *server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers one request after another. It closes the connection after an answer that ends with
// the connection.
func (s *server) serve(conn net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		answer := s.answer(request, body)
		if _, err := conn.Write(answer); err != nil || strings.Contains(string(answer), "Connection: close\r\n") {
			return
		}
	}
}

func (s *server) answer(request *http.Request, body []byte) []byte {
	if request.URL.Path == "/health" {
		return []byte("HTTP/1.1 200 OK\r\nInstance-Id: " + s.config.id + "\r\nContent-Length: 0\r\n\r\n")
	}
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.config.id {
		return []byte("HTTP/1.1 421 Misdirected Request\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	}
	return s.config.respond(exchange{
		id:     id,
		header: request.Header,
		path:   request.URL.Path,
		body:   body,
	})
}

// sendHeartbeat sends a heartbeat to the control address of the machine.
func (s *server) sendHeartbeat(to string) {
	s.mu.Lock()
	s.sequence++
	body := fmt.Sprintf(`{"address":%q,"born":%d,"info":{"service":%q,"version":"v1","zone":"zone-a","slots":%d},"status":{"state":"ready","sequence":%d,"cold-remaining":"0ms"}}`,
		s.config.address, s.born.UnixMilli(), s.config.service, serverSlots, s.sequence)
	s.mu.Unlock()
	request, err := http.NewRequest(http.MethodPut, "http://"+to+"/instances/"+s.config.id, strings.NewReader(body))
	if err != nil {
		return
	}
	client := http.Client{
		Timeout: heartbeatTimeout,
	}
	response, err := client.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

func (s *server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
