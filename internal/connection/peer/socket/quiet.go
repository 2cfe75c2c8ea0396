//go:build unix

// Package socket looks at the state of open sockets.
package socket

import (
	"net"
	"syscall"
)

// Quiet reports whether an idle connection is open and has no bytes to read.
// It looks at the socket without blocking and without taking bytes from it, which
// costs one system call.
func Quiet(raw net.Conn) bool {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK || peekErr == syscall.EINTR
}
