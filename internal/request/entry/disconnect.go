package entry

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"lagoonbarrow/internal/connection/peer/socket"
)

// watch waits for the end of the connection of a request in progress.
type watch struct {
	connection net.Conn
	raw        syscall.RawConn
	ended      chan struct{}
}

// follow returns a context that ends when the request's client closes its
// connection, of which fasthttp doesn't tell its handlers, and a function that ends
// the watch. It must be called before the handler returns.
func follow(request *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	connection, ok := request.Conn().(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	current := &watch{
		connection: request.Conn(),
		raw:        raw,
		ended:      make(chan struct{}),
	}
	// fasthttp bounds reading the request; the work on it may take longer.
	current.setReadDeadline(time.Time{})
	go func() {
		defer close(current.ended)
		if current.closed() {
			cancel()
		}
	}()
	return ctx, func() {
		current.stop()
		cancel()
	}
}

// closed waits until the client has closed its side or sends its next request, or
// the watch is stopped, and reports the first. Peeking leaves a pipelined request's
// bytes in place.
func (w *watch) closed() bool {
	gone := false
	err := w.raw.Read(func(descriptor uintptr) bool {
		count, err := socket.Peek(descriptor)
		if err == syscall.EAGAIN {
			return false
		}
		gone = err != nil || count == 0
		return true
	})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return gone || err != nil
}

// stop ends the wait and leaves the connection as it was for the next request.
func (w *watch) stop() {
	w.setReadDeadline(time.Unix(1, 0))
	<-w.ended
	w.setReadDeadline(time.Time{})
}

// setReadDeadline fails only for a connection that is closed, whose watch ends by
// itself.
func (w *watch) setReadDeadline(deadline time.Time) {
	_ = w.connection.SetReadDeadline(deadline)
}
