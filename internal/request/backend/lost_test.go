package backend

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow/internal/standin/script"
	"lagoonbarrow/platform"
)

// Guards against a lost answer whose cause no log line names, and against a server that decides how
// much is logged.
func TestCausesOfLostAnswersAreLogged(t *testing.T) {
	// maxLineBytes has room for the cause and for the rest of a line.
	const maxLineBytes = 2 * maxLoggedErrorBytes
	tests := []struct {
		line string
		want string
	}{
		{
			line: "X Name: y",
			want: "invalid field line",
		},
		{
			line: "X: " + strings.Repeat("y", 8<<10) + "\x00",
			want: "invalid header value",
		},
	}
	for _, test := range tests {
		client, log := newLoggingClient(t, "HTTP/1.1 200 OK\r\n"+test.line+"\r\n\r\n")
		client.Relay(context.Background(), newRelayCall("r1"), farDeadline())
		if text := log.String(); !strings.Contains(text, test.want) || !strings.Contains(text, "request=r1") || len(text) > maxLineBytes {
			t.Errorf("log of %d bytes: %.500s", len(text), text)
		}
	}
}

// Guards against a log line for each call that was cancelled or that came too late.
func TestCancelledCallsAreNotLoggedAsLostAnswers(t *testing.T) {
	client, log := newLoggingClient(t, "")
	client.Relay(context.Background(), newRelayCall("r1"), time.Now().Add(50*time.Millisecond))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	client.Relay(ctx, newRelayCall("r2"), farDeadline())
	if log.Len() > 0 {
		t.Errorf("log %s", log.String())
	}
}

// newLoggingClient returns a client of a server that always sends the same bytes, and its log.
func newLoggingClient(t *testing.T, response string) (*Client, *bytes.Buffer) {
	t.Helper()
	var log bytes.Buffer
	client, err := New(Config{
		Address: script.Start(t, script.Respond(response)),
		Headers: platform.Headers(),
		Logger: hclog.New(&hclog.LoggerOptions{
			Output: &log,
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client, &log
}
