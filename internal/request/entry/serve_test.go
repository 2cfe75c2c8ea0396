package entry

import (
	"net/url"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

// Guards against requests that reach the caller though they must not, and
// against a wrong status.
func TestEntryStatus(t *testing.T) {
	cases := []struct {
		name    string
		method  string
		target  string
		headers []string
		parts   fakeParts
		want    int
	}{
		{
			name:   "read",
			method: "GET",
			target: "/browse/1?x=../y//",
			parts:  fakeParts{},
			want:   200,
		},
		{
			name:   "escaped",
			method: "GET",
			target: "/browse/a%20b",
			parts:  fakeParts{},
			want:   200,
		},
		{
			name:    "filing",
			method:  "POST",
			target:  "/orders/1",
			headers: []string{"Idempotency-Key", "k"},
			parts:   fakeParts{},
			want:    200,
		},
		{
			name:   "filing without key",
			method: "POST",
			target: "/orders/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:    "filing, platform down",
			method:  "POST",
			target:  "/orders/1",
			headers: []string{"Idempotency-Key", "k"},
			parts: fakeParts{
				platformDown: true,
			},
			want: 503,
		},
		{
			name:   "read, platform down",
			method: "GET",
			target: "/browse/1",
			parts: fakeParts{
				platformDown: true,
			},
			want: 200,
		},
		{
			name:   "over quota",
			method: "GET",
			target: "/browse/1",
			parts: fakeParts{
				overQuota: true,
			},
			want: 429,
		},
		{
			name:   "no class",
			method: "GET",
			target: "/other",
			parts:  fakeParts{},
			want:   403,
		},
		{
			name:   "dot segments into another class",
			method: "POST",
			target: "/orders/../browse/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "escaped dot segments",
			method: "POST",
			target: "/orders/%2e%2e/browse/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "escaped slashes",
			method: "POST",
			target: "/orders%2f..%2fbrowse/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "empty segment",
			method: "POST",
			target: "//orders/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "fragment",
			method: "GET",
			target: "/browse/1#/orders/",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "absolute form",
			method: "GET",
			target: "http://x/browse/1",
			parts:  fakeParts{},
			want:   400,
		},
		{
			name:   "space",
			method: "GET",
			target: "/browse/1 x",
			parts:  fakeParts{},
			want:   400,
		},
	}
	for i := range cases {
		current := &cases[i]
		current.parts.answer = lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  200,
		}
		request := newRequest(current.method, current.target, nil, current.headers...)
		current.parts.listener().serve(request)
		if got := request.Response.StatusCode(); got != current.want {
			t.Errorf("%s: status %d, want %d", current.name, got, current.want)
		}
		if reached := len(current.parts.calls) == 1; reached != (current.want == 200) {
			t.Errorf("%s: reached the caller: %t", current.name, reached)
		}
	}
}

// Guards against headers of one connection or of nodes that are passed on, and
// against headers that the backend server did not send.
func TestHeadersPassedOn(t *testing.T) {
	parts := fakeParts{
		answer: lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  201,
			Header: []lagoonbarrow.HeaderField{
				{
					Name:  "Content-Length",
					Value: "99",
				},
				{
					Name:  "Connection",
					Value: "close",
				},
				{
					Name:  "Transfer-Encoding",
					Value: "chunked",
				},
				{
					Name:  "X-Kept",
					Value: "a",
				},
				{
					Name:  "Lagoonbarrow-Outcome",
					Value: "unknown",
				},
			},
			Body: []byte("abc"),
		},
	}
	request := newRequest("GET", "/browse/1", nil, "Connection", "X-Listed", "X-Listed", "v", "Lagoonbarrow-Priority", "255", "X-Kept", "v")
	parts.listener().serve(request)
	for _, field := range parts.calls[0].Header {
		if name := strings.ToLower(field.Name); name != "x-kept" && name != "content-type" {
			t.Errorf("%s was passed to the backend server", field.Name)
		}
	}
	answer := &request.Response
	text := answer.String()
	if !strings.Contains(text, "Content-Length: 3\r\n") || !strings.HasSuffix(text, "abc") || !strings.Contains(text, "X-Kept: a\r\n") {
		t.Errorf("the answer is not whole: %q", text)
	}
	if answer.ConnectionClose() || strings.Contains(text, "Content-Type") || string(answer.Header.Peek(lagoonbarrow.HeaderOutcome)) != "done" {
		t.Errorf("the answer has headers it must not have: %q", text)
	}
}

// Guards against requests of any form that take a node down, reach the caller
// with internal headers, without a claim, or with a path that a backend server
// could take for another class, and against refusals without an outcome.
func FuzzEntry(f *testing.F) {
	f.Add("GET", "/browse/1", "", "X-A", "b")
	f.Add("POST", "/orders/1?a=b", "key", "lagoonbarrow-call", "x")
	f.Add("POST", "/orders/%2e%2e/browse/1", "a/b", "Connection", "X-A, close")
	f.Add("GET", "//x/../orders/\x00", "\xff", "Expect", "100-continue")
	f.Fuzz(func(t *testing.T, method, target, key, name, value string) {
		var parts fakeParts
		request := newRequest(method, target, nil, "Idempotency-Key", key, name, value)
		parts.listener().serve(request)
		if len(parts.calls) == 0 {
			if outcome := request.Response.Header.Peek(lagoonbarrow.HeaderOutcome); string(outcome) != "not-run" {
				t.Errorf("refused with outcome %q", outcome)
			}
			return
		}
		checkReached(t, request, parts.calls[0])
	})
}

func checkReached(t *testing.T, request *fasthttp.RequestCtx, call *lagoonbarrow.Call) {
	t.Helper()
	raw, _, _ := strings.Cut(call.Path, "?")
	path, err := url.PathUnescape(raw)
	if err != nil || strings.Contains(path, "/../") || strings.Contains(path, "//") {
		t.Errorf("path %q reached the caller", raw)
	}
	filing := strings.HasPrefix(path, "/orders/")
	if filing != (call.Attempt != "") || filing != call.AtMostOnce || filing && call.Key == "" {
		t.Errorf("path %q, attempt %q, key %q", path, call.Attempt, call.Key)
	}
	if call.Depth != 1 || len(call.Key) > maxKeyBytes || strings.ContainsAny(call.Path+call.Method, " \r\n") {
		t.Errorf("call %+v", call)
	}
	for _, field := range call.Header {
		if lower := strings.ToLower(field.Name); internalHeader(lower) || hopHeaders[lower] || lower == "authorization" {
			t.Errorf("header %s reached the caller", field.Name)
		}
	}
	if string(request.Response.Header.Peek(lagoonbarrow.HeaderRequest)) != string(call.Request) {
		t.Error("the answer lacks the request id")
	}
}
