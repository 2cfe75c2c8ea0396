package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// linkFault is a fault that a link injects into the connections it forwards.
type linkFault int

const (
	// noLinkFault forwards bytes at once, delayBytes after linkDelay.
	noLinkFault linkFault = iota
	delayBytes
	// stallToTarget holds back bytes to the target, stallFromTarget bytes from it. All
	// connections are reset at the end of the fault, so that no bytes arrive late.
	stallToTarget
	stallFromTarget
	// refuseConnections resets open and new connections.
	refuseConnections
)

const (
	linkDelay = 150 * time.Millisecond
	// faultPollInterval is how often a stalled connection checks whether the fault has
	// ended.
	faultPollInterval = 2 * time.Millisecond
)

// link is a loopback TCP proxy that can inject faults.
type link struct {
	listener net.Listener
	target   string
	// goroutines are those that accept and forward connections.
	goroutines sync.WaitGroup

	mu     sync.Mutex
	fault  linkFault
	closed bool
	// conns holds the open connections of both sides.
	conns map[*net.TCPConn]bool
}

// newLink starts a proxy that listens on the address until the test ends.
func newLink(t *testing.T, address, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	l := &link{
		listener: listener,
		target:   target,
		conns:    map[*net.TCPConn]bool{},
	}
	l.goroutines.Go(l.accept)
	t.Cleanup(func() {
		l.mu.Lock()
		l.closed = true
		l.mu.Unlock()
		_ = listener.Close()
		l.resetConns()
		l.goroutines.Wait()
	})
	return l
}

// injectFault keeps a fault in force for the duration.
func (l *link) injectFault(fault linkFault, duration time.Duration) {
	l.setFault(fault)
	if fault == refuseConnections {
		l.resetConns()
	}
	time.Sleep(duration)
	if fault != delayBytes {
		l.resetConns()
	}
	l.setFault(noLinkFault)
}

func (l *link) setFault(fault linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = fault
}

func (l *link) state() (fault linkFault, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.closed
}

// resetConns resets all connections. Bytes that are held back are lost.
func (l *link) resetConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	l.conns = map[*net.TCPConn]bool{}
}

func (l *link) accept() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.goroutines.Go(func() { l.serve(conn.(*net.TCPConn)) })
	}
}

func (l *link) serve(from *net.TCPConn) {
	fault, _ := l.state()
	if fault == refuseConnections {
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
	if !l.addConns(from, to) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { l.forward(from, to, stallToTarget) })
	directions.Go(func() { l.forward(to, from, stallFromTarget) })
	directions.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// addConns registers both sides of a connection. It closes them and returns false if
// the link is closed.
func (l *link) addConns(from, to *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = from.Close()
		_ = to.Close()
		return false
	}
	l.conns[from] = true
	l.conns[to] = true
	return true
}

// forward copies one direction of a connection, including its end. The fault stall
// holds back this direction.
func (l *link) forward(from, to *net.TCPConn, stall linkFault) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if !l.applyFault(from, stall) {
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
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

// applyFault blocks while the link's fault holds bytes back. It returns whether the
// connection is still open.
func (l *link) applyFault(from *net.TCPConn, stall linkFault) bool {
	fault, _ := l.state()
	if fault == delayBytes {
		time.Sleep(linkDelay)
	}
	for {
		fault, closed := l.state()
		l.mu.Lock()
		open := l.conns[from]
		l.mu.Unlock()
		if closed || !open {
			return false
		}
		if fault != stall {
			return true
		}
		time.Sleep(faultPollInterval)
	}
}
