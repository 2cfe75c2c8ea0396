package peer

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// Guards against heads whose bytes between availability zones cost more than the
// content that they carry, and against fields that are lost on the way.
func TestHeadsAreSmall(t *testing.T) {
	const mostBytes = 200
	call := &callHead{
		Call: lagoonbarrow.Call{
			ID:        "1a2b",
			Request:   "9c41d07be2a35f68",
			Priority:  200,
			Remaining: 1499999999,
			MaxWait:   250000000,
			Service:   "huvo11a",
			Host:      "hulo84.example",
			Method:    "GET",
			Path:      "/leny950/2f",
			Header: []lagoonbarrow.HeaderField{{
				Name:  "Caller-Service",
				Value: "wuno96b",
			}},
			Nested:        true,
			Configuration: 12,
		},
	}
	body, err := msgpack.Marshal(&packet{
		Call: call,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(body) > mostBytes {
		t.Errorf("a call's head has %d bytes", len(body))
	}
	var back packet
	if err := msgpack.Unmarshal(body, &back); err != nil {
		t.Fatal(err)
	}
	if back.Call == nil || back.Call.Path != call.Path || back.Call.Configuration != 12 || !back.Call.Nested || len(back.Call.Header) != 1 || back.Call.Header[0] != call.Header[0] {
		t.Fatalf("decoded %+v", back.Call)
	}
}
