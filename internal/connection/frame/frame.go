// Package frame reads and writes the frames that travel between nodes. A frame
// is a 4-byte big-endian length, a 4-byte big-endian CRC-32C of the body, and a
// msgpack body (design 3.5).
package frame

import (
	"hash/crc32"

	"github.com/pkg/errors"
)

// DefaultBytes is the default limit of a frame's body (design 3.5).
const DefaultBytes = 256 << 10

// HeaderBytes is the size of the length and the checksum before each body.
const HeaderBytes = 8

// crcOffset is the position of the checksum within the header.
const crcOffset = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// limitOf replaces a limit that is not set by the default.
func limitOf(limit int) int {
	if limit <= 0 {
		return DefaultBytes
	}
	return limit
}

// wrap adds the package and the failed action to err.
func wrap(err error, action string) error {
	return errors.Wrap(err, "frame: "+action)
}
