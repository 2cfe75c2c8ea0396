package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/script"
)

// Guards against a part of a body that is taken for a whole answer: a write that fails because the
// connection was reset leaves the reader an end of file instead of the reset.
func TestAnswerWithoutALengthBeforeAResetIsNotWhole(t *testing.T) {
	for range 10 {
		address := script.Start(t, script.RespondAndReset("HTTP/1.1 200 OK\r\nLagoonbarrow-Outcome: done\r\n\r\npart"))
		if response, err := upload(t, address); !errors.Is(err, ErrUnknown) {
			t.Fatalf("response %+v, error %v", response, err)
		}
	}
}

// Guards against an answer without a length that isn't taken although the node ended it.
func TestAnswerWithoutALengthIsWhole(t *testing.T) {
	address := script.Start(t, func(conn *net.TCPConn, in *bufio.Reader) {
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

// upload sends a request whose body takes many writes.
func upload(t *testing.T, address lagoonbarrow.Address) (*Response, error) {
	t.Helper()
	return newClient(t, string(address)).Do(context.Background(), Request{
		Method: http.MethodPost,
		Path:   "/resolutions",
		Body:   make([]byte, script.UploadBytes),
	})
}

// checkNoAnswer fails unless the outcome of a request that gets these bytes, and then the end of the
// connection, is unknown.
func checkNoAnswer(t *testing.T, sent string) {
	t.Helper()
	address := script.Start(t, func(conn *net.TCPConn, in *bufio.Reader) {
		if _, err := http.ReadRequest(in); err == nil {
			_, _ = io.WriteString(conn, sent)
		}
	})
	response, err := newClient(t, string(address)).Do(context.Background(), Request{
		Method: http.MethodPost,
		Path:   "/resolutions",
	})
	if !errors.Is(err, ErrUnknown) {
		t.Errorf("response %+v, error %v", response, err)
	}
}

// Guards against an answer in whose head a field name holds a blank or a control byte: the line was
// passed on, or ended the head, so that the body was not the server's.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		names  = lagoonbarrow.HeaderOutcome + ": done\r\n"
		length = "Content-Length: 2\r\n"
		end    = "\r\nok"
	)
	for _, line := range []string{"X Name: y\r\n", "X-Name : y\r\n", " X-Name: y\r\n", "\tX-Name: y\r\n", "\nX-Name: y\r\n", "\x00X-Name: y\r\n", "X\x7f-Name: y\r\n", "X-Name\x01: y\r\n", "Content-Length : 1\r\n"} {
		for position, answer := range map[string]string{
			"first":          status + line + names + length + end,
			"in the middle":  status + names + line + length + end,
			"last":           status + names + length + line + end,
			"without length": status + names + line + end,
		} {
			t.Run(fmt.Sprintf("%q, %s", line, position), func(t *testing.T) {
				checkNoAnswer(t, answer)
			})
		}
	}
}

// Guards against an answer whose version was spoiled: net/http takes the framing for the body after
// HTTP/1.0, and reads other versions as if they were HTTP/1.1.
func TestSpoiledVersionIsNoAnswer(t *testing.T) {
	const (
		names   = " 200 OK\r\n" + lagoonbarrow.HeaderOutcome + ": done\r\nConnection: close\r\n"
		chunked = names + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
		length  = names + "Content-Length: 2\r\n\r\nok"
	)
	answers := []string{"HTTP/1.0" + chunked, "HTTP/1.0" + chunked + "0\r\n\r\n"}
	for _, version := range []string{"HTTP/1.2", "HTTP/1.9", "HTTP/0.1", "HTTP/2.1", "HTTP/1.", "HTTQ/1.1"} {
		answers = append(answers, version+length, version+chunked, version+chunked+"0\r\n\r\n")
	}
	for _, answer := range answers {
		t.Run(fmt.Sprintf("%q", answer), func(t *testing.T) {
			checkNoAnswer(t, answer)
		})
	}
}

// Guards against an answer on a connection that was used before, which isn't checked.
func TestInvalidFieldNameOfALaterAnswerIsNoAnswer(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nLagoonbarrow-Outcome: done\r\nContent-Length: 2\r\n\r\nok"
	answers := make(chan string, 3)
	answers <- valid
	answers <- valid
	answers <- strings.Replace(valid, "Content-Length", "X Name: y\r\nContent-Length", 1)
	address := script.Start(t, func(conn *net.TCPConn, in *bufio.Reader) {
		for {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, <-answers)
		}
	})
	client := newClient(t, string(address))
	for i, want := range []error{nil, nil, ErrUnknown} {
		_, err := client.Do(context.Background(), Request{
			Method: http.MethodPost,
			Path:   "/resolutions",
		})
		if !errors.Is(err, want) {
			t.Errorf("answer %d: error %v", i, err)
		}
	}
}

// Guards against the body of an answer that is checked as a head, because it arrives while the
// request is being written.
func TestAnswerDuringARequestIsWhole(t *testing.T) {
	const half = "no : head\r\n\r\n"
	address := script.Start(t, func(conn *net.TCPConn, in *bufio.Reader) {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nLagoonbarrow-Outcome: done\r\nContent-Length: %d\r\n\r\n%s", 2*len(half), half)
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, half)
	})
	response, err := upload(t, address)
	if err != nil || string(response.Body) != half+half {
		t.Errorf("response %+v, error %v", response, err)
	}
}
