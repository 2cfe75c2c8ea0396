package lagoonbarrow

import "time"

// SidecarSettings are what the process beside a backend server learns from its settings file.
type SidecarSettings struct {
	Instance InstanceID
	Zone     Zone
	Region   Region
	// Service is the service of the backend server beside this node.
	Service ServiceName
	// Server is the address of the backend server.
	Server Address
	// Requests is where clients on this machine and the backend server send requests.
	Requests Address
	// Ready is where the platform asks whether this node takes requests.
	Ready Address
	// Heartbeats is where the backend server sends its heartbeats.
	Heartbeats Address
	// Peer is where other nodes send calls.
	Peer    Address
	Metrics Address
	// Store is the address of the platform's store.
	Store Address
	// HeartbeatInterval is the usual time between two heartbeats.
	HeartbeatInterval time.Duration
	// StopTimeout is the time between the request to stop and the kill.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the repeated sends to a service in RetryWindow,
	// over all nodes together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes and MaxOpenFiles are the limits of the process.
	MemoryBytes  int64
	MaxOpenFiles int
}

// ConfigurationSource tells where the operator keeps the configuration and how
// it is read.
type ConfigurationSource struct {
	Table  string
	Key    string
	Decode func(value []byte) (*Configuration, error)
}
