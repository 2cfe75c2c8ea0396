package routing

import (
	"sync"
	"sync/atomic"

	"lagoonbarrow"
)

// Registry holds the configuration in force. Its version never decreases while
// the process runs.
type Registry struct {
	// mu serializes changes. Readers load the current table without it.
	mu      sync.Mutex
	current atomic.Pointer[table]
}

// NewRegistry returns a registry without a configuration.
func NewRegistry() *Registry {
	return &Registry{}
}

// Offer brings a configuration into force if its version is higher than the
// current one, and reports whether it did.
func (r *Registry) Offer(configuration *lagoonbarrow.Configuration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if configuration.Version <= r.Version() {
		return false
	}
	r.current.Store(newTable(configuration))
	return true
}

// Current returns the configuration in force, or nil if there is none. It must not be
// changed.
func (r *Registry) Current() *lagoonbarrow.Configuration {
	current := r.current.Load()
	if current == nil {
		return nil
	}
	return current.configuration
}

// Version returns the version in force, or 0 if there is none.
func (r *Registry) Version() lagoonbarrow.ConfigurationVersion {
	current := r.Current()
	if current == nil {
		return 0
	}
	return current.Version
}

// Ready reports whether a configuration is in force.
func (r *Registry) Ready() bool {
	return r.current.Load() != nil
}

// Find returns the route of a request. It returns ErrUnavailable while no
// configuration is in force, and ErrNotFound when no route matches.
func (r *Registry) Find(host, path string) (*Route, error) {
	current := r.current.Load()
	if current == nil {
		return nil, lagoonbarrow.ErrUnavailable
	}
	route := current.find(host, path)
	if route == nil {
		return nil, lagoonbarrow.ErrNotFound
	}
	return route, nil
}
