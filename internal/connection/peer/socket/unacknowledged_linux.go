package socket

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// LimitUnacknowledged closes a connection whose sent bytes the other side hasn't
// acknowledged for the given time. Without it a connection to a host that lost power
// or is cut off hangs for minutes.
func LimitUnacknowledged(raw net.Conn, limit time.Duration) error {
	socket, ok := raw.(syscall.Conn)
	if !ok {
		return errors.New("socket: not a socket")
	}
	control, err := socket.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket: limit unacknowledged bytes")
	}
	var failed error
	err = control.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return errors.Wrap(err, "socket: limit unacknowledged bytes")
}
