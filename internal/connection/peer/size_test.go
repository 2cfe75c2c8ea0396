package peer

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
)

// Guards against call heads whose bytes cost more between availability zones than the
// content of the call, and against fields that are lost by the encoding.
func TestHeadsAreSmall(t *testing.T) {
	const maxBytes = 200
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
	if len(body) > maxBytes {
		t.Errorf("a call's head has %d bytes", len(body))
	}
	var decoded packet
	if err := msgpack.Unmarshal(body, &decoded); err != nil {
		t.Fatal(err)
	}
	if decoded.Call == nil || decoded.Call.Path != call.Path || decoded.Call.Configuration != 12 || !decoded.Call.Nested || len(decoded.Call.Header) != 1 || decoded.Call.Header[0] != call.Header[0] {
		t.Fatalf("decoded %+v", decoded.Call)
	}
}
