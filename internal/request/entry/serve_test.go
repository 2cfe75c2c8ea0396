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
		{"read", "GET", "/browse/1?x=../y//", nil, fakeParts{}, 200},
		{"escaped", "GET", "/browse/a%20b", nil, fakeParts{}, 200},
		{"filing", "POST", "/orders/1", []string{"Idempotency-Key", "k"}, fakeParts{}, 200},
		{"filing without key", "POST", "/orders/1", nil, fakeParts{}, 400},
		{"filing, platform down", "POST", "/orders/1", []string{"Idempotency-Key", "k"}, fakeParts{platformDown: true}, 503},
		{"read, platform down", "GET", "/browse/1", nil, fakeParts{platformDown: true}, 200},
		{"over quota", "GET", "/browse/1", nil, fakeParts{overQuota: true}, 429},
		{"no class", "GET", "/other", nil, fakeParts{}, 403},
		{"dot segments into another class", "POST", "/orders/../browse/1", nil, fakeParts{}, 400},
		{"escaped dot segments", "POST", "/orders/%2e%2e/browse/1", nil, fakeParts{}, 400},
		{"escaped slashes", "POST", "/orders%2f..%2fbrowse/1", nil, fakeParts{}, 400},
		{"empty segment", "POST", "//orders/1", nil, fakeParts{}, 400},
		{"fragment", "GET", "/browse/1#/orders/", nil, fakeParts{}, 400},
		{"absolute form", "GET", "http://x/browse/1", nil, fakeParts{}, 400},
		{"space", "GET", "/browse/1 x", nil, fakeParts{}, 400},
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
				{Name: "Content-Length", Value: "99"},
				{Name: "Connection", Value: "close"},
				{Name: "Transfer-Encoding", Value: "chunked"},
				{Name: "X-Kept", Value: "a"},
				{Name: "Lagoonbarrow-Outcome", Value: "unknown"},
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
