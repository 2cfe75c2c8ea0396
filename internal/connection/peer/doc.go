// Package peer carries calls and control messages between nodes over TCP.
//
// # Connections
//
// A connection starts with a handshake: the client's hello (protocol version,
// instance, purpose, random challenge), the server's challenge with its proof, and
// the client's proof. A proof is an HMAC-SHA-256 with the shared key over both
// challenges and both identities. The client sends its proof together with its first
// call, so a new connection costs two round trips, one of them for TCP.
//
// Each connection carries one call at a time. Closing it cancels the call. Control
// messages use separate connections and never wait for a call.
//
// # When an answer counts as lost
//
// The server starts a call only after it has read all its frames and the length
// and checksum in the end frame match. A failed call returns one of two errors:
//
//   - ErrNotSent: no connection was opened, the handshake failed, the call is too
//     large, or the kernel did not accept the last byte of the call. The callee
//     can't have the whole call and does not run it.
//   - ErrAnswerLost: the kernel accepted the whole call, but no complete answer
//     with the same call id, length and checksum followed.
//
// If callees closed idle connections, a call written to a closed connection would
// count as a lost answer although it never ran. An accept message doesn't help:
// when it is missing, the callee may still have run the call. Therefore only the
// client closes idle connections. A stopping server sends going-away and waits for
// the client to close. It still serves a call that was sent before the client
// received going-away.
//
// Before each use the client checks the socket without blocking and discards a
// connection that was closed or has unexpected bytes. The check costs one system
// call and no round trip. The outcome stays unknown only if the callee dies or
// becomes unreachable after the call was written.
package peer
