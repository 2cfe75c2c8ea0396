package lagoonbarrow

import "time"

// SidecarSettings holds the settings file of the process beside a backend server.
type SidecarSettings struct {
	Instance InstanceID
	Zone     Zone
	Region   Region
	// Service is the service of the backend server beside this node.
	Service ServiceName
	// ServerAddress is the address of the backend server.
	ServerAddress Address
	// RequestAddress is the address for requests of the backend server and of local clients.
	RequestAddress Address
	// ReadyAddress is the address where the platform checks whether this node accepts requests.
	ReadyAddress Address
	// HeartbeatAddress is the address for heartbeats of the backend server.
	HeartbeatAddress Address
	// PeerAddress is the address for calls of other nodes.
	PeerAddress    Address
	MetricsAddress Address
	// StoreAddress is the address of the platform's store.
	StoreAddress Address
	// HeartbeatInterval is the usual interval between heartbeats.
	HeartbeatInterval time.Duration
	// StopTimeout is the time between the request to stop and the kill of the process.
	StopTimeout time.Duration
	// RetryRatio and RetrySlack bound the repeated sends to a service within RetryWindow,
	// over all nodes together.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// MemoryBytes and MaxOpenFiles are the limits of the process.
	MemoryBytes  int64
	MaxOpenFiles int
}

// ConfigurationSource is the table row that holds the configuration, and the
// function that decodes it.
type ConfigurationSource struct {
	Table  string
	Key    string
	Decode func(value []byte) (*Configuration, error)
}
