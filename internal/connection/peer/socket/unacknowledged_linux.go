package socket

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// LimitUnacknowledged sets how long sent bytes may stay unacknowledged before the
// system closes the connection. Without it a connection to a host that lost power or
// became unreachable hangs for minutes.
func LimitUnacknowledged(conn net.Conn, limit time.Duration) error {
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return errors.New("socket: not a socket")
	}
	rawConn, err := syscallConn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket: limit unacknowledged bytes")
	}
	var optionErr error
	err = rawConn.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return errors.Wrap(err, "socket: limit unacknowledged bytes")
}
