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
	long := strings.Repeat("x", 2*maxStatusLineBytes)
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

// Guards against a spoiled digit of the version, for which HTTP libraries ignore Transfer-Encoding, so
// that the framing becomes the body.
func TestVersions(t *testing.T) {
	const (
		end     = "\r\n\r\n"
		length  = " 200 OK\r\nContent-Length: 2" + end
		chunked = " 200 OK\r\nTransfer-Encoding: chunked" + end
	)
	tests := []struct {
		head string
		want error
	}{
		{
			head: "HTTP/1.1" + length,
		},
		{
			head: "HTTP/1.1" + chunked,
		},
		{
			head: "HTTP/1.0" + length,
		},
		{
			head: "HTTP/1.0 200 OK\r\nTransfer-Encodin: a\r\nTransfer-Encoding2: b\r\nX-Transfer-Encoding: c" + end,
		},
		{
			head: "HTTP/1.0" + chunked,
			want: ErrInvalidFraming,
		},
		{
			head: "HTTP/1.0 200 OK\r\nA: b\r\ntRANSFER-eNCODING:\r\nContent-Length: 2" + end,
			want: ErrInvalidFraming,
		},
		{
			head: "HTTP/1.0 200 OK\nTransfer-Encoding: identity\n\n",
			want: ErrInvalidFraming,
		},
		{
			head: emptyInterim + "HTTP/1.0" + chunked,
			want: ErrInvalidFraming,
		},
		{
			head: emptyInterim + "HTTP/1.2" + length,
			want: ErrInvalidVersion,
		},
	}
	for _, version := range []string{
		"HTTP/1.2", "HTTP/1.3", "HTTP/1.4", "HTTP/1.5", "HTTP/1.6", "HTTP/1.7", "HTTP/1.8", "HTTP/1.9", "HTTP/0.1", "HTTP/0.9", "HTTP/2.0", "HTTP/2.1", "HTTP/9.1",
		"HTTP/1.", "HTTP/1", "HTTP/1.11", "HTTP/01.1", "HTTP/1.1x", "HTTP/1.1\x00", "HTTP/1.1\t", "HTTP/1,1", "HTTQ/1.1", "http/1.1", "XHTTP/1.1", "HTTP", "",
	} {
		for _, rest := range []string{length, chunked} {
			tests = append(tests, struct {
				head string
				want error
			}{
				head: version + rest,
				want: ErrInvalidVersion,
			})
		}
	}
	for _, test := range tests {
		checkHead(t, test.head, test.want)
	}
}

// Guards against a field line with an invalid name that is passed on, and against a valid one that
// isn't, also if it arrives byte by byte.
func TestFieldLines(t *testing.T) {
	const end = "\r\n\r\n"
	long := strings.Repeat("x", 2*maxStatusLineBytes)
	valid := []string{
		"HTTP/1.1 200 OK\r\nA: b" + end,
		"HTTP/1.1 200 " + long + "\r\n" + long + ": " + long + end,
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ:" + end,
		"HTTP/1.1 200 OK\r\nA:b: c\td \xe4" + end,
		"HTTP/1.1 200 OK\nA: b\nC: d\n\n",
		"HTTP/1.1 200 OK\r\nA: b\nC: d" + end,
		"HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b" + end,
	}
	invalid := []string{
		"HTTP/1.1 200 OK\r\nA : b" + end,
		"HTTP/1.1 200 OK\r\nA\t: b" + end,
		"HTTP/1.1 200 OK\r\nA B: c" + end,
		"HTTP/1.1 200 OK\r\n A: b" + end,
		"HTTP/1.1 200 OK\r\nA: b\r\n C: d" + end,
		"HTTP/1.1 200 OK\r\nA: b\r\n\tc" + end,
		"HTTP/1.1 200 OK\r\nA: b\r\n \r\nC: d" + end,
		"HTTP/1.1 200 OK\r\n: b" + end,
		"HTTP/1.1 200 OK\r\nA" + end,
		"HTTP/1.1 200 OK\r\nA\x00B: c" + end,
		"HTTP/1.1 200 OK\r\nA\x7f: c" + end,
		"HTTP/1.1 200 OK\r\n\rA: b" + end,
		"HTTP/1.1 200 OK\r\nA\r: b" + end,
		"HTTP/1.1 200 OK\r\n\nA: b" + end,
		"HTTP/1.1 200 OK\r\nA: b\r\n\nC: d" + end,
		"HTTP/1.1 200 OK\nA: b\r\nC: d\n\nE: f" + end,
		"HTTP/1.1 200 " + long + "\r\n\nA: b" + end,
		"HTTP/1.1 200 OK\r\nA\xe4: b" + end,
		"HTTP/1.1 103 E\r\nA : b\r\n\r\nHTTP/1.1 200 OK" + end,
		emptyInterim + "HTTP/1.1 200 OK\r\nA : b" + end,
	}
	for _, head := range valid {
		checkHead(t, head, nil)
	}
	for _, head := range invalid {
		checkHead(t, head, ErrInvalidField)
	}
}

// checkHead fails unless the last head is read with the error, from a connection and a reader.
func checkHead(t *testing.T, head string, want error) {
	t.Helper()
	// What follows a head is not a part of it.
	text := head + "\n \x00 body : \r\n"
	conn := NewConn(readerConn{
		Reader: iotest.OneByteReader(strings.NewReader(text)),
	})
	got, err := io.ReadAll(conn)
	if !errors.Is(err, want) || want == nil && string(got) != text {
		t.Errorf("connection, %q: %q, %v", text, got, err)
	}
	reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))
	if strings.HasPrefix(text, emptyInterim) {
		skipHead(t, reader)
	}
	if err := Check(reader); !errors.Is(err, want) {
		t.Errorf("reader, %q: %v", text, err)
	}
}

// emptyInterim is the head of an interim response without fields.
const emptyInterim = "HTTP/1.1 103 E\r\n\r\n"

// skipHead consumes emptyInterim.
func skipHead(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	if err := Check(reader); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a response on a connection that is checked as a part of the one before it.
func TestEachResponseOfAConnectionIsChecked(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, next := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA : b\r\n\r\n"} {
		conn := NewConn(readerConn{
			Conn:   discardConn{},
			Reader: strings.NewReader(valid + next),
		})
		for i, size := range []int{len(valid), len(next)} {
			if _, err := conn.Write([]byte("request")); err != nil {
				t.Fatal(err)
			}
			_, err := io.ReadFull(conn, make([]byte, size))
			if (err == nil) != (i == 0) {
				t.Errorf("response %d, %q: error %v", i, next, err)
			}
		}
	}
}

// discardConn is a connection that is only written.
type discardConn struct {
	net.Conn
}

func (discardConn) Write(data []byte) (int, error) {
	return len(data), nil
}

// readerConn is a connection that is only read.
type readerConn struct {
	net.Conn
	io.Reader
}

func (r readerConn) Read(data []byte) (int, error) {
	return r.Reader.Read(data)
}
