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

// disconnectWatcher detects that the client of a request in progress closes its
// connection.
type disconnectWatcher struct {
	connection net.Conn
	raw        syscall.RawConn
	// done is closed when the watcher's goroutine ends.
	done chan struct{}
}

// disconnectContext returns a context of a parent that is cancelled when the client closes
// its connection, which fasthttp doesn't report to handlers. The handler must call the
// returned function before it returns.
func disconnectContext(parent context.Context, requestCtx *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	connection, ok := requestCtx.Conn().(syscall.Conn)
	if !ok {
		return ctx, cancel
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	watcher := &disconnectWatcher{
		connection: requestCtx.Conn(),
		raw:        raw,
		done:       make(chan struct{}),
	}
	// fasthttp's read deadline is for reading the request. The call may take longer.
	watcher.setReadDeadline(time.Time{})
	go func() {
		defer close(watcher.done)
		if watcher.waitClosed() {
			cancel()
		}
	}()
	return ctx, func() {
		watcher.stop()
		cancel()
	}
}

// waitClosed waits until the client closes its side, sends another request or the
// watcher is stopped. It reports whether the client closed its side. Peeking leaves
// the bytes of a pipelined request in the socket.
func (w *disconnectWatcher) waitClosed() bool {
	closed := false
	err := w.raw.Read(func(descriptor uintptr) bool {
		count, err := socket.Peek(descriptor)
		if err == syscall.EAGAIN {
			return false
		}
		closed = err != nil || count == 0
		return true
	})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	return closed || err != nil
}

// stop ends waitClosed and resets the read deadline for the next request.
func (w *disconnectWatcher) stop() {
	w.setReadDeadline(time.Unix(1, 0))
	<-w.done
	w.setReadDeadline(time.Time{})
}

// setReadDeadline ignores the error: it fails only on a closed connection, for which
// waitClosed returns anyway.
func (w *disconnectWatcher) setReadDeadline(deadline time.Time) {
	_ = w.connection.SetReadDeadline(deadline)
}
