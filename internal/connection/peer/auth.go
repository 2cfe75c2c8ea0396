package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// challengeBytes is the size of a random challenge. 128 bits don't repeat by
// chance, and a short challenge keeps probes over new connections cheap.
const challengeBytes = 16

// The side that gives a proof is part of what is proven. Otherwise a peer without
// the key could return a server's own proof to it.
const (
	sideClient = "lagoonbarrow-client"
	sideServer = "lagoonbarrow-server"
)

func newChallenge() []byte {
	raw := make([]byte, challengeBytes)
	// crypto/rand.Read never returns an error since Go 1.24.
	_, _ = rand.Read(raw)
	return raw
}

// prove returns the HMAC-SHA-256 over the whole handshake for one side.
func prove(key []byte, side string, greeting *hello, response *challenge) []byte {
	mac := hmac.New(sha256.New, key)
	fields := [][]byte{
		[]byte(side),
		binary.BigEndian.AppendUint64(nil, uint64(greeting.Version)),
		[]byte(greeting.Instance),
		[]byte(greeting.Address),
		[]byte(greeting.Purpose),
		greeting.Challenge,
		[]byte(response.Instance),
		response.Challenge,
	}
	for _, field := range fields {
		// Lengths keep two different sequences of fields from having the same bytes.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write(field)
	}
	return mac.Sum(nil)
}

// proven reports whether a proof is the expected one.
func proven(got, want []byte) bool {
	return hmac.Equal(got, want)
}
