// Package script starts servers that send the bytes of a test, for the tests of HTTP clients.
package script

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"lagoonbarrow"
)

const (
	// UploadBytes is the size of a request body that doesn't fit into the buffers of a connection.
	UploadBytes = 16 << 20
	// resetDelay is the time between a response and a reset. The client is in the middle of the
	// write of an upload by then.
	resetDelay = 10 * time.Millisecond
)

// Handler handles one connection, which is closed when it returns.
type Handler func(conn *net.TCPConn, requests *bufio.Reader)

// Start starts a server that passes each connection to the handler, until the test ends.
func Start(t testing.TB, handle Handler) lagoonbarrow.Address {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				handle(conn.(*net.TCPConn), bufio.NewReader(conn))
			}()
		}
	}()
	return lagoonbarrow.Address(listener.Addr().String())
}

// Respond returns a handler that reads requests and answers each with the same bytes.
func Respond(response string) Handler {
	return func(conn *net.TCPConn, requests *bufio.Reader) {
		for {
			request, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return
			}
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}
}

// RespondAndReset returns a handler that answers as soon as a request begins to arrive and resets
// the connection while the rest is being sent.
func RespondAndReset(response string) Handler {
	return func(conn *net.TCPConn, requests *bufio.Reader) {
		if _, err := requests.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, response)
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
	}
}
