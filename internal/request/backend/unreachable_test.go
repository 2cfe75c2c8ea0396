package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform"
)

// Guards against a call without a connection in time that is reported as not run although
// the server has received it.
func TestCallWithoutAConnectionHasNotRun(t *testing.T) {
	// The scripted server has room for the ends of 100 connections.
	const calls = 90
	server := startScriptedServer(t, respondWith("HTTP/1.1 204 No Content\r\n"+platform.Headers().Signature+": s\r\n\r\n", true))
	client := newClient(t, server, func(c *Config) {
		c.Headers = platform.Headers()
		// Some connections take longer than this, others don't.
		c.DialTimeout = 150 * time.Microsecond
	})
	reached := 0
	for i := range calls {
		answer := client.Relay(context.Background(), newRelayCall(fmt.Sprint(i)), time.Now().Add(callTimeout))
		if answer.SentToServer {
			reached++
			continue
		}
		if answer.Outcome != lagoonbarrow.OutcomeNotRun || answer.Reason != lagoonbarrow.ReasonUnreachable {
			t.Fatalf("outcome %s, reason %s", answer.Outcome, answer.Reason)
		}
	}
	t.Logf("%d of %d calls got a connection", reached, calls)
	if got := int(server.requests.Load()); got > reached {
		t.Errorf("the server got %d requests, %d were sent", got, reached)
	}
}
