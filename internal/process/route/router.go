// Package route chooses the instance that serves a call.
package route

import (
	"lagoonbarrow"
)

// Router implements lagoonbarrow.Router.
type Router struct{ config Config }

var _ lagoonbarrow.Router = (*Router)(nil)

// New returns a router over a roster.
func New(config Config) *Router {
	return &Router{config: config.withDefaults()}
}

// Pick chooses an instance.
func (r *Router) Pick(service lagoonbarrow.ServiceName, _ string, _ []lagoonbarrow.InstanceID) (lagoonbarrow.Instance, error) {
	instances := r.config.Roster.Instances(service)
	if len(instances) == 0 {
		return lagoonbarrow.Instance{}, lagoonbarrow.ErrNoInstance
	}
	return instances[0], nil
}

// Started notes a call in flight.
func (r *Router) Started(_ lagoonbarrow.InstanceID) func(lagoonbarrow.Observation) {
	return func(lagoonbarrow.Observation) {}
}
