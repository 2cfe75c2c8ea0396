package backend

import (
	"context"
	"net/http"
	"testing"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/script"
	"lagoonbarrow/platform"
)

// Guards against a part of a body that is passed on as a whole answer: a write that fails because
// the server has reset the connection leaves the reader an end of file instead of the reset.
func TestAnswerWithoutALengthBeforeAResetIsNotWhole(t *testing.T) {
	const names = "Request-Id: r1\r\nResponse-Signature: s\r\nLagoonbarrow-Outcome: done\r\n"
	tests := []struct {
		name   string
		answer string
	}{
		{
			name:   "part of the body",
			answer: "HTTP/1.1 200 OK\r\n" + names + "\r\npart",
		},
		{
			name:   "no body",
			answer: "HTTP/1.1 200 OK\r\n" + names + "\r\n",
		},
		{
			name:   "announced close",
			answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n" + names + "\r\npart",
		},
		{
			name:   "old version",
			answer: "HTTP/1.0 200 OK\r\n" + names + "\r\npart",
		},
		{
			name:   "failure",
			answer: "HTTP/1.1 500 E\r\n" + names + "\r\npart",
		},
		{
			name:   "after interim",
			answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + names + "\r\npart",
		},
		{
			name:   "part of a declared length",
			answer: "HTTP/1.1 200 OK\r\n" + names + "Content-Length: 5\r\n\r\npart",
		},
		{
			name:   "part of the chunks",
			answer: "HTTP/1.1 200 OK\r\n" + names + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newClientOf(t, script.Start(t, script.RespondAndReset(test.answer)))
			call := newUpload()
			for name, answer := range map[string]*lagoonbarrow.Answer{
				"relay":  client.Relay(context.Background(), call, farDeadline()),
				"native": client.Run(context.Background(), call, farDeadline()),
			} {
				if answer.Outcome != lagoonbarrow.OutcomeUnknown || !answer.SentToServer {
					t.Errorf("%s: outcome %s, status %d, body %q", name, answer.Outcome, answer.Status, answer.Body)
				}
			}
		})
	}
}

// Guards against a whole answer to an upload that is lost because the server then resets the
// connection.
func TestWholeAnswerBeforeAResetIsDelivered(t *testing.T) {
	const head = "HTTP/1.1 413 Too Large\r\nRequest-Id: r1\r\n"
	for _, answer := range []string{
		head + "Content-Length: 5\r\n\r\nwhole",
		head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		client := newClientOf(t, script.Start(t, script.RespondAndReset(answer)))
		got := client.Relay(context.Background(), newUpload(), farDeadline())
		if got.Outcome != lagoonbarrow.OutcomeDone || got.Status != http.StatusRequestEntityTooLarge || string(got.Body) != "whole" {
			t.Errorf("%q: outcome %s, status %d, body %q", answer, got.Outcome, got.Status, got.Body)
		}
	}
}

// Guards against an unknown outcome for an upload that a server has refused in a whole head. The body
// of a refusal isn't passed on, so it may be cut off.
func TestRefusalWithoutALengthBeforeAResetIsRead(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		reason lagoonbarrow.Reason
	}{
		{
			name:   "full server",
			answer: "HTTP/1.1 503 E\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nRetry-After: 2\r\n\r\npart",
			reason: lagoonbarrow.ReasonShed,
		},
		{
			name:   "another server",
			answer: "HTTP/1.1 421 E\r\nRequest-Id: r1\r\n\r\npart",
			reason: lagoonbarrow.ReasonLeaving,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client := newClientOf(t, script.Start(t, script.RespondAndReset(test.answer)))
			got := client.Relay(context.Background(), newUpload(), farDeadline())
			if got.Outcome != lagoonbarrow.OutcomeNotRun || got.Reason != test.reason || len(got.Body) > 0 {
				t.Errorf("outcome %s, reason %s, status %d, body %q", got.Outcome, got.Reason, got.Status, got.Body)
			}
			if kept := len(client.pool.idle); kept != 0 {
				t.Errorf("%d connections are kept", kept)
			}
		})
	}
}

func newClientOf(t *testing.T, server lagoonbarrow.Address) *Client {
	t.Helper()
	client, err := New(Config{
		Address: server,
		Headers: platform.Headers(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func newUpload() *lagoonbarrow.Call {
	call := newCall(http.MethodPost)
	call.Host = "one.example"
	call.Body = make([]byte, script.UploadBytes)
	return call
}
