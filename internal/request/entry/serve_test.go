package entry

import (
	"net/url"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/header"
)

// Guards against invalid or refused requests that reach the caller, and against a
// wrong status.
func TestEntryStatus(t *testing.T) {
	cases := []struct {
		name         string
		method       string
		target       string
		headers      []string
		dependencies fakeDependencies
		want         int
	}{
		{
			name:         "read",
			method:       "GET",
			target:       "/browse/1?x=../y//",
			dependencies: fakeDependencies{},
			want:         200,
		},
		{
			name:         "escaped",
			method:       "GET",
			target:       "/browse/a%20b",
			dependencies: fakeDependencies{},
			want:         200,
		},
		{
			name:         "at-most-once",
			method:       "POST",
			target:       "/orders/1",
			headers:      []string{"Idempotency-Key", "k"},
			dependencies: fakeDependencies{},
			want:         200,
		},
		{
			name:         "at-most-once without key",
			method:       "POST",
			target:       "/orders/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:    "at-most-once, platform down",
			method:  "POST",
			target:  "/orders/1",
			headers: []string{"Idempotency-Key", "k"},
			dependencies: fakeDependencies{
				platformDown: true,
			},
			want: 503,
		},
		{
			name:   "read, platform down",
			method: "GET",
			target: "/browse/1",
			dependencies: fakeDependencies{
				platformDown: true,
			},
			want: 200,
		},
		{
			name:   "over quota",
			method: "GET",
			target: "/browse/1",
			dependencies: fakeDependencies{
				overQuota: true,
			},
			want: 429,
		},
		{
			name:         "no class",
			method:       "GET",
			target:       "/other",
			dependencies: fakeDependencies{},
			want:         403,
		},
		{
			name:         "dot segments into another class",
			method:       "POST",
			target:       "/orders/../browse/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "escaped dot segments",
			method:       "POST",
			target:       "/orders/%2e%2e/browse/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "escaped slashes",
			method:       "POST",
			target:       "/orders%2f..%2fbrowse/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "empty segment",
			method:       "POST",
			target:       "//orders/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "fragment",
			method:       "GET",
			target:       "/browse/1#/orders/",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "absolute form",
			method:       "GET",
			target:       "http://x/browse/1",
			dependencies: fakeDependencies{},
			want:         400,
		},
		{
			name:         "space",
			method:       "GET",
			target:       "/browse/1 x",
			dependencies: fakeDependencies{},
			want:         400,
		},
	}
	for i := range cases {
		tc := &cases[i]
		tc.dependencies.answer = lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  200,
		}
		request := newRequest(tc.method, tc.target, nil, tc.headers...)
		tc.dependencies.listener().serve(request)
		if got := request.Response.StatusCode(); got != tc.want {
			t.Errorf("%s: status %d, want %d", tc.name, got, tc.want)
		}
		if reached := len(tc.dependencies.calls) == 1; reached != (tc.want == 200) {
			t.Errorf("%s: reached the caller: %t", tc.name, reached)
		}
	}
}

// Guards against hop-by-hop or internal headers that are forwarded, and against answers
// with headers that the backend server did not send.
func TestForwardedHeaders(t *testing.T) {
	dependencies := fakeDependencies{
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
	dependencies.listener().serve(request)
	for _, field := range dependencies.calls[0].Header {
		if name := strings.ToLower(field.Name); name != "x-kept" && name != "content-type" {
			t.Errorf("%s was passed to the backend server", field.Name)
		}
	}
	answer := &request.Response
	text := answer.String()
	if !strings.Contains(text, "Content-Length: 3\r\n") || !strings.HasSuffix(text, "abc") || !strings.Contains(text, "X-Kept: a\r\n") {
		t.Errorf("the answer is incomplete: %q", text)
	}
	if answer.ConnectionClose() || strings.Contains(text, "Content-Type") || string(answer.Header.Peek(lagoonbarrow.HeaderOutcome)) != "done" {
		t.Errorf("the answer has unexpected headers: %q", text)
	}
}

// Guards against requests that crash the node, and against refusals without an outcome.
// No request may reach the caller with internal headers, without the key and attempt of
// an at-most-once class, or with a path that a backend server could resolve to another
// class.
func FuzzEntry(f *testing.F) {
	f.Add("GET", "/browse/1", "", "X-A", "b")
	f.Add("POST", "/orders/1?a=b", "key", "lagoonbarrow-call", "x")
	f.Add("POST", "/orders/%2e%2e/browse/1", "a/b", "Connection", "X-A, close")
	f.Add("GET", "//x/../orders/\x00", "\xff", "Expect", "100-continue")
	f.Fuzz(func(t *testing.T, method, target, key, name, value string) {
		var dependencies fakeDependencies
		request := newRequest(method, target, nil, "Idempotency-Key", key, name, value)
		dependencies.listener().serve(request)
		if len(dependencies.calls) == 0 {
			if outcome := request.Response.Header.Peek(lagoonbarrow.HeaderOutcome); string(outcome) != "not-run" {
				t.Errorf("refused with outcome %q", outcome)
			}
			return
		}
		checkCall(t, request, dependencies.calls[0])
	})
}

func checkCall(t *testing.T, request *fasthttp.RequestCtx, call *lagoonbarrow.Call) {
	t.Helper()
	raw, _, _ := strings.Cut(call.Path, "?")
	path, err := url.PathUnescape(raw)
	if err != nil || strings.Contains(path, "/../") || strings.Contains(path, "//") {
		t.Errorf("path %q reached the caller", raw)
	}
	atMostOnce := strings.HasPrefix(path, "/orders/")
	if atMostOnce != (call.Attempt != "") || atMostOnce != call.AtMostOnce || atMostOnce && call.Key == "" {
		t.Errorf("path %q, attempt %q, key %q", path, call.Attempt, call.Key)
	}
	if call.Depth != 1 || len(call.Key) > maxKeyBytes || strings.ContainsAny(call.Path+call.Method, " \r\n") {
		t.Errorf("call %+v", call)
	}
	for _, field := range call.Header {
		if lower := strings.ToLower(field.Name); header.IsInternal(lower) || header.IsHopByHop(lower) || lower == "authorization" {
			t.Errorf("header %s reached the caller", field.Name)
		}
	}
	if string(request.Response.Header.Peek(lagoonbarrow.HeaderRequest)) != string(call.Request) {
		t.Error("the answer lacks the request id")
	}
}
