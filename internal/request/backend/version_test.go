package backend

import (
	"fmt"
	"testing"

	"lagoonbarrow"
)

// spoiledVersions are versions with which a server doesn't answer. A body in chunks was read as one
// that ends with the connection after all of them that have two digits.
var spoiledVersions = []string{
	"HTTP/1.2", "HTTP/1.3", "HTTP/1.4", "HTTP/1.5", "HTTP/1.6", "HTTP/1.7", "HTTP/1.8", "HTTP/1.9", "HTTP/0.1", "HTTP/0.9", "HTTP/2.0", "HTTP/2.1", "HTTP/9.1",
	"HTTP/1.", "HTTP/1.11", "HTTP/1.1x", "HTTQ/1.1", "http/1.1", "",
}

// Guards against an answer whose version was spoiled: its framing reached the client as the body of a
// success, and a truncated body as a whole one.
func TestSpoiledVersionIsNoAnswer(t *testing.T) {
	const (
		names   = " 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nConnection: close\r\n"
		chunked = names + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
		refusal = " 503 E\r\nNot-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\nConnection: close\r\n"
	)
	rests := map[string]string{
		"in chunks":            chunked + "0\r\n\r\n",
		"in chunks, truncated": chunked,
		"refusal in chunks":    refusal + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	}
	for name, rest := range rests {
		t.Run("HTTP/1.0, "+name, func(t *testing.T) {
			checkNoAnswer(t, "HTTP/1.0"+rest, true)
		})
	}
	rests["with a length"] = names + "Content-Length: 2\r\n\r\nok"
	rests["without a length"] = names + "\r\nok"
	rests["refusal without a body"] = refusal + "Content-Length: 0\r\n\r\n"
	for _, version := range spoiledVersions {
		for name, rest := range rests {
			t.Run(fmt.Sprintf("%q, %s", version, name), func(t *testing.T) {
				checkNoAnswer(t, version+rest, true)
			})
		}
	}
}

// Guards against whole answers of a server that uses HTTP/1.0, which are not taken, or whose
// connections are used again.
func TestAnswersOfHTTP10AreAnswers(t *testing.T) {
	const head = "HTTP/1.0 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
	for _, rest := range []string{"Content-Length: 2\r\n\r\nok", "\r\nok"} {
		t.Run(rest, func(t *testing.T) {
			answer, client := relayTo(t, head+rest, true)
			if answer.Outcome != lagoonbarrow.OutcomeDone || string(answer.Body) != "ok" {
				t.Errorf("outcome %s, body %q", answer.Outcome, answer.Body)
			}
			if kept := len(client.pool.idle); kept != 0 {
				t.Errorf("%d connections are kept", kept)
			}
		})
	}
}
