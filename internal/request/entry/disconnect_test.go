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

// serveFollowed serves requests that each hand their context to followed and wait
// for release.
func serveFollowed(t *testing.T, followed chan<- context.Context, release <-chan struct{}) string {
	t.Helper()
	served := newServer("127.0.0.1:0", Limits{
		BodyBytes:   1 << 20,
		HeaderBytes: 4 << 10,
		Connections: 10,
	}, hclog.NewNullLogger(), func(http *fasthttp.RequestCtx) {
		ctx, cancel := follow(http)
		defer cancel()
		followed <- ctx
		<-release
		http.SetBodyString(string(http.Path()))
	})
	address, err := served.start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := served.stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return string(address)
}

func dialTo(t *testing.T, address string) net.Conn {
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

func readAnswer(t *testing.T, in *bufio.Reader, path string) {
	t.Helper()
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body := make([]byte, len(path))
	if _, err := response.Body.Read(body); err != nil && string(body) != path {
		t.Fatalf("body %q, error %v", body, err)
	}
}

// Guards against work that goes on after its client has gone.
func TestFollowEndsWithTheConnection(t *testing.T) {
	followed := make(chan context.Context, 1)
	release := make(chan struct{})
	conn := dialTo(t, serveFollowed(t, followed, release))
	sendRequest(t, conn, "/one")
	ctx := <-followed
	if ctx.Err() != nil {
		t.Fatal("the context ends while the client waits")
	}
	_ = conn.Close()
	<-ctx.Done()
	close(release)
}

// Guards against a connection whose next request isn't read, or is taken for the
// client's end, because the one before was followed.
func TestFollowLeavesTheNextRequest(t *testing.T) {
	followed := make(chan context.Context, 1)
	release := make(chan struct{})
	conn := dialTo(t, serveFollowed(t, followed, release))
	in := bufio.NewReader(conn)
	for number := range 50 {
		path := fmt.Sprintf("/%d", number)
		sendRequest(t, conn, path)
		<-followed
		release <- struct{}{}
		readAnswer(t, in, path)
	}
	sendRequest(t, conn, "/first")
	ctx := <-followed
	sendRequest(t, conn, "/second")
	release <- struct{}{}
	readAnswer(t, in, "/first")
	<-followed
	release <- struct{}{}
	readAnswer(t, in, "/second")
	if ctx.Err() == nil {
		t.Fatal("the context of an answered request goes on")
	}
}

// Guards against requests that are not followed any more once they have lasted longer
// than reading a request may.
func TestFollowOutlastsTheReadDeadline(t *testing.T) {
	followed := make(chan context.Context, 1)
	release := make(chan struct{})
	served := newServer("127.0.0.1:0", Limits{
		BodyBytes:   1 << 20,
		HeaderBytes: 4 << 10,
		Connections: 10,
	}, hclog.NewNullLogger(), func(http *fasthttp.RequestCtx) {
		_ = http.Conn().SetReadDeadline(time.Now())
		ctx, cancel := follow(http)
		defer cancel()
		followed <- ctx
		<-release
	})
	address, err := served.start()
	if err != nil {
		t.Fatal(err)
	}
	conn := dialTo(t, string(address))
	sendRequest(t, conn, "/one")
	ctx := <-followed
	_ = conn.Close()
	<-ctx.Done()
	close(release)
	stop, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := served.stop(stop); err != nil {
		t.Error(err)
	}
}
