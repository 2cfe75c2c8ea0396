package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// disturbance is what a link does to the bytes that pass it.
type disturbance int

const (
	// passing forwards them at once, delaying after linkDelay.
	passing disturbance = iota
	delaying
	// mutedUp holds what goes to the target, mutedDown what comes back. Connections
	// that were muted are reset when it ends, so that nothing arrives late.
	mutedUp
	mutedDown
	// refusing resets all connections and new ones.
	refusing
)

const (
	linkDelay = 150 * time.Millisecond
	// linkPoll is the time between two looks at the disturbance.
	linkPoll = 2 * time.Millisecond
)

// link is a loopback proxy between a process and something that it connects to.
type link struct {
	listener net.Listener
	target   string
	ended    sync.WaitGroup

	mu       sync.Mutex
	state    disturbance
	closed   bool
	carrying map[*net.TCPConn]bool
}

// newLink starts a proxy at the address until the test ends.
func newLink(t *testing.T, address, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{
		listener: listener,
		target:   target,
		carrying: map[*net.TCPConn]bool{},
	}
	l.ended.Go(l.accept)
	t.Cleanup(func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		_ = listener.Close()
		l.reset()
		l.ended.Wait()
	})
	return l
}

// disturb changes what the link does for a time.
func (l *link) disturb(state disturbance, length time.Duration) {
	l.set(state)
	if state == refusing {
		l.reset()
	}
	time.Sleep(length)
	if state != delaying {
		l.reset()
	}
	l.set(passing)
}

func (l *link) set(state disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
}

func (l *link) now() (state disturbance, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.closed
}

// reset resets all connections; bytes that are held are lost.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.carrying {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	l.carrying = map[*net.TCPConn]bool{}
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.ended.Go(func() { l.serve(conn.(*net.TCPConn)) })
	}
}

func (l *link) serve(from *net.TCPConn) {
	state, _ := l.now()
	if state == refusing {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	conn, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = from.SetLinger(0)
		_ = from.Close()
		return
	}
	to := conn.(*net.TCPConn)
	if !l.carry(from, to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.forward(from, to, mutedUp) })
	both.Go(func() { l.forward(to, from, mutedDown) })
	both.Wait()
	l.mu.Lock()
	delete(l.carrying, from)
	delete(l.carrying, to)
	l.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// carry notes the connections unless the link is closed.
func (l *link) carry(from, to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = from.Close()
		_ = to.Close()
		return false
	}
	l.carrying[from] = true
	l.carrying[to] = true
	return true
}

// forward passes on what one side sends, and its end.
func (l *link) forward(from, to *net.TCPConn, muted disturbance) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !l.await(from, muted) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// await holds bytes back as the link's disturbance wants it. It reports whether the
// connection still lives.
func (l *link) await(from *net.TCPConn, muted disturbance) bool {
	state, _ := l.now()
	if state == delaying {
		time.Sleep(linkDelay)
	}
	for {
		state, closed := l.now()
		l.mu.Lock()
		alive := l.carrying[from]
		l.mu.Unlock()
		if closed || !alive {
			return false
		}
		if state != muted {
			return true
		}
		time.Sleep(linkPoll)
	}
}
