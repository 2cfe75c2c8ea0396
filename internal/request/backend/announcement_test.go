package backend

import (
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/platform"
	"lagoonbarrow/platform/standin"
)

// Guards against a limit that is misread, and against odd values that disable the limit or
// the server.
func TestParseLimit(t *testing.T) {
	tests := []struct {
		text  string
		want  lagoonbarrow.RequestsPerSecond
		valid bool
	}{
		{"14.7", 14.7, true},
		{"20", 20, true},
		{"0", 0, true},
		{".5", 0.5, true},
		{"100000000000", 1e11, true},
		{strings.Repeat("9", 400), 0, false},
		{"-1", 0, false},
		{"+1", 0, false},
		{"1e3", 0, false},
		{"NaN", 0, false},
		{"Inf", 0, false},
		{"0x10", 0, false},
		{"1 2", 0, false},
		{"1.2.3", 0, false},
		{".", 0, false},
		{"many", 0, false},
	}
	for _, test := range tests {
		got, valid := parseLimit(test.text)
		if got != test.want || valid != test.valid {
			t.Errorf("%q: got %g, %t", test.text, got, valid)
		}
	}
}

// Guards against announcements that are missed, or taken from an answer that is not the
// server's own.
func TestAnnouncementsOfAnswers(t *testing.T) {
	tests := []struct {
		name    string
		fault   standin.ResponseFault
		server  lagoonbarrow.ServerID
		want    bool
		outcome lagoonbarrow.Outcome
	}{
		{"whole", "", "i-1", true, lagoonbarrow.OutcomeDone},
		{"failed", standin.FaultFailed, "i-1", true, lagoonbarrow.OutcomeDone},
		{"refused", standin.FaultNotRun, "i-1", true, lagoonbarrow.OutcomeNotRun},
		{"another server", "", "i-2", false, lagoonbarrow.OutcomeNotRun},
		{"unsigned", standin.FaultUnsigned, "i-1", false, lagoonbarrow.OutcomeUnknown},
		{"truncated", standin.FaultTruncated, "i-1", false, lagoonbarrow.OutcomeUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			client, server := newRelayClient(t, standin.ServerConfig{
				ResponseFault: func(string) standin.ResponseFault { return test.fault },
			})
			server.Announce(standin.Announcement{
				Limit:   "12.5",
				Leaving: true,
			})
			call := newRelayCall("request")
			call.Server = test.server
			answer := relay(client, call)
			if answer.Outcome != test.outcome {
				t.Fatalf("outcome %s", answer.Outcome)
			}
			got := answer.Announcement
			if !test.want {
				if got != nil {
					t.Errorf("announcement %+v", got)
				}
				return
			}
			if got == nil || !got.Limited || got.Limit != 12.5 || !got.Leaving || got.Malformed {
				t.Errorf("announcement %+v", got)
			}
		})
	}
}

// Guards against a malformed limit that is taken for no limit.
func TestMalformedLimitIsMarked(t *testing.T) {
	header := &fasthttp.ResponseHeader{}
	header.Set(platform.Headers().Limit, "fast")
	got := announcement(header, platform.Headers())
	if !got.Malformed || got.Limited {
		t.Errorf("announcement %+v", got)
	}
}
