package contract

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

const validHash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"

const validText = `{"customer":"acme","key-hashes":["` + validHash + `"],
"work-units-per-second":100,"burst-work-units":200,"classes":[
{"name":"file","method":"POST","path-prefix":"/resolutions","importance":"critical","work-units":5,"deadline":"2s","retry-tokens":0,"at-most-once":true},
{"name":"browse","path-prefix":"/minutes","importance":"deferrable","work-units":1,"deadline":"1m","long":true}]}`

const faultyText = `{"customer":"no/slash","key-hashes":["XYZ","` + validHash + `","` + validHash + `"],
"work-units-per-second":-1,"burst-work-units":10,"classes":[
{"name":"browse","path-prefix":"/","importance":"normal","work-units":1},
{"name":"file","method":"FETCH","path-prefix":"resolutions","importance":"critical","work-units":11,"retry-tokens":-1,"long":true,"at-most-once":true},
{"name":"file","path-prefix":"/hidden","importance":"urgent","deadline":"-1ns"}]}`

// Guards against an error that lists only some of the faults, so that an operator
// has to correct them one at a time.
func TestDecodeReportsAllFaults(t *testing.T) {
	_, err := Decode([]byte(faultyText))
	var invalid *InvalidError
	if !errors.Is(err, lagoonbarrow.ErrInvalid) || !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	wanted := []string{
		"customer", "not a lower-case hex", "given twice", "work-units-per-second: -1 is negative", "unknown method",
		"path-prefix", "needs a deadline", "above burst-work-units", "retry-tokens -1 is negative", "can't be long",
		"used twice", "unknown importance", "work-units is 0", "deadline -1ns is negative", "never matched",
	}
	for _, part := range wanted {
		if !slices.ContainsFunc(invalid.Faults, func(fault string) bool { return strings.Contains(fault, part) }) {
			t.Errorf("no fault names %q in %q", part, invalid.Faults)
		}
	}
	if len(invalid.Faults) != len(wanted) {
		t.Errorf("%d faults, expected %d: %q", len(invalid.Faults), len(wanted), invalid.Faults)
	}
}

// Guards against a misspelled or repeated part of a contract that is ignored.
func TestDecodeRejectsInvalidText(t *testing.T) {
	contract, err := Decode([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	if contract.Classes[0].RetryTokens != 0 || contract.Classes[1].RetryTokens != DefaultRetryTokens {
		t.Errorf("retry tokens %d and %d", contract.Classes[0].RetryTokens, contract.Classes[1].RetryTokens)
	}
	cases := []struct {
		name string
		text string
		want error
	}{
		{
			name: "unknown field",
			text: strings.Replace(validText, `"long"`, `"lnog"`, 1),
			want: lagoonbarrow.ErrInvalid,
		},
		{
			name: "text after the end",
			text: validText + "{}",
			want: lagoonbarrow.ErrInvalid,
		},
		{
			name: "oversized",
			text: validText + strings.Repeat(" ", MaxContractBytes),
			want: lagoonbarrow.ErrTooLarge,
		},
		{
			name: "empty",
			want: lagoonbarrow.ErrInvalid,
		},
		{
			name: "number as deadline",
			text: strings.Replace(validText, `"2s"`, `2`, 1),
			want: lagoonbarrow.ErrInvalid,
		},
	}
	for _, test := range cases {
		if _, err := Decode([]byte(test.text)); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v", test.name, err)
		}
	}
}

// Guards against a decoder that panics, or that accepts a contract which changes
// when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validText))
	f.Add([]byte(`{"classes":[null],"classes":[]}`))
	f.Add([]byte(`{"customer":"a","Classes":[{}],"classes":[{},{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		contract, err := Decode(text)
		if err != nil {
			if !errors.Is(err, lagoonbarrow.ErrInvalid) && !errors.Is(err, lagoonbarrow.ErrTooLarge) {
				t.Fatalf("unexpected error %v", err)
			}
			return
		}
		encoded, err := json.Marshal(contract)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(contract, decoded) {
			t.Fatalf("decoded again: %v, %+v instead of %+v", err, decoded, contract)
		}
	})
}

// Guards against messages of faulty or newer peers that crash a node or cause a
// gap in its registry.
func FuzzMessages(f *testing.F) {
	push := pushMessage{
		Revision: 1,
		Records:  []lagoonbarrow.ContractRecord{testRecord("acme", 1, testHash(1))},
	}
	for _, value := range []any{push, pullRequest{}, Status{}} {
		message, _ := frame.EncodeMessage(KindPush, value)
		f.Add(message.Body)
	}
	// The header of an array of 3 billion records without any record.
	f.Add([]byte("\x81\xa7records\xdd\xbd\xbd\xbd\xbd"))
	f.Fuzz(func(_ *testing.T, body []byte) {
		message := lagoonbarrow.Message{
			Kind: KindPush,
			Body: body,
		}
		_, _ = DecodeStatus(message)
		var request pullRequest
		_ = frame.DecodeMessage(message, &request)
		registry := NewRegistry(RegistryConfig{})
		registry.Load(nil, 0)
		if push, err := decodePush(message); err == nil {
			registry.Apply(push.Records)
		}
		if answer, err := decodePullAnswer(message); err == nil {
			registry.Apply(answer.Records)
		}
		registry.Recent(request.After, 100)
	})
}

// Guards against a contract that changes when it is encoded in a message.
func TestMessageRoundTrip(t *testing.T) {
	contract, err := Decode([]byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	sent := testRecord("acme", 1)
	sent.Contract = &contract
	message, err := frame.EncodeMessage(KindPush, pushMessage{
		Revision: 1,
		Records:  []lagoonbarrow.ContractRecord{sent},
	})
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(message.Body), "key-hashes") {
		t.Error("field names are not in kebab-case")
	}
	push, err := decodePush(message)
	if err != nil || !reflect.DeepEqual(push.Records[0], sent) {
		t.Fatalf("got %+v, %v", push, err)
	}
}

// Guards against a class with a deadline of 0, whose requests would all be past it.
func TestDecodeSetsDefaultDeadline(t *testing.T) {
	contract, err := Decode([]byte(`{
		"customer": "residents",
		"key-hashes": ["e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"],
		"work-units-per-second": 10,
		"burst-work-units": 10,
		"classes": [{"name": "browse", "path-prefix": "/", "importance": "deferrable", "work-units": 1}]
	}`))
	if err != nil {
		t.Fatal(err)
	}
	if time.Duration(contract.Classes[0].Deadline) != DefaultDeadline {
		t.Fatalf("got a deadline of %v", time.Duration(contract.Classes[0].Deadline))
	}
}
