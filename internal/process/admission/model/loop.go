// Package model runs an admission gate in virtual time against a model of its
// callers and its backend server. Runs with the same seed are the same on every machine.
package model

import (
	"slices"
	"sort"
	"time"
)

// Loop is a virtual clock with events. It is not safe for concurrent use.
type Loop struct {
	start time.Time
	now   time.Time
	// events are in the order of their time; those of one time in the order of
	// their creation. Their number is not bounded.
	events []event
}

type event struct {
	at  time.Time
	run func()
}

// NewLoop returns a loop without events.
func NewLoop() *Loop {
	start := time.Unix(1_000_000, 0)
	return &Loop{
		start: start,
		now:   start,
	}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time {
	return l.now
}

// Since returns the virtual time since the start.
func (l *Loop) Since() time.Duration {
	return l.now.Sub(l.start)
}

// After runs a function once the virtual time has advanced by delay.
func (l *Loop) After(delay time.Duration, run func()) {
	at := l.now.Add(delay)
	place := sort.Search(len(l.events), func(i int) bool {
		return l.events[i].at.After(at)
	})
	l.events = slices.Insert(l.events, place, event{
		at:  at,
		run: run,
	})
}

// Run runs events until the given time since the start, or until none is left.
func (l *Loop) Run(length time.Duration) {
	for len(l.events) > 0 && l.Since() < length {
		next := l.events[0]
		l.events = l.events[1:]
		l.now = next.at
		next.run()
	}
}
