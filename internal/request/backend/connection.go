package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
)

const (
	statusOK                 = fasthttp.StatusOK
	statusServiceUnavailable = fasthttp.StatusServiceUnavailable

	// readBufferBytes bounds the headers of an answer, which fasthttp parses
	// within the buffer.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10

	// bodyWithoutLength is fasthttp's content length of a body that ends with the
	// connection.
	bodyWithoutLength = -2
	// bodyInChunks is fasthttp's content length of a chunked body.
	bodyInChunks = -1
	// earlyAnswerTime is how long an answer is waited for after the request could
	// not be written whole.
	earlyAnswerTime = 100 * time.Millisecond
	// maxInterim bounds the interim headers before an answer.
	maxInterim = 8
)

var (
	// errNoLength: the end of the body can't be told from a cut connection.
	errNoLength = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: answer without a length")
	// errInterim: no final header came.
	errInterim = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: no final answer")
)

// connection is one HTTP/1.1 connection to the backend server.
type connection struct {
	raw       net.Conn
	in        *bufio.Reader
	out       *bufio.Writer
	written   *writeCounter
	idleSince time.Time
	closeOnce sync.Once
}

func newConnection(raw net.Conn) *connection {
	counter := &writeCounter{
		Conn: raw,
	}
	return &connection{
		raw:     raw,
		in:      bufio.NewReaderSize(raw, readBufferBytes),
		out:     bufio.NewWriterSize(counter, writeBufferBytes),
		written: counter,
	}
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.raw.Close()
	})
}

// write sends a request. sent tells whether any byte of it may have reached the
// backend server, which may start on a request before it has the whole body.
func (c *connection) write(request *fasthttp.Request) (sent bool, err error) {
	c.written.bytes = 0
	err = request.Write(c.out)
	if err == nil {
		err = c.out.Flush()
	}
	return c.written.bytes > 0, err
}

// read receives a whole answer. It returns an error for a body that is shorter
// than announced, longer than the limit, or of unknown length.
func (c *connection) read(response *fasthttp.Response, skipBody bool, limit int) error {
	return c.readFramed(response, skipBody, limit, false)
}

// readUnframed is read for servers whose answers may end with their connection.
func (c *connection) readUnframed(response *fasthttp.Response, skipBody bool, limit int) error {
	return c.readFramed(response, skipBody, limit, true)
}

func (c *connection) readFramed(response *fasthttp.Response, skipBody bool, limit int, unframed bool) error {
	response.Header.SetNoDefaultContentType(true)
	if err := c.readHeader(&response.Header); err != nil {
		return err
	}
	status := response.StatusCode()
	if skipBody || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	length := response.Header.ContentLength()
	if length == bodyWithoutLength && !unframed {
		return errNoLength
	}
	if err := response.ReadBody(c.in, limit); err != nil {
		return err
	}
	if length != bodyInChunks {
		return nil
	}
	// The trailer's end is the end of the answer; without it the answer was cut.
	return response.Header.ReadTrailer(c.in)
}

// readHeader reads a header and skips interim ones (status 1xx).
func (c *connection) readHeader(header *fasthttp.ResponseHeader) error {
	for range maxInterim {
		if err := header.Read(c.in); err != nil {
			return err
		}
		status := header.StatusCode()
		if status == fasthttp.StatusSwitchingProtocols {
			return errInterim
		}
		if status >= fasthttp.StatusOK {
			return nil
		}
	}
	return errInterim
}

// expectSoon bounds the wait for an answer that was sent early.
func (c *connection) expectSoon() {
	_ = c.raw.SetReadDeadline(time.Now().Add(earlyAnswerTime))
}

// probe asks for the health path and returns the status.
func (c *connection) probe(config Config) (int, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(config.HealthPath)
	request.Header.SetHost(string(config.Address))
	request.SetConnectionClose()
	if _, err := c.write(request); err != nil {
		return 0, err
	}
	if err := c.readHeader(&response.Header); err != nil {
		return 0, err
	}
	return response.StatusCode(), nil
}

// writeCounter counts the bytes that the kernel accepted.
type writeCounter struct {
	net.Conn
	bytes int
}

func (w *writeCounter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.bytes += n
	return n, err
}
