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
		{
			text:  "14.7",
			want:  14.7,
			valid: true,
		},
		{
			text:  "20",
			want:  20,
			valid: true,
		},
		{
			text:  "0",
			want:  0,
			valid: true,
		},
		{
			text:  ".5",
			want:  0.5,
			valid: true,
		},
		{
			text:  "100000000000",
			want:  1e11,
			valid: true,
		},
		{
			text:  strings.Repeat("9", 400),
			want:  0,
			valid: false,
		},
		{
			text:  "-1",
			want:  0,
			valid: false,
		},
		{
			text:  "+1",
			want:  0,
			valid: false,
		},
		{
			text:  "1e3",
			want:  0,
			valid: false,
		},
		{
			text:  "NaN",
			want:  0,
			valid: false,
		},
		{
			text:  "Inf",
			want:  0,
			valid: false,
		},
		{
			text:  "0x10",
			want:  0,
			valid: false,
		},
		{
			text:  "1 2",
			want:  0,
			valid: false,
		},
		{
			text:  "1.2.3",
			want:  0,
			valid: false,
		},
		{
			text:  ".",
			want:  0,
			valid: false,
		},
		{
			text:  "many",
			want:  0,
			valid: false,
		},
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
		{
			name:    "whole",
			fault:   "",
			server:  "i-1",
			want:    true,
			outcome: lagoonbarrow.OutcomeDone,
		},
		{
			name:    "failed",
			fault:   standin.FaultFailed,
			server:  "i-1",
			want:    true,
			outcome: lagoonbarrow.OutcomeDone,
		},
		{
			name:    "refused",
			fault:   standin.FaultNotRun,
			server:  "i-1",
			want:    true,
			outcome: lagoonbarrow.OutcomeNotRun,
		},
		{
			name:    "another server",
			fault:   "",
			server:  "i-2",
			want:    false,
			outcome: lagoonbarrow.OutcomeNotRun,
		},
		{
			name:    "unsigned",
			fault:   standin.FaultUnsigned,
			server:  "i-1",
			want:    false,
			outcome: lagoonbarrow.OutcomeUnknown,
		},
		{
			name:    "truncated",
			fault:   standin.FaultTruncated,
			server:  "i-1",
			want:    false,
			outcome: lagoonbarrow.OutcomeUnknown,
		},
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
