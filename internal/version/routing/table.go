// Package routing finds the route and the service of a request in the
// configuration in force.
package routing

import (
	"math"
	"math/rand/v2"
	"strings"
	"sync/atomic"

	"lagoonbarrow"
)

// Route is a route of the configuration in force.
type Route struct {
	lagoonbarrow.Route
	Version lagoonbarrow.ConfigurationVersion
	// bounds holds the cumulative weights of the shares, scaled to end at 1.
	bounds []float64
	// start and choices determine the next choice between the shares.
	start   float64
	choices atomic.Uint64
}

// goldenStep is the fractional part of the golden ratio. The fractional parts of
// its multiples are spread evenly over [0, 1) after any number of choices.
const goldenStep = 0.6180339887498949

func newRoute(configured lagoonbarrow.Route, version lagoonbarrow.ConfigurationVersion) *Route {
	route := &Route{
		Route:   configured,
		Version: version,
		// Without a random start all nodes would send their first requests to the same share.
		start: rand.Float64(),
	}
	total := 0.0
	for _, share := range configured.Shares {
		total += share.Weight
	}
	sum := 0.0
	for _, share := range configured.Shares {
		sum += share.Weight
		route.bounds = append(route.bounds, sum/total)
	}
	return route
}

// Service chooses the service for one request. The choices match the weights
// closely even over few requests.
func (r *Route) Service() lagoonbarrow.ServiceName {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	_, position := math.Modf(r.start + float64(r.choices.Add(1))*goldenStep)
	for i, bound := range r.bounds {
		if position < bound {
			return r.Shares[i].Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// table holds the routes of one version by host and prefix.
type table struct {
	configuration *lagoonbarrow.Configuration
	hosts         map[string]map[string]*Route
	customers     customers
}

func newTable(configuration *lagoonbarrow.Configuration) *table {
	t := &table{
		configuration: configuration,
		hosts:         map[string]map[string]*Route{},
		customers:     newCustomers(configuration.Customers),
	}
	for _, configured := range configuration.Routes {
		host := strings.ToLower(configured.Host)
		if t.hosts[host] == nil {
			t.hosts[host] = map[string]*Route{}
		}
		t.hosts[host][configured.Prefix] = newRoute(configured, configuration.Version)
	}
	return t
}

// find returns the route with the longest prefix of the path, or nil. Prefixes
// end with a slash, so only the path's slashes need to be tried.
func (t *table) find(host, path string) *Route {
	prefixes := t.hosts[strings.ToLower(withoutPort(host))]
	if prefixes == nil {
		return nil
	}
	path, _, _ = strings.Cut(path, "?")
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			return nil
		}
		if route := prefixes[path[:slash+1]]; route != nil {
			return route
		}
		path = path[:slash]
	}
}

func withoutPort(host string) string {
	name, _, found := strings.Cut(host, ":")
	if !found || strings.HasPrefix(host, "[") {
		return host
	}
	return name
}
