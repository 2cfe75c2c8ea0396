package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// readRequest is a request that reached the handler.
type readRequest struct {
	target string
	body   string
}

// headTest is a head with the body in chunks "ok" and the end of the connection behind it.
type headTest struct {
	name   string
	head   string
	status int
	// body is the body with which the request must reach the handler, if the status is 200.
	body string
}

const (
	chunkedBody = "2\r\nok\r\n0\r\n\r\n"
	// nextRequest would run if it stood behind a body that was read with another length.
	nextRequest = "GET /next HTTP/1.1\r\nHost: one.example\r\n\r\n"
	// nextRequestTime bounds the wait for a request behind the one that was answered.
	nextRequestTime = 50 * time.Millisecond
)

// checkHeads sends each head with bodies behind it on a connection of its own. It fails unless it is
// answered with the status, and nothing runs but the request with its body, if it is served.
func checkHeads(t *testing.T, tests []headTest) {
	t.Helper()
	requests := make(chan readRequest, 10)
	address := startTestServer(t, Limits{
		MaxBodyBytes:   largestBodyBytes,
		MaxHeaderBytes: 17 << 10,
		MaxConnections: 100,
	}, func(ctx *fasthttp.RequestCtx) {
		requests <- readRequest{
			target: string(ctx.RequestURI()),
			body:   string(ctx.Request.Body()),
		}
	})
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			status := sendHead(t, address, test.head)
			if status != test.status {
				t.Errorf("%q: status %d, want %d", test.head, status, test.status)
			}
			var want []readRequest
			if test.status == http.StatusOK {
				want = append(want, readRequest{
					target: "/a",
					body:   test.body,
				})
			}
			var got []readRequest
			for len(requests) > 0 {
				got = append(got, <-requests)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%q: %q was run, want %q", test.head, got, want)
			}
		})
	}
}

// sendHead sends a request and another one behind it. It returns the status of the first response
// once the connection has ended or nothing else has followed.
func sendHead(t *testing.T, address, head string) int {
	t.Helper()
	conn := dial(t, address)
	defer conn.Close()
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	in := bufio.NewReader(conn)
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(nextRequestTime))
	_, _ = io.Copy(io.Discard, in)
	return response.StatusCode
}

// Guards against a Transfer-Encoding that fasthttp ignores: a request ran without its body, or with
// the framing of its chunks as body.
func TestIgnoredTransferEncodingIsRefused(t *testing.T) {
	const start = "POST /a HTTP/1.1\r\nHost: one.example\r\n"
	checkHeads(t, []headTest{
		{
			name:   "identity",
			head:   start + "Transfer-Encoding: identity\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusBadRequest,
		},
		{
			name:   "identity in other letters",
			head:   start + "tRANSFER-eNCODING:Identity\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusBadRequest,
		},
		{
			name:   "identity and a length",
			head:   start + "Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusBadRequest,
		},
		{
			name:   "identity without a body",
			head:   "GET /a HTTP/1.1\r\nHost: one.example\r\nTransfer-Encoding: identity\r\n\r\n" + nextRequest,
			status: http.StatusBadRequest,
		},
		{
			name:   "chunked",
			head:   start + "Connection: close\r\nTransfer-Encoding: Chunked\r\n\r\n" + chunkedBody,
			status: http.StatusOK,
			body:   "ok",
		},
		{
			name:   "chunked body of a read",
			head:   "GET /a HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody,
			status: http.StatusOK,
			body:   "ok",
		},
		{
			name:   "chunked and a length",
			head:   start + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusOK,
			body:   "ok",
		},
		{
			name:   "a value that holds the name",
			head:   start + "X: y\r\n Transfer-Encoding: identity\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
			status: http.StatusOK,
			body:   "ok",
		},
	})
}

// Guards against a field name with a blank that is passed on to a server, which may read another name.
func TestInvalidFieldNameOfARequestIsRefused(t *testing.T) {
	const start = "GET /a HTTP/1.1\r\nHost: one.example\r\n"
	var tests []headTest
	for _, line := range []string{"X Y: z", "Transfer-Encoding x: chunked", "Content-Length 5: 5", "X\tY: z", "X : y", " X: y", "X\x01: y", "X\x80: y", ": y", "X"} {
		tests = append(tests, headTest{
			name:   fmt.Sprintf("%q", line),
			head:   start + line + "\r\n\r\n" + nextRequest,
			status: http.StatusBadRequest,
		})
	}
	for _, line := range []string{"X: y z: a", "X: y\r\n Y Z: a", "X: y\r\n\tY", "X:", "!#$%&'*+-.^_`|~09azAZ: y"} {
		tests = append(tests, headTest{
			name:   fmt.Sprintf("%q", line),
			head:   start + "Connection: close\r\n" + line + "\r\n\r\n",
			status: http.StatusOK,
		})
	}
	checkHeads(t, tests)
}

// Guards against a field behind the body of a request that counts as one of its head: an id, a key or a
// deadline that the head doesn't have, or a field that is passed on to a server.
func TestTrailerOfARequestIsNoPartOfItsHead(t *testing.T) {
	const head = "POST /a HTTP/1.1\r\nHost: one.example\r\nConnection: close\r\nX-Kept: a\r\nTransfer-Encoding: chunked\r\n"
	const trailer = "Request-Id: r2\r\nDeadline-Ms: 5\r\nX-Kept: b\r\nX-Added: c\r\n"
	fields := make(chan string, 1)
	address := startTestServer(t, Limits{
		MaxBodyBytes:   largestBodyBytes,
		MaxHeaderBytes: 17 << 10,
		MaxConnections: 100,
	}, func(ctx *fasthttp.RequestCtx) {
		fields <- fmt.Sprint(forwardableHeaders(ctx), string(ctx.Request.Body()), ctx.Request.Header.Peek("Request-Id"), ctx.Request.Header.Peek("Deadline-Ms"))
	})
	var want string
	for _, request := range []string{
		head + "\r\n" + chunkedBody,
		head + "\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n",
		head + "Trailer: Request-Id, X-Added\r\n\r\n2\r\nok\r\n0\r\n" + trailer + "\r\n",
	} {
		if status := sendHead(t, address, request); status != http.StatusOK {
			t.Fatalf("%q: status %d", request, status)
		}
		got := <-fields
		if want == "" {
			want = got
		}
		if got != want {
			t.Errorf("%q: fields %s, want %s", request, got, want)
		}
	}
}

// Guards against a spoiled version of a request that changes where its body ends.
func TestSpoiledVersionOfARequest(t *testing.T) {
	const fields = "\r\nHost: one.example\r\nConnection: close\r\n"
	var tests []headTest
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/1.9", "HTTP/0.9", "HTTP/2.0", "HTTP/1.", "HTTP/1.11", "HTTQ/1.1", ""} {
		tests = append(tests, headTest{
			name:   version + " in chunks",
			head:   "POST /a " + version + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusBadRequest,
		}, headTest{
			name:   version + " in chunks with a length",
			head:   "POST /a " + version + fields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n" + chunkedBody + nextRequest,
			status: http.StatusBadRequest,
		})
	}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.2", "HTTP/0.9", "HTTP/2.0"} {
		tests = append(tests, headTest{
			name:   version + " with a length",
			head:   "POST /a " + version + fields + "Content-Length: 2\r\n\r\nok" + nextRequest,
			status: http.StatusOK,
			body:   "ok",
		})
	}
	checkHeads(t, tests)
}
