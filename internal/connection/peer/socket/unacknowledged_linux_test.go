package socket

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a limit that is set on nothing.
func TestLimitUnacknowledgedIsSet(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	if err := LimitUnacknowledged(raw, 800*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	control, err := raw.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var value int
	_ = control.Control(func(descriptor uintptr) {
		value, err = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout)
	})
	if err != nil || value != 800 {
		t.Fatalf("value %d, error %v", value, err)
	}
}
