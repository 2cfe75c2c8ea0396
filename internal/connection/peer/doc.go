// Package peer carries calls and control messages between nodes over TCP.
//
// # Connections
//
// A connection starts with a handshake: the client's hello (protocol version,
// instance, purpose, random challenge), the server's challenge with its proof, and
// the client's proof. A proof is an HMAC-SHA-256 with the shared key over both
// challenges and both identities. The client's proof travels with its first call,
// so that a new connection costs two round trips, one of them for TCP.
//
// Each connection carries one call at a time. Closing it cancels the call. Control
// messages have connections of their own and never wait for a call.
//
// # When an answer counts as lost
//
// The server starts a call only after it has read all its frames and the end
// frame's length and checksum agree. So:
//
//   - ErrNotSent: no connection was made, the handshake failed, the call is too
//     large, or the kernel did not accept the last byte of the call. The callee
//     can't have the whole call and does not run it.
//   - ErrAnswerLost: the kernel accepted the whole call, and no complete answer
//     with the same call id, length and checksum followed.
//
// A pooled connection that the callee closed while it was idle would turn calls
// that never ran into lost answers. An accept message doesn't help: when it is
// missing, the callee may still have run the call. Instead, only the
// client closes idle connections. A server that stops sends going-away and waits
// for the client to close; a call that crosses with going-away is still served.
// Before each use the client looks at the socket without blocking and discards
// a connection that was closed or has unexpected bytes. What remains is a callee
// that dies or is cut off after the call was written, where the outcome
// truly is unknown. The check costs one system call and no round trip.
package peer
