//go:build !linux

package socket

import (
	"net"
	"time"
)

// LimitUnacknowledged does nothing on systems other than Linux.
func LimitUnacknowledged(net.Conn, time.Duration) error {
	return nil
}
