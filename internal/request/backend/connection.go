package backend

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/responsehead"
	"lagoonbarrow/internal/process/memory"
)

const (
	statusOK                 = fasthttp.StatusOK
	statusServiceUnavailable = fasthttp.StatusServiceUnavailable

	// readBufferBytes bounds the headers of an answer, since fasthttp parses them
	// within the buffer.
	readBufferBytes  = 16 << 10
	writeBufferBytes = 4 << 10

	// lengthChunked is fasthttp's content length of a body in chunks.
	lengthChunked = -1
	// lengthUntilClose is fasthttp's content length of a body that ends when the
	// connection is closed.
	lengthUntilClose = -2
	// earlyAnswerTimeout bounds the wait for an answer after the request could not be
	// written completely.
	earlyAnswerTimeout = 100 * time.Millisecond
	// maxInterimHeaders bounds the interim (1xx) headers before an answer.
	maxInterimHeaders = 8
)

var (
	// errNoLength is returned for a body that ends when the connection is closed. A
	// truncated body looks the same.
	errNoLength = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: answer without a length")
	// errNoFinalAnswer is returned after too many interim headers.
	errNoFinalAnswer = errors.Wrap(lagoonbarrow.ErrAnswerLost, "backend: no final answer")
)

// connection is one HTTP/1.1 connection to the backend server.
type connection struct {
	netConn net.Conn
	reader  *bufio.Reader
	writer  *bufio.Writer
	written *writeCounter
	// writeFailed is set if the current request could not be written completely. The error of a
	// reset is then used up, so that the reader gets an end of file in its place.
	writeFailed bool
	// usage is the memory of the answers of the current exchange.
	usage     *memory.Usage
	idleSince time.Time
	// maxIdle is how long the server keeps the connection when it is idle, by its last
	// answer, less a margin; 0 if that doesn't say so.
	maxIdle time.Duration
	// namesRequests is set once an answer has had the id of its request. Each later one
	// has to have it too.
	namesRequests bool
	closeOnce     sync.Once
}

func newConnection(netConn net.Conn) *connection {
	counter := &writeCounter{
		Conn: netConn,
	}
	return &connection{
		netConn: netConn,
		reader:  bufio.NewReaderSize(netConn, readBufferBytes),
		writer:  bufio.NewWriterSize(counter, writeBufferBytes),
		written: counter,
	}
}

// observeKeepAlive records how long the server keeps the connection after an answer. It
// returns false if that is too short to reuse it.
func (c *connection) observeKeepAlive(header *fasthttp.ResponseHeader) bool {
	c.maxIdle = 0
	timeout, found := keepAliveTimeout(header)
	if !found {
		return true
	}
	c.maxIdle = timeout - keepAliveMargin
	return c.maxIdle > 0
}

// keptByServer reports whether the server still keeps the idle connection.
func (c *connection) keptByServer(now time.Time) bool {
	return c.maxIdle == 0 || now.Sub(c.idleSince) < c.maxIdle
}

func (c *connection) close() {
	c.closeOnce.Do(func() {
		_ = c.netConn.Close()
	})
}

// write sends a request. sent reports whether any byte may have reached the backend
// server, which may start to run a request before it has received the whole body.
func (c *connection) write(request *fasthttp.Request) (sent bool, err error) {
	c.written.bytes = 0
	err = request.Write(c.writer)
	if err == nil {
		err = c.writer.Flush()
	}
	c.writeFailed = err != nil
	return c.written.bytes > 0, err
}

// read reads a complete answer. It returns an error for a body that is shorter than
// its content length, longer than the limit, or of unknown length.
func (c *connection) read(response *fasthttp.Response, skipBody bool, limit int) error {
	return c.readFramed(response, skipBody, limit, false)
}

// readUnframed is like read but accepts a body that ends when the connection is closed, unless the
// request could not be written completely.
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
	if length == lengthUntilClose && (!unframed || c.writeFailed) {
		return errNoLength
	}
	body, err := c.readBody(response, length, limit)
	if err != nil {
		return err
	}
	response.SetBodyRaw(body)
	return nil
}

// readBody reads the body of a response whose header has been read. A chunked body
// ends after its trailer, without which it is truncated. The fields of the trailer are dropped:
// fasthttp finds them among those of the header.
func (c *connection) readBody(response *fasthttp.Response, length, limit int) ([]byte, error) {
	if length == lengthChunked {
		var header fasthttp.ResponseHeader
		response.Header.CopyTo(&header)
		defer header.CopyTo(&response.Header)
	}
	response.StreamBody = true
	if err := response.ReadBody(c.reader, limit); err != nil {
		return nil, err
	}
	body, err := memory.ReadBody(response.BodyStream(), c.usage, length, limit)
	if closeErr := response.CloseBodyStream(); err == nil {
		err = closeErr
	}
	return body, err
}

// readHeader reads a header and skips interim headers (status 1xx). It returns an error for a
// status that HTTP doesn't allow.
func (c *connection) readHeader(header *fasthttp.ResponseHeader) error {
	for range maxInterimHeaders {
		if err := responsehead.Check(c.reader); err != nil {
			return err
		}
		if err := header.Read(c.reader); err != nil {
			return err
		}
		if header.StatusCode() >= lagoonbarrow.StatusFirstFinal {
			return nil
		}
	}
	return errNoFinalAnswer
}

// limitEarlyAnswerWait sets a short read deadline for an answer that the server may
// have sent before it read the whole request.
func (c *connection) limitEarlyAnswerWait() {
	_ = c.netConn.SetReadDeadline(time.Now().Add(earlyAnswerTimeout))
}

// probe requests a health path and returns what the head of the answer says.
func (c *connection) probe(config Config, path string) (Health, error) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(path)
	request.Header.SetHost(string(config.Address))
	request.SetConnectionClose()
	if _, err := c.write(request); err != nil {
		return Health{}, err
	}
	if err := c.readHeader(&response.Header); err != nil {
		return Health{}, err
	}
	return Health{
		Server: lagoonbarrow.ServerID(response.Header.Peek(config.Headers.ServerID)),
		Status: response.StatusCode(),
		NotRun: len(response.Header.Peek(config.Headers.NotRun)) > 0,
	}, nil
}

// writeCounter is a connection that counts the bytes accepted by the kernel.
type writeCounter struct {
	net.Conn
	bytes int
}

func (w *writeCounter) Write(data []byte) (int, error) {
	n, err := w.Conn.Write(data)
	w.bytes += n
	return n, err
}
