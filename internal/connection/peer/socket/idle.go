//go:build unix

// Package socket inspects and configures open sockets.
package socket

import (
	"net"
	"syscall"
)

// IsIdle reports whether a connection is open and has no bytes to read. The check
// does not block, consumes no bytes and costs one system call.
func IsIdle(conn net.Conn) bool {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var peekErr error
	err = rawConn.Read(func(descriptor uintptr) bool {
		n, peekErr = Peek(descriptor)
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
}

// Peek reports whether a byte can be read, without blocking and without consuming it.
// It returns 0 without an error if the other side has closed the connection, and
// EAGAIN if there is no byte yet.
func Peek(descriptor uintptr) (count int, err error) {
	var buf [1]byte
	for {
		count, _, err = syscall.Recvfrom(int(descriptor), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != syscall.EINTR {
			return count, err
		}
	}
}
