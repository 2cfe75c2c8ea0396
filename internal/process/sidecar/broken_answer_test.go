package sidecar

import (
	"bytes"
	"net/http"
	"testing"

	"lagoonbarrow/platform/standin"
)

// uploadBytes is the size of a request body that doesn't fit into the buffers of a connection.
const uploadBytes = 16 << 20

// Guards against a part of an answer, or an answer with a malformed head, that reaches a client as a
// whole one, and against a promise that its request was not run.
func TestBrokenAnswersDoNotReachClients(t *testing.T) {
	checkBrokenAnswers(t, map[standin.ResponseFault][]byte{
		standin.FaultEarlyReset:  make([]byte, uploadBytes),
		standin.FaultNameBlank:   []byte("content"),
		standin.FaultNameControl: []byte("content"),
	})
}

// Guards against an answer in chunks with a spoiled version, whose framing reaches a client as the
// body of a success, also if it was truncated.
func TestAnswersWithASpoiledVersionDoNotReachClients(t *testing.T) {
	checkBrokenAnswers(t, map[standin.ResponseFault][]byte{
		standin.FaultVersion:          []byte("content"),
		standin.FaultVersionTruncated: []byte("content"),
	})
}

// checkBrokenAnswers sends each of the bodies once at each node. It fails unless the request was run
// and the client got 502 for its faulty answer.
func checkBrokenAnswers(t *testing.T, content map[standin.ResponseFault][]byte) {
	t.Helper()
	f := newFleet(t, 0, func(id string) standin.ResponseFault { return standin.ResponseFault(id) })
	for fault, body := range content {
		id := string(fault)
		for i, m := range f.members {
			got := m.sendBody(http.MethodPost, "/file/x", id, "", bytes.NewReader(body))
			if got.err != nil || got.status != http.StatusBadGateway || f.runs(id) != i+1 {
				t.Errorf("%s at node %d: status %d, body %.100q, error %v, %d runs", fault, i, got.status, got.body, got.err, f.runs(id))
			}
		}
	}
}
