package fleet

import (
	"io"
	"net"
	"sync"

	"lagoonbarrow"
)

// cutter passes connections from other nodes on to one node, until it is told
// to cut them. Connections that the node itself opens are not affected, so that
// the cut is one-sided.
type cutter struct {
	target   lagoonbarrow.Address
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	pairs map[net.Conn]net.Conn
}

func newCutter(address, target lagoonbarrow.Address) (*cutter, error) {
	listener, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, err
	}
	c := &cutter{
		target:   target,
		listener: listener,
		pairs:    map[net.Conn]net.Conn{},
	}
	go c.accept()
	return c, nil
}

func (c *cutter) accept() {
	for {
		outer, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.pass(outer)
	}
}

func (c *cutter) pass(outer net.Conn) {
	inner, err := net.Dial("tcp", string(c.target))
	if err != nil || !c.add(outer, inner) {
		_ = outer.Close()
		if err == nil {
			_ = inner.Close()
		}
		return
	}
	go copyAndClose(inner, outer)
	copyAndClose(outer, inner)
	c.mu.Lock()
	delete(c.pairs, outer)
	c.mu.Unlock()
}

func copyAndClose(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
}

func (c *cutter) add(outer, inner net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return false
	}
	c.pairs[outer] = inner
	return true
}

// set cuts all connections and refuses new ones, or lets them pass again.
func (c *cutter) set(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = cut
	if !cut {
		return
	}
	for outer, inner := range c.pairs {
		_ = outer.Close()
		_ = inner.Close()
	}
}

func (c *cutter) close() {
	_ = c.listener.Close()
	c.set(true)
}

// Cut cuts the connections that other nodes have to this one, in the middle of
// whatever they carry, and refuses new ones until Mend.
func (n *Node) Cut() {
	n.cutter.set(true)
}

// Mend lets other nodes connect again.
func (n *Node) Mend() {
	n.cutter.set(false)
}
