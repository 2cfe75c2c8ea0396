package backend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/platform"
)

// Guards against a stated time that is misread.
func TestKeepAliveTimeout(t *testing.T) {
	tests := []struct {
		text  string
		want  time.Duration
		found bool
	}{
		{
			text:  "timeout=5",
			want:  5 * time.Second,
			found: true,
		},
		{
			text:  "timeout=5, max=100",
			want:  5 * time.Second,
			found: true,
		},
		{
			text:  "max=100, Timeout = 7",
			want:  7 * time.Second,
			found: true,
		},
		{
			text:  "4",
			want:  4 * time.Second,
			found: true,
		},
		{
			text:  "timeout=0",
			want:  0,
			found: true,
		},
		{
			text:  "",
			want:  0,
			found: false,
		},
		{
			text:  "max=100",
			want:  0,
			found: false,
		},
		{
			text:  "timeout=-1",
			want:  0,
			found: false,
		},
		{
			text:  "timeout=99999999999999999999",
			want:  0,
			found: false,
		},
		{
			text:  "timeout=soon",
			want:  0,
			found: false,
		},
	}
	for _, test := range tests {
		header := &fasthttp.ResponseHeader{}
		header.Set(keepAliveHeader, test.text)
		if got, found := keepAliveTimeout(header); got != test.want || found != test.found {
			t.Errorf("%q: got %s, %t", test.text, got, found)
		}
	}
}

// startDroppingServer starts a server that drops an idle connection after the time that it
// states, without closing it.
func startDroppingServer(t *testing.T, keptSeconds int) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go serveAndDrop(conn, keptSeconds)
		}
	}()
	return listener.Addr().String()
}

func serveAndDrop(conn net.Conn, keptSeconds int) {
	in := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nKeep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n", id, keptSeconds)
		_ = conn.SetReadDeadline(time.Now().Add(time.Duration(keptSeconds) * time.Second))
	}
}

// Guards against a request that is lost because it is written to a connection that the
// server no longer keeps, by its own answer.
func TestConnectionIsNotReusedAfterTheStatedTime(t *testing.T) {
	client, err := New(Config{
		Address: lagoonbarrow.Address(startDroppingServer(t, 1)),
		Headers: platform.Headers(),
	})
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for i := range 3 {
		call := newRelayCall(fmt.Sprintf("request-%d", i))
		if answer := relay(client, call); answer.Outcome != lagoonbarrow.OutcomeDone {
			t.Errorf("request %d: outcome %s", i, answer.Outcome)
		}
		time.Sleep(1200 * time.Millisecond)
	}
}
