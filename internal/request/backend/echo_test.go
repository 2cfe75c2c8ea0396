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

// Headers that name the request in an answer, for each kind of server.
const (
	relayID  = "Request-Id"
	nativeID = lagoonbarrow.HeaderCall
)

// repeatingServer is a backend server that refuses the first request. On its connection it
// writes the same refusal again before the answer to each further request.
type repeatingServer struct {
	// idHeader is the header that names the request.
	idHeader string
	// namesRefusals and namesAnswers are set if such answers name their request.
	namesRefusals bool
	namesAnswers  bool
}

func (r repeatingServer) serve(s *scriptedServer, c net.Conn, in *bufio.Reader) {
	refusal := ""
	for {
		request, ok := s.next(in)
		if !ok {
			return
		}
		id := request.Header.Get(r.idHeader)
		if s.requests.Load() == 1 {
			refusal = r.refusal(id)
			_, _ = c.Write([]byte(refusal))
			continue
		}
		_, _ = c.Write([]byte(refusal))
		time.Sleep(answerDelay)
		_, _ = c.Write([]byte(r.answer(id)))
	}
}

// answerDelay lets a repeated refusal arrive before the answer.
const answerDelay = 20 * time.Millisecond

// refusal returns a refusal that both kinds of clients understand.
func (r repeatingServer) refusal(id string) string {
	return "HTTP/1.1 503 E\r\nNot-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\n" + r.nameLine(r.namesRefusals, id) + "Content-Length: 0\r\n\r\n"
}

// answer returns a whole answer whose body is the id of its request.
func (r repeatingServer) answer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n%sContent-Length: %d\r\n\r\n%s", r.nameLine(r.namesAnswers, id), len(id), id)
}

func (r repeatingServer) nameLine(named bool, id string) string {
	if !named {
		return ""
	}
	return r.idHeader + ": " + id + "\r\n"
}

// Guards against reporting a running request as not run because the server repeats its
// refusal of an earlier request.
func TestRepeatedRefusalIsNotTheAnswerToTheNextRequest(t *testing.T) {
	tests := []struct {
		name   string
		server repeatingServer
	}{
		{
			name: "relay, id in the refusal",
			server: repeatingServer{
				idHeader:      relayID,
				namesRefusals: true,
				namesAnswers:  true,
			},
		},
		{
			name: "relay, no id in the refusal",
			server: repeatingServer{
				idHeader:     relayID,
				namesAnswers: true,
			},
		},
		{
			name: "native, id in all answers",
			server: repeatingServer{
				idHeader:      nativeID,
				namesRefusals: true,
				namesAnswers:  true,
			},
		},
		{
			name: "native, no id in the refusal",
			server: repeatingServer{
				idHeader:     nativeID,
				namesAnswers: true,
			},
		},
		{
			name: "native, no ids",
			server: repeatingServer{
				idHeader: nativeID,
			},
		},
	}
	for _, test := range tests {
		for _, atMostOnce := range []bool{false, true} {
			t.Run(test.name+", at most once "+strconv.FormatBool(atMostOnce), func(t *testing.T) {
				checkRepeatedRefusal(t, test.server, atMostOnce)
			})
		}
	}
}

// checkRepeatedRefusal sends three requests and fails unless the first is not run and the
// others get their own answers.
func checkRepeatedRefusal(t *testing.T, server repeatingServer, atMostOnce bool) {
	t.Helper()
	s := startScriptedServer(t, server.serve)
	client := newClient(t, s, func(config *Config) { config.Headers = platform.Headers() })
	send := client.Run
	if server.idHeader == relayID {
		send = client.Relay
	}
	for i, id := range []string{"first", "second", "third"} {
		call := newCall(http.MethodPost)
		call.ID = lagoonbarrow.CallID(id)
		call.Request = lagoonbarrow.RequestID(id)
		call.Host = "one.example"
		call.AtMostOnce = atMostOnce
		answer := send(context.Background(), call, farDeadline())
		refused := answer.Outcome == lagoonbarrow.OutcomeNotRun
		answered := answer.Outcome == lagoonbarrow.OutcomeDone && string(answer.Body) == id
		if i == 0 && !refused || i > 0 && !answered {
			t.Fatalf("%s request: outcome %s, status %d, body %q", id, answer.Outcome, answer.Status, answer.Body)
		}
	}
}
