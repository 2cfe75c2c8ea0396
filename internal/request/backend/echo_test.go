package backend

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform"
)

// refusalText returns a refusal in the format of both kinds of servers. It names the
// request with this id in the given header, unless the id is empty.
func refusalText(header, id string) string {
	echo := ""
	if id != "" {
		echo = header + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 E\r\nNot-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\n" + echo + "Content-Length: 0\r\n\r\n"
}

// answerText returns a whole answer whose body is the id of its request. It names the
// request in the given header, unless that is empty.
func answerText(header, id string) string {
	echo := ""
	if header != "" {
		echo = header + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(id), id)
}

// refuseTwice returns a script that refuses the first request of a connection. It writes
// the same refusal again before the answer to each further request. It refuses only on
// the first connection.
func refuseTwice(idHeader, refusalEcho, answerEcho string) func(*scriptedServer, net.Conn, *bufio.Reader) {
	return func(s *scriptedServer, c net.Conn, in *bufio.Reader) {
		refusal := ""
		for {
			request, ok := s.next(in)
			if !ok {
				return
			}
			id := request.Header.Get(idHeader)
			if s.requests.Load() == 1 {
				refusal = refusalText(idHeader, map[bool]string{true: id}[refusalEcho != ""])
				_, _ = c.Write([]byte(refusal))
				continue
			}
			_, _ = c.Write([]byte(refusal))
			time.Sleep(answerDelay)
			_, _ = c.Write([]byte(answerText(answerEcho, id)))
		}
	}
}

// answerDelay lets a repeated refusal arrive before the answer.
const answerDelay = 20 * time.Millisecond

// Guards against reporting a running request as not run because the server repeats its
// refusal of an earlier request.
func TestRepeatedRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	const (
		relayID  = "Request-Id"
		nativeID = lagoonbarrow.HeaderCall
	)
	tests := []struct {
		name        string
		relay       bool
		refusalEcho string
		answerEcho  string
	}{
		{"relay, id in the refusal", true, relayID, relayID},
		{"relay, no id in the refusal", true, "", relayID},
		{"native, id in all answers", false, nativeID, nativeID},
		{"native, no id in the refusal", false, "", nativeID},
		{"native, no ids", false, "", ""},
	}
	for _, test := range tests {
		for _, atMostOnce := range []bool{false, true} {
			t.Run(test.name+", at most once "+strconv.FormatBool(atMostOnce), func(t *testing.T) {
				header := nativeID
				if test.relay {
					header = relayID
				}
				s := startScriptedServer(t, refuseTwice(header, test.refusalEcho, test.answerEcho))
				client := newClient(t, s, func(config *Config) { config.Headers = platform.Headers() })
				send := func(id string) *lagoonbarrow.Answer {
					call := newCall(http.MethodPost)
					call.ID = lagoonbarrow.CallID(id)
					call.Request = lagoonbarrow.RequestID(id)
					call.Host = "one.example"
					call.AtMostOnce = atMostOnce
					if test.relay {
						return client.Relay(context.Background(), call, farDeadline())
					}
					return client.Run(context.Background(), call, farDeadline())
				}
				if answer := send("first"); answer.Outcome != lagoonbarrow.OutcomeNotRun {
					t.Fatalf("first request: %+v", answer)
				}
				for _, id := range []string{"second", "third"} {
					answer := send(id)
					if answer.Outcome != lagoonbarrow.OutcomeDone || string(answer.Body) != id {
						t.Fatalf("%s request: outcome %s, status %d, body %q", id, answer.Outcome, answer.Status, answer.Body)
					}
				}
			})
		}
	}
}
