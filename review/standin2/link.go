package main

import (
	"bytes"
	"net"
	"sync"
)

// Ports of the links between nodes: a node listens at peerPort, and others reach it through
// the link at linkPort, which the rows of the store name.
const (
	peerPort = ":7620"
	linkPort = ":7630"
)

// helloBytes is enough for the first message on a connection, which names its sender.
const helloBytes = 512

// link is a proxy of the connections to one machine.
type link struct {
	fleet  *fleet
	target *machine

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]*machine
}

// startLinks starts a link to each machine, and makes the rows of the store name it.
func (f *fleet) startLinks() error {
	f.store.Rewrite(func(value []byte) []byte {
		return bytes.ReplaceAll(value, []byte(peerPort), []byte(linkPort))
	})
	for _, m := range f.machines {
		l := &link{
			fleet:  f,
			target: m,
			conns:  map[*net.TCPConn]*machine{},
		}
		f.links = append(f.links, l)
		if err := l.listen(); err != nil {
			return err
		}
	}
	return nil
}

// listen accepts connections until refuse is called.
func (l *link) listen() error {
	listener, err := net.Listen("tcp", l.target.ip+linkPort)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener = listener
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn.(*net.TCPConn))
		}
	}()
	return nil
}

// serve forwards one connection, unless its sender is cut off.
func (l *link) serve(from *net.TCPConn) {
	hello := make([]byte, helloBytes)
	count, err := from.Read(hello)
	sender := l.fleet.senderOf(hello[:count])
	if err != nil || sender == nil || l.fleet.isCut(sender) || l.fleet.isCut(l.target) {
		reset(from)
		return
	}
	conn, err := net.Dial("tcp", l.target.ip+peerPort)
	if err != nil {
		reset(from)
		return
	}
	to := conn.(*net.TCPConn)
	l.mu.Lock()
	l.conns[from] = sender
	l.conns[to] = sender
	l.mu.Unlock()
	if _, err := to.Write(hello[:count]); err == nil {
		var directions sync.WaitGroup
		directions.Go(func() { forward(to, from) })
		directions.Go(func() { forward(from, to) })
		directions.Wait()
	}
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}

// forward copies bytes until one side is closed.
func forward(to, from *net.TCPConn) {
	_, _ = to.ReadFrom(from)
	_ = to.CloseWrite()
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// refuse refuses new connections to the machine and resets the open ones.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for conn := range l.conns {
		reset(conn)
	}
}

// resetSender resets the open connections of a sender.
func (l *link) resetSender(sender *machine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn, owner := range l.conns {
		if owner == sender {
			reset(conn)
		}
	}
}

// senderOf returns the machine that the first message on a connection names.
func (f *fleet) senderOf(hello []byte) *machine {
	for _, m := range f.machines {
		if bytes.Contains(hello, []byte(m.name)) {
			return m
		}
	}
	return nil
}

func (f *fleet) isCut(m *machine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut == m
}

// cutOff cuts a machine off from all other machines: its connections are reset, and new ones
// in both directions are refused or reset.
func (f *fleet) cutOff(m *machine) {
	f.mu.Lock()
	f.cut = m
	f.mu.Unlock()
	for _, l := range f.links {
		if l.target == m {
			l.refuse()
		} else {
			l.resetSender(m)
		}
	}
}

// rejoin ends the cut of a machine.
func (f *fleet) rejoin(m *machine) error {
	f.mu.Lock()
	f.cut = nil
	f.mu.Unlock()
	for _, l := range f.links {
		if l.target == m {
			return l.listen()
		}
	}
	return nil
}
