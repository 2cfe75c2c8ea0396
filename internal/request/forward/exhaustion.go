package forward

import (
	"sync"
	"time"

	"lagoonbarrow"
)

// exhaustionTime is how long no repeats are sent to a service after it refused one.
// When many calls fail at once, each repeat would otherwise cost a round trip only to
// be refused.
const exhaustionTime = 200 * time.Millisecond

// exhaustion holds the services that currently allow no repeats.
type exhaustion struct {
	mu       sync.Mutex
	services map[lagoonbarrow.ServiceName]refusedRepeat
}

// refusedRepeat is the last refusal of a repeat by a service.
type refusedRepeat struct {
	// importance is the importance of the refused call. More important calls may be allowed.
	importance lagoonbarrow.Importance
	until      time.Time
}

func newExhaustion() *exhaustion {
	return &exhaustion{
		services: map[lagoonbarrow.ServiceName]refusedRepeat{},
	}
}

// add records that a service refused a repeat.
func (e *exhaustion) add(service lagoonbarrow.ServiceName, importance lagoonbarrow.Importance, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.services[service] = refusedRepeat{
		importance: importance,
		until:      now.Add(exhaustionTime),
	}
}

// refuses reports whether a repeat of the importance would be refused.
func (e *exhaustion) refuses(service lagoonbarrow.ServiceName, importance lagoonbarrow.Importance, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, ok := e.services[service]
	if !ok {
		return false
	}
	if now.After(last.until) {
		delete(e.services, service)
		return false
	}
	return importance <= last.importance
}
