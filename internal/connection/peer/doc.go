// Package peer carries calls and control messages between nodes over TCP.
package peer
