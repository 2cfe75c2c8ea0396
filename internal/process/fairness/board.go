// Package fairness decides which requests of customers are refused while a service has too
// few slots for all of them. It has no I/O; times are passed in.
package fairness

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"lagoonbarrow"
)

const (
	// directWeight is the weight of one answer of an instance in the threshold of its service. A
	// single slow instance must not make the entry refuse requests to all of them.
	directWeight = 0.25
	// holdTime is the age up to which a threshold applies unchanged. Callers hear of it again
	// within some ten milliseconds while the overload lasts.
	holdTime = 250 * time.Millisecond
	// halfLife is the half-life of a threshold after that. It ends within a second of the last
	// report then, also if nothing is heard from the service any more.
	halfLife = 150 * time.Millisecond
	// maxServices bounds the services on the board. Only those with a threshold are on it.
	maxServices = 64
	// maxReported bounds the services in one answer.
	maxReported = 8
	// maxRoutes and maxCalled bound the routes, and the services of each, that are remembered.
	maxRoutes = 1024
	maxCalled = 32
	// calledTime is how long a route is expected to call a service that it has called once.
	calledTime = 5 * time.Minute
)

// Board holds the thresholds of the services that are short of slots, from the answers of
// all calls, and the services that the requests of each route call. It serves load that
// exceeds a service deep in the call graph: an answer of any request makes the threshold
// known, while the thresholds of a route are known only when its requests have failed.
type Board struct {
	mu       sync.Mutex
	services map[lagoonbarrow.ServiceName]*serviceState
	// routes holds when the requests of a route were last known to call a service.
	routes map[lagoonbarrow.RouteName]map[lagoonbarrow.ServiceName]time.Time
}

// serviceState is the newest known threshold of a service.
type serviceState struct {
	threshold float64
	// at is when the threshold was computed.
	at time.Time
}

// NewBoard returns a board without thresholds.
func NewBoard() *Board {
	return &Board{
		services: map[lagoonbarrow.ServiceName]*serviceState{},
		routes:   map[lagoonbarrow.RouteName]map[lagoonbarrow.ServiceName]time.Time{},
	}
}

// current returns the threshold at a time.
func (s *serviceState) current(now time.Time) float64 {
	age := now.Sub(s.at) - holdTime
	if age <= 0 {
		return s.threshold
	}
	return s.threshold * math.Exp2(-age.Seconds()/halfLife.Seconds())
}

// Observe records the thresholds in an answer of an instance of a service.
func (b *Board) Observe(service lagoonbarrow.ServiceName, reports []lagoonbarrow.ServiceThreshold, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, report := range reports[:min(len(reports), maxReported)] {
		report.Threshold = min(report.Threshold, lagoonbarrow.CriticalThreshold)
		current, found := b.services[report.Service]
		if !found {
			if report.Threshold == 0 || !b.makeRoom(now) {
				continue
			}
			current = &serviceState{}
			b.services[report.Service] = current
		}
		if report.Service == service {
			value := current.current(now)
			current.threshold = value + directWeight*(float64(report.Threshold)-value)
			current.at = now
			continue
		}
		if at := now.Add(-max(0, report.Age)); at.After(current.at) {
			current.threshold = float64(report.Threshold)
			current.at = at
		}
	}
}

// makeRoom reports whether there is room for another service, after the removal of those
// whose threshold has ended if there was none. The caller holds the mutex.
func (b *Board) makeRoom(now time.Time) bool {
	if len(b.services) < maxServices {
		return true
	}
	maps.DeleteFunc(b.services, func(_ lagoonbarrow.ServiceName, state *serviceState) bool {
		return state.current(now) < 1
	})
	return len(b.services) < maxServices
}

// ObserveCalled records the services that a request of a route has called.
func (b *Board) ObserveCalled(route lagoonbarrow.RouteName, reports []lagoonbarrow.ServiceThreshold, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	called, found := b.routes[route]
	if !found {
		if len(b.routes) >= maxRoutes {
			// Routes of earlier configurations fill the table; those in use are learnt again.
			clear(b.routes)
		}
		called = map[lagoonbarrow.ServiceName]time.Time{}
		b.routes[route] = called
	}
	for _, report := range reports {
		if _, known := called[report.Service]; report.Called && (known || len(called) < maxCalled) {
			called[report.Service] = now
		}
	}
}

// Threshold returns the lowest priority that all services that a route calls have slots for,
// and the one that determines it.
func (b *Board) Threshold(route lagoonbarrow.RouteName, now time.Time) (lagoonbarrow.Threshold, lagoonbarrow.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	highest := lagoonbarrow.Threshold(0)
	binding := lagoonbarrow.ServiceName("")
	for service, at := range b.routes[route] {
		if now.Sub(at) > calledTime {
			delete(b.routes[route], service)
			continue
		}
		state, found := b.services[service]
		if !found {
			continue
		}
		if value := lagoonbarrow.Threshold(math.Round(state.current(now))); value > highest {
			highest, binding = value, service
		}
	}
	return highest, binding
}

// Report returns the thresholds for an answer: that of the node's own service, of those that
// the call has led to, and of others that are short of slots.
func (b *Board) Report(own lagoonbarrow.ServiceThreshold, called []lagoonbarrow.ServiceName, now time.Time) []lagoonbarrow.ServiceThreshold {
	b.mu.Lock()
	defer b.mu.Unlock()
	reports := append(make([]lagoonbarrow.ServiceThreshold, 0, 1+len(called)), own)
	for _, service := range called {
		if service == own.Service || len(reports) == maxReported {
			continue
		}
		reports = append(reports, b.report(service, now, true))
	}
	for service, state := range b.services {
		if service == own.Service || len(reports) == maxReported || state.current(now) < 1 || slices.Contains(called, service) {
			continue
		}
		reports = append(reports, b.report(service, now, false))
	}
	return reports
}

// report returns the threshold of a service. The caller holds the mutex.
func (b *Board) report(service lagoonbarrow.ServiceName, now time.Time, called bool) lagoonbarrow.ServiceThreshold {
	report := lagoonbarrow.ServiceThreshold{
		Service: service,
		Called:  called,
	}
	if state, found := b.services[service]; found {
		report.Threshold = lagoonbarrow.Threshold(math.Round(state.threshold))
		report.Age = now.Sub(state.at)
	} else {
		report.Age = maxAge
	}
	return report
}

// maxAge is the age of a threshold that is not known.
const maxAge = time.Hour
