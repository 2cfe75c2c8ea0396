package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"lagoonbarrow"
)

// Digest identifies the content of a request: method, service, path and body.
// Each part is preceded by its length, so requests with different content
// never have the same hash input.
func Digest(call *lagoonbarrow.Call) string {
	sum := sha256.New()
	parts := [][]byte{
		[]byte(call.Method),
		[]byte(call.Service),
		[]byte(call.Path),
		call.Body,
	}
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		sum.Write(length[:])
		sum.Write(part)
	}
	return hex.EncodeToString(sum.Sum(nil))
}
