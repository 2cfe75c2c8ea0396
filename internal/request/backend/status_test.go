package backend

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform"
)

// invalidStatuses are status lines after the version that name no final status, or none at all.
var invalidStatuses = []string{
	"000 Zero", "001 One", "099 Low", "600 High", "999 High", "20 Short", "2000 Long", "2", "", "2x0 Letter", "+20 Sign", "-20 Sign", "20.", "0xc8 Hex", "\x00\x00\x00",
}

// Guards against an answer with an invalid status that is passed on, counts as a success (000) or
// as not run, or whose connection is used again.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const head = "\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n"
	for _, status := range invalidStatuses {
		for name, rest := range map[string]string{
			"whole":         head + "\r\nok",
			"not run":       head + "Not-Executed: 1\r\nLagoonbarrow-Outcome: not-run\r\n\r\nok",
			"after interim": "",
		} {
			t.Run(fmt.Sprintf("%q, %s", status, name), func(t *testing.T) {
				answer := "HTTP/1.1 " + status + rest
				if rest == "" {
					answer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 " + status + head + "\r\nok"
				}
				checkNoAnswer(t, answer, false)
			})
		}
	}
}

// checkNoAnswer fails unless the bytes are neither an answer to a request nor to a health probe, and
// their connections are closed. The server closes them if closeAfterAnswer is set.
func checkNoAnswer(t *testing.T, answer string, closeAfterAnswer bool) {
	t.Helper()
	s := startScriptedServer(t, respondWith(answer, closeAfterAnswer))
	client := newClient(t, s, func(config *Config) { config.Headers = platform.Headers() })
	checkCut(t, client, answer)
	if kept := len(client.pool.idle); kept != 0 {
		t.Errorf("%d connections are kept", kept)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if health, err := client.Health(ctx, "/health"); err == nil {
		t.Errorf("health status %d", health.Status)
	}
}

// relayTo sends a request to a server that answers with the bytes, and returns the answer and the client.
// The server closes the connection after them if closeAfterAnswer is set.
func relayTo(t *testing.T, sent string, closeAfterAnswer bool) (*lagoonbarrow.Answer, *Client) {
	t.Helper()
	s := startScriptedServer(t, respondWith(sent, closeAfterAnswer))
	client := newClient(t, s, func(config *Config) { config.Headers = platform.Headers() })
	call := newCall(http.MethodGet)
	call.Host = "one.example"
	return client.Relay(context.Background(), call, farDeadline()), client
}

// Guards against valid answers that are taken for invalid ones.
func TestUnusualStatusesAreAnswers(t *testing.T) {
	const head = "\r\nRequest-Id: r1\r\nResponse-Signature: s\r\nContent-Length: 2\r\n\r\nok"
	for line, want := range map[string]int{
		"HTTP/1.1 200":                                      200,
		"HTTP/1.1 299 Unknown":                              299,
		"HTTP/1.1 599":                                      599,
		"HTTP/1.1  404 Two Spaces":                          404,
		"\r\nHTTP/1.1 500 After A Break":                    500,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		t.Run(line, func(t *testing.T) {
			answer, _ := relayTo(t, line+head, false)
			if answer.Outcome != lagoonbarrow.OutcomeDone || answer.Status != want {
				t.Errorf("outcome %s, status %d", answer.Outcome, answer.Status)
			}
		})
	}
}
