package socket

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a limit that has no effect on the socket.
func TestLimitUnacknowledgedIsSet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := LimitUnacknowledged(conn, 800*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	rawConn, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	_ = rawConn.Control(func(descriptor uintptr) {
		value, err = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	if err != nil || value != 800 {
		t.Fatalf("value %d, error %v", value, err)
	}
}
