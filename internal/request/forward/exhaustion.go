package forward

import (
	"sync"
	"time"

	"lagoonbarrow"
)

// exhaustionTime is how long a service that allows no repeat is not asked for
// another one. It answers failures of many calls at once, each of whose repeats
// would cost a round trip to be refused.
const exhaustionTime = 200 * time.Millisecond

// exhaustion remembers the services that allow no repeats at present.
type exhaustion struct {
	mu       sync.Mutex
	services map[lagoonbarrow.ServiceName]refusedRepeat
}

// refusedRepeat is the last refusal of a repeat.
type refusedRepeat struct {
	// importance is that of the refused call; more important ones may be allowed.
	importance lagoonbarrow.Importance
	until      time.Time
}

func newExhaustion() *exhaustion {
	return &exhaustion{
		services: map[lagoonbarrow.ServiceName]refusedRepeat{},
	}
}

// note remembers that a service refused a repeat.
func (e *exhaustion) note(service lagoonbarrow.ServiceName, importance lagoonbarrow.Importance, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.services[service] = refusedRepeat{
		importance: importance,
		until:      now.Add(exhaustionTime),
	}
}

// holds reports whether a repeat of the importance would be refused.
func (e *exhaustion) holds(service lagoonbarrow.ServiceName, importance lagoonbarrow.Importance, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last, known := e.services[service]
	if !known {
		return false
	}
	if now.After(last.until) {
		delete(e.services, service)
		return false
	}
	return importance <= last.importance
}
