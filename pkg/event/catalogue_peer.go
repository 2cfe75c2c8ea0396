package event

// Events of connections between nodes, numbers 800 to 899.
var (
	// PeerRefused: a connection failed authentication or used an unknown protocol version.
	PeerRefused = Kind{
		Number:  800,
		Name:    "peer-refused",
		Meaning: "a connection failed authentication or spoke an unknown protocol version",
	}
	// PeerConnectionClosed: a connection was closed after a damaged or late frame.
	PeerConnectionClosed = Kind{
		Number:  801,
		Name:    "peer-connection-closed",
		Meaning: "a connection was closed after a damaged or late frame",
	}
)

var peerKinds = []Kind{
	PeerRefused,
	PeerConnectionClosed,
}
