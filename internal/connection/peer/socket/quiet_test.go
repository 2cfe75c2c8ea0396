package socket

import (
	"net"
	"testing"
	"time"
)

// Guards against connections that were closed or have bytes to read and are used
// again, and against open ones that are not.
func TestQuiet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ends := map[string]func(net.Conn){
		"open":      func(net.Conn) {},
		"closed":    func(c net.Conn) { _ = c.Close() },
		"with byte": func(c net.Conn) { _, _ = c.Write([]byte{1}) },
		"reset":     func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); _ = c.Close() },
	}
	for name, end := range ends {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		other, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		end(other)
		quiet := true
		for range 1000 {
			quiet = Quiet(c)
			if quiet == (name == "open") {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if quiet != (name == "open") {
			t.Errorf("%s: %v", name, quiet)
		}
	}
}
