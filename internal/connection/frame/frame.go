// Package frame reads and writes the frames that nodes exchange. A frame consists of
// the length of its body and the CRC-32C of its body, both 4 bytes and big-endian, and
// a msgpack body (docs/design.md, 3.5).
package frame

import (
	"hash/crc32"

	"github.com/pkg/errors"
)

// DefaultBytes is the default size limit of a frame's body (docs/design.md, 3.5).
const DefaultBytes = 256 << 10

// HeaderBytes is the size of the header before each body: the length and the checksum.
const HeaderBytes = 8

// crcOffset is the offset of the checksum within the header.
const crcOffset = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// limitOrDefault returns the limit, or DefaultBytes if it is not positive.
func limitOrDefault(limit int) int {
	if limit <= 0 {
		return DefaultBytes
	}
	return limit
}

// wrap adds the package name and the failed action to err.
func wrap(err error, action string) error {
	return errors.Wrap(err, "frame: "+action)
}
