package timeline

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// The numbers of the events of single requests. These events have a ring of their own,
// because a night of traffic would otherwise evict the beginning of an overload.
const (
	firstRequestNumber = 500
	lastRequestNumber  = 699
	callShedNumber     = 402
	callExpiredNumber  = 403
)

// Config configures a Timeline.
type Config struct {
	Instance lagoonbarrow.InstanceID
	Zone     lagoonbarrow.Zone
	Clock    *Clock
	Logger   hclog.Logger
	// EventsPerRing is the number of events kept in each of the two rings.
	EventsPerRing int
	// RequestLogsPerSecond limits the events of single requests that are logged at level
	// info in one second. The others are logged at level debug.
	RequestLogsPerSecond int
}

// Timeline keeps the latest events in memory and overwrites the oldest. Its lock comes
// last in the lock order.
type Timeline struct {
	config   Config
	mu       sync.Mutex
	process  ring
	requests ring
	limiter  lineLimiter
}

// Filter selects events. Empty fields select all.
type Filter struct {
	Request         string
	Customer        string
	ContractVersion uint64
	// Since selects events after this stamp.
	Since event.Stamp
	// Limit bounds the number of events returned, which are the latest; 0 for all.
	Limit int
}

// New returns an empty timeline.
func New(config Config) *Timeline {
	return &Timeline{
		config:   config,
		process:  newRing(config.EventsPerRing),
		requests: newRing(config.EventsPerRing),
		limiter: lineLimiter{
			perSecond: config.RequestLogsPerSecond,
		},
	}
}

// Record stamps and keeps an event and writes it to the log.
func (t *Timeline) Record(kind event.Kind, fields event.Fields) {
	occurrence := event.Event{
		Number:   kind.Number,
		Name:     kind.Name,
		Instance: string(t.config.Instance),
		Zone:     string(t.config.Zone),
		Fields:   fields,
		Stamp:    t.config.Clock.Now(),
	}
	perRequest := isRequestEvent(kind)
	level := hclog.Info
	omitted := 0
	t.mu.Lock()
	if perRequest {
		t.requests.add(occurrence)
		level, omitted = t.requestLevel(occurrence.Stamp.Time())
	} else {
		t.process.add(occurrence)
	}
	t.mu.Unlock()
	if omitted > 0 {
		t.config.Logger.Info("lines of requests omitted", "count", omitted)
	}
	t.log(occurrence, level)
}

// requestLevel returns the log level for an event of a request, and how many lines
// were omitted before.
func (t *Timeline) requestLevel(now time.Time) (level hclog.Level, omitted int) {
	allowed, omitted := t.limiter.allow(now)
	if allowed {
		return hclog.Info, omitted
	}
	return hclog.Debug, omitted
}

func (t *Timeline) log(occurrence event.Event, level hclog.Level) {
	if t.config.Logger == nil || t.config.Logger.GetLevel() > level {
		return
	}
	t.config.Logger.Log(level, occurrence.Name, logFields(occurrence)...)
}

func logFields(occurrence event.Event) []any {
	fields := []any{"event", occurrence.Number}
	fields = appendField(fields, "request", occurrence.Fields.Request)
	fields = appendField(fields, "customer", occurrence.Fields.Customer)
	fields = appendField(fields, "class", occurrence.Fields.Class)
	fields = appendField(fields, "peer", occurrence.Fields.Peer)
	fields = appendField(fields, "detail", occurrence.Fields.Detail)
	if occurrence.Fields.ContractVersion != 0 {
		fields = append(fields, "contract-version", occurrence.Fields.ContractVersion)
	}
	return fields
}

func appendField(fields []any, name, value string) []any {
	if value == "" {
		return fields
	}
	return append(fields, name, value)
}

func isRequestEvent(kind event.Kind) bool {
	if kind.Number == callShedNumber || kind.Number == callExpiredNumber {
		return true
	}
	return kind.Number >= firstRequestNumber && kind.Number <= lastRequestNumber
}

// Events returns the kept events that match, in order.
func (t *Timeline) Events(filter Filter) []event.Event {
	t.mu.Lock()
	all := append(t.process.events(), t.requests.events()...)
	t.mu.Unlock()
	var selected []event.Event
	for _, occurrence := range all {
		if filter.matches(occurrence) {
			selected = append(selected, occurrence)
		}
	}
	event.Sort(selected)
	if filter.Limit > 0 && len(selected) > filter.Limit {
		selected = selected[len(selected)-filter.Limit:]
	}
	return selected
}

func (f Filter) matches(occurrence event.Event) bool {
	if f.Request != "" && occurrence.Fields.Request != f.Request {
		return false
	}
	if f.Customer != "" && occurrence.Fields.Customer != f.Customer {
		return false
	}
	if f.ContractVersion != 0 && occurrence.Fields.ContractVersion != f.ContractVersion {
		return false
	}
	return f.Since.Before(occurrence.Stamp)
}
