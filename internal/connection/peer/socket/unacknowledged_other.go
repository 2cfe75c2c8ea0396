//go:build !linux

package socket

import (
	"net"
	"time"
)

// LimitUnacknowledged does nothing where the system has no such limit.
func LimitUnacknowledged(net.Conn, time.Duration) error {
	return nil
}
