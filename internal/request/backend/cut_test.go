package backend

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"lagoonbarrow"
	"lagoonbarrow/platform"
)

// cutServer is a backend server that ends its answer after a number of bytes.
func cutServer(answer string, reset bool, cut *atomic.Int64) func(*scriptedServer, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, c net.Conn, in *bufio.Reader) {
		if _, ok := s.next(in); !ok {
			return
		}
		_, _ = c.Write([]byte(answer[:cut.Load()]))
		if reset {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against a success with an empty or short body for an answer that ended in its
// head.
func TestAnswerCutInTheHeadIsNotWhole(t *testing.T) {
	const (
		interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
		status  = "HTTP/1.1 200 OK\r\n"
		names   = "Request-Id: r1\r\nResponse-Signature: s\r\n"
	)
	tests := []struct {
		name string
		head string
		body string
	}{
		{
			name: "length last",
			head: status + names + "Content-Length: 4\r\n\r\n",
			body: "body",
		},
		{
			name: "length first",
			head: status + "Content-Length: 4\r\n" + names + "\r\n",
			body: "body",
		},
		{
			name: "no body",
			head: status + "Content-Length: 0\r\n" + names + "\r\n",
		},
		{
			name: "until close",
			head: status + names + "Connection: close\r\n\r\n",
			body: "body",
		},
		{
			name: "chunked",
			head: status + names + "Transfer-Encoding: chunked\r\n\r\n",
			body: "4\r\nbody\r\n0\r\n\r\n",
		},
		{
			name: "interim",
			head: interim + status + names + "Content-Length: 4\r\n\r\n",
			body: "body",
		},
		{
			name: "two interims",
			head: interim + interim + status + names + "\r\n",
			body: "body",
		},
		{
			name: "without reason",
			head: "HTTP/1.1 200\r\n" + names + "\r\n",
			body: "body",
		},
		{
			name: "bare line feeds",
			head: strings.ReplaceAll(status+names+"Content-Length: 4\r\n\r\n", "\r\n", "\n"),
			body: "body",
		},
		{
			name: "not modified",
			head: "HTTP/1.1 304 Not Modified\r\n" + names + "\r\n",
		},
		{
			name: "failure",
			head: "HTTP/1.1 500 E\r\n" + names + "Content-Length: 4\r\n\r\n",
			body: "body",
		},
		{
			name: "refusal",
			head: "HTTP/1.1 503 E\r\nNot-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
		},
	}
	for _, test := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(test.name+", reset "+strconv.FormatBool(reset), func(t *testing.T) {
				var cut atomic.Int64
				s := startScriptedServer(t, cutServer(test.head+test.body, reset, &cut))
				client := newClient(t, s, func(config *Config) { config.Headers = platform.Headers() })
				for length := range len(test.head) {
					cut.Store(int64(length))
					checkCut(t, client, test.head[:length])
				}
			})
		}
	}
}

// checkCut sends a request in each of the ways and fails unless its outcome is unknown.
func checkCut(t *testing.T, client *Client, sent string) {
	t.Helper()
	call := newCall(http.MethodGet)
	call.Host = "one.example"
	for name, send := range map[string]func() *lagoonbarrow.Answer{
		"relay":  func() *lagoonbarrow.Answer { return client.Relay(context.Background(), call, farDeadline()) },
		"native": func() *lagoonbarrow.Answer { return client.Run(context.Background(), call, farDeadline()) },
	} {
		if answer := send(); answer.Outcome != lagoonbarrow.OutcomeUnknown {
			t.Errorf("%s, %q: outcome %s, status %d, body %q", name, sent, answer.Outcome, answer.Status, answer.Body)
		}
	}
}
