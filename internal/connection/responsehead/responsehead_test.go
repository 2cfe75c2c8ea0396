package responsehead

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/pkg/errors"
)

// Guards against an invalid status that is accepted, and a valid one that isn't, also if it
// arrives byte by byte.
func TestStatusLines(t *testing.T) {
	long := strings.Repeat("x", 2*maxBytes)
	tests := map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                                  true,
		"HTTP/1.1 200\n\n":                                                         true,
		"HTTP/1.0 599 " + long + "\r\n\r\n":                                        true,
		"\r\n\r\nHTTP/1.1  404 Not Found\r\n\r\n":                                  true,
		"HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                    true,
		"HTTP/1.1 100 " + long + "\r\n" + long + ":\r\n\r\nHTTP/1.1 500 E\r\n\r\n": true,
		"HTTP/1.1 000 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 099 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 101 Switching\r\n\r\n":                                           false,
		"HTTP/1.1 600 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 20 OK\r\n\r\n":                                                   false,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                 false,
		"HTTP/1.1 +20 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                  false,
		"HTTP/1.1 200\tOK\r\n\r\n":                                                 false,
		"HTTP/1.1\r\n\r\n":                                                         false,
		"HTTP/1.1 \r\n\r\n":                                                        false,
		long + long + "\r\n\r\n":                                                   false,
		"HTTP/1.1 100 C\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":                            false,
	}
	for text, want := range tests {
		conn := NewConn(readerConn{
			Reader: iotest.OneByteReader(strings.NewReader(text)),
		})
		got, err := io.ReadAll(conn)
		if valid := err == nil && string(got) == text; valid != want || !want && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("connection, %q: %q, %v", text, got, err)
		}
		if strings.Contains(text, "HTTP/1.1 100 C") {
			continue
		}
		err = Check(bufio.NewReader(iotest.OneByteReader(strings.NewReader(text))))
		if (err == nil) != want || !want && !errors.Is(err, ErrInvalidStatus) {
			t.Errorf("reader, %q: %v", text, err)
		}
	}
}

// readerConn is a connection that is only read.
type readerConn struct {
	net.Conn
	io.Reader
}

func (r readerConn) Read(data []byte) (int, error) {
	return r.Reader.Read(data)
}
