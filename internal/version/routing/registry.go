package routing

import (
	"sync"
	"sync/atomic"

	"lagoonbarrow"
)

// Registry holds the configuration in force. Its version never decreases while
// the process lives.
type Registry struct {
	// mu orders changes; readers take the current table without it.
	mu      sync.Mutex
	current atomic.Pointer[table]
}

// NewRegistry returns a registry without a configuration.
func NewRegistry() *Registry {
	return &Registry{}
}

// Offer puts a configuration in force if its version is higher than the present
// one, and reports whether it did.
func (r *Registry) Offer(configuration *lagoonbarrow.Configuration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if configuration.Version <= r.Version() {
		return false
	}
	r.current.Store(newTable(configuration))
	return true
}

// Version returns the version in force, or 0.
func (r *Registry) Version() lagoonbarrow.ConfigurationVersion {
	present := r.current.Load()
	if present == nil {
		return 0
	}
	return present.configuration.Version
}

// Ready reports whether a configuration is in force.
func (r *Registry) Ready() bool {
	return r.current.Load() != nil
}

// Find returns the route of a request. It returns ErrUnavailable while no
// configuration is in force, and ErrNotFound when no route matches.
func (r *Registry) Find(host, path string) (*Route, error) {
	present := r.current.Load()
	if present == nil {
		return nil, lagoonbarrow.ErrUnavailable
	}
	route := present.find(host, path)
	if route == nil {
		return nil, lagoonbarrow.ErrNotFound
	}
	return route, nil
}
