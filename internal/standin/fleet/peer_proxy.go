package fleet

import (
	"io"
	"net"
	"sync"

	"lagoonbarrow"
)

// peerProxy forwards connections from other nodes to one node and can cut them.
// The cut is one-sided, since the node's own connections bypass the proxy.
type peerProxy struct {
	target   lagoonbarrow.Address
	listener net.Listener

	mu  sync.Mutex
	cut bool
	// pairs maps each open connection from another node to the one to target.
	pairs map[net.Conn]net.Conn
}

func newPeerProxy(address, target lagoonbarrow.Address) (*peerProxy, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, err
	}
	p := &peerProxy{
		target:   target,
		listener: listener,
		pairs:    map[net.Conn]net.Conn{},
	}
	go p.accept()
	return p, nil
}

func (p *peerProxy) accept() {
	for {
		incoming, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(incoming)
	}
}

func (p *peerProxy) forward(incoming net.Conn) {
	outgoing, err := net.Dial("tcp", string(p.target))
	if err != nil || !p.add(incoming, outgoing) {
		_ = incoming.Close()
		if err == nil {
			_ = outgoing.Close()
		}
		return
	}
	go copyAndClose(outgoing, incoming)
	copyAndClose(incoming, outgoing)
	p.mu.Lock()
	delete(p.pairs, incoming)
	p.mu.Unlock()
}

// copyAndClose copies one direction of a forwarded connection, then closes both ends.
func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

// add registers a pair of connections. It returns false while connections are cut.
func (p *peerProxy) add(incoming, outgoing net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cut {
		return false
	}
	p.pairs[incoming] = outgoing
	return true
}

// setCut cuts all connections and refuses new ones, or accepts connections again.
func (p *peerProxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for incoming, outgoing := range p.pairs {
		_ = incoming.Close()
		_ = outgoing.Close()
	}
}

func (p *peerProxy) close() {
	_ = p.listener.Close()
	p.setCut(true)
}

// CutPeerConnections closes the connections from other nodes to this node, even in
// the middle of a message, and refuses new ones until RestorePeerConnections.
func (n *Node) CutPeerConnections() {
	n.proxy.setCut(true)
}

// RestorePeerConnections accepts connections from other nodes again after
// CutPeerConnections.
func (n *Node) RestorePeerConnections() {
	n.proxy.setCut(false)
}
