package sidecar

import (
	"time"

	"lagoonbarrow"
)

// Settings are what a node process learns from its settings file.
type Settings struct {
	Instance lagoonbarrow.InstanceID
	Zone     lagoonbarrow.Zone
	Region   lagoonbarrow.Region
	// Service is the service of the backend server beside this node.
	Service lagoonbarrow.ServiceName
	// Server is the address of the backend server.
	Server lagoonbarrow.Address
	// Requests is where clients on this machine and the backend server send requests.
	Requests lagoonbarrow.Address
	// Ready is where the platform asks whether this node takes requests.
	Ready lagoonbarrow.Address
	// Heartbeats is where the backend server sends its heartbeats.
	Heartbeats lagoonbarrow.Address
	// Peer is where other nodes send calls.
	Peer    lagoonbarrow.Address
	Metrics lagoonbarrow.Address
	// Store is the address of the platform's store.
	Store         lagoonbarrow.Address
	StoreRowBytes int
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
	// ConfigurationMax is the time within which a change has to be in force.
	ConfigurationMax time.Duration
}
