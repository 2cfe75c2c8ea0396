package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
)

// challengeBytes is the size of a random challenge. 128 random bits don't repeat in
// practice, and a short challenge keeps probes over new connections cheap.
const challengeBytes = 16

// Each proof includes the side that computed it. Otherwise a client without the key
// could send the server's own proof back to it.
const (
	sideClient = "lagoonbarrow-client"
	sideServer = "lagoonbarrow-server"
)

func newChallenge() []byte {
	raw := make([]byte, challengeBytes)
	// Since Go 1.24 crypto/rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return raw
}

// computeProof returns the HMAC-SHA-256 over the whole handshake for one side.
func computeProof(key []byte, side string, clientHello *hello, serverChallenge *challenge) []byte {
	mac := hmac.New(sha256.New, key)
	fields := [][]byte{
		[]byte(side),
		binary.BigEndian.AppendUint64(nil, uint64(clientHello.Version)),
		[]byte(clientHello.Instance),
		[]byte(clientHello.Address),
		[]byte(clientHello.Purpose),
		clientHello.Challenge,
		[]byte(serverChallenge.Instance),
		serverChallenge.Challenge,
	}
	for _, field := range fields {
		// The length prefix keeps different sequences of fields from being hashed alike.
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		_, _ = mac.Write(size[:])
		_, _ = mac.Write(field)
	}
	return mac.Sum(nil)
}

// proofMatches compares two proofs in constant time.
func proofMatches(got, want []byte) bool {
	return hmac.Equal(got, want)
}
