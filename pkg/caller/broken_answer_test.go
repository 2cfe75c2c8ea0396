package caller

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// uploadBytes is the size of a request body that doesn't fit into the buffers of a connection.
const uploadBytes = 16 << 20

// startNode starts a node that handles one connection with serve and then closes it.
func startNode(t *testing.T, serve func(conn *net.TCPConn, in *bufio.Reader)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		serve(conn.(*net.TCPConn), bufio.NewReader(conn))
	}()
	return listener.Addr().String()
}

// Guards against a part of a body that is taken for a whole answer: a write that fails because the
// connection was reset leaves the reader an end of file instead of the reset.
func TestAnswerWithoutALengthBeforeAResetIsNotWhole(t *testing.T) {
	for range 10 {
		address := startNode(t, answerAndReset("HTTP/1.1 200 OK\r\nLagoonbarrow-Outcome: done\r\n\r\npart"))
		if response, err := upload(t, address); !errors.Is(err, ErrUnknown) {
			t.Fatalf("response %+v, error %v", response, err)
		}
	}
}

// Guards against an answer without a length that isn't taken although the node ended it.
func TestAnswerWithoutALengthIsWhole(t *testing.T) {
	address := startNode(t, func(conn *net.TCPConn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nLagoonbarrow-Outcome: done\r\n\r\nwhole")
	})
	response, err := upload(t, address)
	if err != nil || string(response.Body) != "whole" {
		t.Errorf("response %+v, error %v", response, err)
	}
}

// answerAndReset answers as soon as a request begins to arrive and resets the connection while the
// rest is being sent.
func answerAndReset(answer string) func(*net.TCPConn, *bufio.Reader) {
	return func(conn *net.TCPConn, in *bufio.Reader) {
		if _, err := in.Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, answer)
		// The client is in the middle of its write by then.
		time.Sleep(10 * time.Millisecond)
		_ = conn.SetLinger(0)
	}
}

// upload sends a request whose body takes many writes.
func upload(t *testing.T, address string) (*Response, error) {
	t.Helper()
	return newClient(t, address).Do(context.Background(), Request{
		Method: http.MethodPost,
		Path:   "/resolutions",
		Body:   make([]byte, uploadBytes),
	})
}
