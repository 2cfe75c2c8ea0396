package entry

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"
)

// startBlockingServer starts a server whose handler sends each request's disconnect
// context to contexts and blocks until release. It returns the server's address.
func startBlockingServer(t *testing.T, contexts chan<- context.Context, release <-chan struct{}) string {
	t.Helper()
	return startTestServer(t, Limits{
		MaxBodyBytes:   1 << 20,
		MaxHeaderBytes: 4 << 10,
		MaxConnections: 10,
	}, func(requestCtx *fasthttp.RequestCtx) {
		ctx, cancel := disconnectContext(context.Background(), requestCtx)
		defer cancel()
		contexts <- ctx
		<-release
		requestCtx.SetBodyString(string(requestCtx.Path()))
	})
}

// startTestServer starts a server that must stop within a second at the end of the
// test. It returns the server's address.
func startTestServer(t *testing.T, limits Limits, handler fasthttp.RequestHandler) string {
	t.Helper()
	srv := newServer("127.0.0.1:0", limits, hclog.NewNullLogger(), handler)
	address, err := srv.start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := srv.stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return string(address)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func sendRequest(t *testing.T, conn net.Conn, path string) {
	t.Helper()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: one.example\r\n\r\n", path); err != nil {
		t.Fatal(err)
	}
}

func expectBody(t *testing.T, reader *bufio.Reader, path string) {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body := make([]byte, len(path))
	if _, err := response.Body.Read(body); err != nil && string(body) != path {
		t.Fatalf("body %q, error %v", body, err)
	}
}

// Guards against calls that continue after their client has disconnected.
func TestDisconnectContextEndsWithTheConnection(t *testing.T) {
	contexts := make(chan context.Context, 1)
	release := make(chan struct{})
	conn := dial(t, startBlockingServer(t, contexts, release))
	sendRequest(t, conn, "/one")
	ctx := <-contexts
	if ctx.Err() != nil {
		t.Fatal("the context is cancelled while the client waits")
	}
	_ = conn.Close()
	<-ctx.Done()
	close(release)
}

// Guards against a watcher that consumes the next request of its connection, or that
// reports the next request as a disconnect.
func TestDisconnectContextLeavesTheNextRequest(t *testing.T) {
	contexts := make(chan context.Context, 1)
	release := make(chan struct{})
	conn := dial(t, startBlockingServer(t, contexts, release))
	reader := bufio.NewReader(conn)
	for i := range 50 {
		path := fmt.Sprintf("/%d", i)
		sendRequest(t, conn, path)
		<-contexts
		release <- struct{}{}
		expectBody(t, reader, path)
	}
	sendRequest(t, conn, "/first")
	ctx := <-contexts
	sendRequest(t, conn, "/second")
	release <- struct{}{}
	expectBody(t, reader, "/first")
	<-contexts
	release <- struct{}{}
	expectBody(t, reader, "/second")
	if ctx.Err() == nil {
		t.Fatal("the context of an answered request is not cancelled")
	}
}

// Guards against a watcher that stops at the read deadline of the request, after which
// a disconnect would go unnoticed.
func TestDisconnectContextOutlastsTheReadDeadline(t *testing.T) {
	contexts := make(chan context.Context, 1)
	release := make(chan struct{})
	srv := newServer("127.0.0.1:0", Limits{
		MaxBodyBytes:   1 << 20,
		MaxHeaderBytes: 4 << 10,
		MaxConnections: 10,
	}, hclog.NewNullLogger(), func(requestCtx *fasthttp.RequestCtx) {
		_ = requestCtx.Conn().SetReadDeadline(time.Now())
		ctx, cancel := disconnectContext(context.Background(), requestCtx)
		defer cancel()
		contexts <- ctx
		<-release
	})
	address, err := srv.start()
	if err != nil {
		t.Fatal(err)
	}
	conn := dial(t, string(address))
	sendRequest(t, conn, "/one")
	ctx := <-contexts
	_ = conn.Close()
	<-ctx.Done()
	close(release)
	stopCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := srv.stop(stopCtx); err != nil {
		t.Error(err)
	}
}
