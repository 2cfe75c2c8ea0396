package platform

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

// longObjectBytes is the size of an object that doesn't fit into the buffers of a connection.
const longObjectBytes = 16 << 20

// Guards against a response without a length that counts as an object that was written, although
// the platform reset the connection while the object was being sent.
func TestResponseBeforeAResetIsNoResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		if _, err := bufio.NewReader(conn).Peek(1); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nETag: \"1\"\r\n\r\npart")
		// The client is in the middle of its write by then.
		time.Sleep(10 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
	}()
	client := New(Config{
		Address: lagoonbarrow.Address(listener.Addr().String()),
	})
	defer func() { _ = client.Stop() }()
	etag, err := client.PutObject(context.Background(), "object", make([]byte, longObjectBytes), "")
	if !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		t.Errorf("ETag %q, error %v", etag, err)
	}
}
