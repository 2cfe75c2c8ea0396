package backend

import (
	"context"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

func newRelayClient(t *testing.T, config standin.ServerConfig) (*Client, *standin.Server) {
	t.Helper()
	config.ID = "i-1"
	server, err := standin.NewServer(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	client, err := New(Config{
		Address:       server.Address(),
		Headers:       platform.Headers(),
		MaxUnsafeIdle: -1,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client, server
}

func newRelayCall(id string) *lagoonbarrow.Call {
	return &lagoonbarrow.Call{
		ID:      lagoonbarrow.CallID(id),
		Request: lagoonbarrow.RequestID(id),
		Server:  "i-1",
		Host:    "one.example",
		Method:  "POST",
		Path:    "/a/b?c=%2F",
		Body:    []byte("body"),
	}
}

func relay(client *Client, call *lagoonbarrow.Call) *lagoonbarrow.Answer {
	return client.Relay(context.Background(), call, time.Now().Add(2*time.Second))
}

// Guards against answers that are truncated, unsigned or belong to another request,
// and against a wrong outcome for the request.
func TestRelayDetectsDamagedAnswers(t *testing.T) {
	rows := []struct {
		fault  standin.ResponseFault
		want   lagoonbarrow.Outcome
		status int
	}{
		{"", lagoonbarrow.OutcomeDone, 200},
		{standin.FaultTruncated, lagoonbarrow.OutcomeUnknown, 0},
		{standin.FaultCutHead, lagoonbarrow.OutcomeUnknown, 0},
		{standin.FaultRepeatedRefusal, lagoonbarrow.OutcomeNotRun, 503},
		{standin.FaultExtra, lagoonbarrow.OutcomeDone, 200},
		{standin.FaultStray, lagoonbarrow.OutcomeDone, 200},
		{standin.FaultUnframed, lagoonbarrow.OutcomeDone, 200},
		{standin.FaultUnframedReset, lagoonbarrow.OutcomeUnknown, 0},
		{standin.FaultReset, lagoonbarrow.OutcomeUnknown, 0},
		{standin.FaultEndless, lagoonbarrow.OutcomeUnknown, 0},
		{standin.FaultUnsigned, lagoonbarrow.OutcomeUnknown, 200},
		{standin.FaultNotRun, lagoonbarrow.OutcomeNotRun, 503},
		{standin.FaultFailed, lagoonbarrow.OutcomeDone, 500},
		{standin.FaultUnmarked503, lagoonbarrow.OutcomeUnknown, 503},
	}
	for _, row := range rows {
		t.Run("fault "+string(row.fault), func(t *testing.T) {
			client, _ := newRelayClient(t, standin.ServerConfig{
				ResponseFault: func(string) standin.ResponseFault { return row.fault },
			})
			for _, id := range []string{"first", "second"} {
				answer := relay(client, newRelayCall(id))
				if answer.Outcome != row.want || answer.Status != row.status || !answer.SentToServer {
					t.Fatalf("%s: %+v", id, answer)
				}
				wantBody := string(standin.Echo("POST", "/a/b?c=%2F", id, []byte("body")))
				if answer.Outcome == lagoonbarrow.OutcomeDone && string(answer.Body) != wantBody {
					t.Fatalf("%s: body %s, want %s", id, answer.Body, wantBody)
				}
			}
		})
	}
}

// Guards against reuse of a connection that delivered an answer to another request.
// Its server may close it or send more stray answers.
func TestRelayClosesAConnectionWithStrayAnswers(t *testing.T) {
	client, _ := newRelayClient(t, standin.ServerConfig{
		ResponseFault: func(string) standin.ResponseFault { return standin.FaultStray },
	})
	if answer := relay(client, newRelayCall("first")); answer.Outcome != lagoonbarrow.OutcomeDone {
		t.Fatalf("answer %+v", answer)
	}
	if kept := len(client.pool.idle); kept != 0 {
		t.Fatalf("%d connections are kept, want 0", kept)
	}
}

// Guards against a request that is run by another server that now has the address.
func TestRelayNamesTheExpectedServer(t *testing.T) {
	client, server := newRelayClient(t, standin.ServerConfig{})
	call := newRelayCall("first")
	call.Server = "i-2"
	answer := relay(client, call)
	if answer.Outcome != lagoonbarrow.OutcomeNotRun || answer.Status != 421 || server.Runs("first") != 0 {
		t.Fatalf("answer %+v, %d runs", answer, server.Runs("first"))
	}
}

// Guards against servers that continue a request after its client cancelled it, and
// against reuse of its connection.
func TestRelayClosesTheConnectionOfACancelledRequest(t *testing.T) {
	client, server := newRelayClient(t, standin.ServerConfig{
		WorkDuration: time.Minute,
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan *lagoonbarrow.Answer)
	go func() {
		ended <- client.Relay(ctx, newRelayCall("first"), time.Now().Add(time.Minute))
	}()
	for server.Runs("first") == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if answer := <-ended; answer.Outcome != lagoonbarrow.OutcomeUnknown {
		t.Fatalf("answer %+v", answer)
	}
	for server.Stats().Abandoned == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against sending a request that must not be sent twice on an idle connection
// that the server may have closed.
func TestRelayUsesNewConnectionsForRequestsThatRunOnce(t *testing.T) {
	client, _ := newRelayClient(t, standin.ServerConfig{})
	for _, id := range []string{"first", "second"} {
		call := newRelayCall(id)
		call.AtMostOnce = true
		if answer := relay(client, call); answer.Outcome != lagoonbarrow.OutcomeDone {
			t.Fatalf("answer %+v", answer)
		}
	}
	if kept := len(client.pool.idle); kept != 2 {
		t.Fatalf("%d connections were opened, want 2", kept)
	}
}

// Guards against reporting a server that is down as one that refuses requests.
func TestRelayReportsAnUnreachableServer(t *testing.T) {
	client, server := newRelayClient(t, standin.ServerConfig{})
	server.Close()
	answer := relay(client, newRelayCall("first"))
	if answer.Outcome != lagoonbarrow.OutcomeNotRun || answer.Reason != lagoonbarrow.ReasonUnreachable || answer.SentToServer {
		t.Fatalf("answer %+v", answer)
	}
}

// Guards against idle connections that use up the connection limit of the server.
func TestRelayKeepsFewIdleConnections(t *testing.T) {
	client, _ := newRelayClient(t, standin.ServerConfig{})
	client.pool.config.MaxIdle = 2
	for _, id := range []string{"first", "second", "third"} {
		call := newRelayCall(id)
		call.AtMostOnce = true
		relay(client, call)
	}
	if kept := len(client.pool.idle); kept != 2 {
		t.Fatalf("%d idle connections are kept", kept)
	}
}
