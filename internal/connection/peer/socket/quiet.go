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
		n, peekErr = Peek(descriptor)
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
}

// Peek looks for a byte to read without blocking and without taking it. It returns 0
// without an error when the other side has closed, and EAGAIN when there is none yet.
func Peek(descriptor uintptr) (count int, err error) {
	var one [1]byte
	for {
		count, _, err = syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return count, err
		}
	}
}
