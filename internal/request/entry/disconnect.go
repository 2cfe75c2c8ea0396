package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// sweepInterval is how often connections of requests in progress are checked.
// Requests that end sooner are never checked.
const sweepInterval = 50 * time.Millisecond

// disconnects cancels requests whose clients close their connection, because
// fasthttp doesn't tell its handlers. One goroutine checks all connections.
type disconnects struct {
	mu      sync.Mutex
	watched map[*watch]struct{}
	stop    chan struct{}
	stopped sync.WaitGroup
}

// watch is one request in progress.
type watch struct {
	raw    syscall.RawConn
	cancel context.CancelFunc
}

func newDisconnects() *disconnects {
	return &disconnects{
		watched: map[*watch]struct{}{},
		stop:    make(chan struct{}),
	}
}

func (d *disconnects) start() {
	d.stopped.Add(1)
	go func() {
		defer d.stopped.Done()
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop:
				return
			case <-ticker.C:
				d.sweep()
			}
		}
	}()
}

func (d *disconnects) close() {
	close(d.stop)
	d.stopped.Wait()
}

// follow returns a context that ends when the request's client goes away, and
// a function that ends the watch.
func (d *disconnects) follow(request *fasthttp.RequestCtx) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	connection, ok := request.Conn().(interface {
		net.Conn
		syscall.Conn
	})
	if !ok {
		return ctx, cancel
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return ctx, cancel
	}
	current := &watch{
		raw:    raw,
		cancel: cancel,
	}
	d.mu.Lock()
	d.watched[current] = struct{}{}
	d.mu.Unlock()
	return ctx, func() {
		d.mu.Lock()
		delete(d.watched, current)
		d.mu.Unlock()
		cancel()
	}
}

func (d *disconnects) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for current := range d.watched {
		if current.closed() {
			current.cancel()
			delete(d.watched, current)
		}
	}
}

// closed reports whether the client has closed its side. Peeking leaves a
// pipelined request's bytes in place.
func (w *watch) closed() bool {
	gone := false
	err := w.raw.Control(func(descriptor uintptr) {
		var buffer [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
		case err != nil:
			gone = true
		default:
			gone = count == 0
		}
	})
	return gone || err != nil
}
