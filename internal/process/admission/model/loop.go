// Package model simulates an admission gate with its callers and its backend server in
// virtual time. Runs with the same seed give the same results on every machine.
package model

import (
	"slices"
	"sort"
	"time"
)

// Loop is an event loop with a virtual clock. It is not safe for concurrent use.
type Loop struct {
	start time.Time
	now   time.Time
	// events are sorted by time, those with equal times by creation. Their number is not
	// bounded.
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
	index := sort.Search(len(l.events), func(i int) bool {
		return l.events[i].at.After(at)
	})
	l.events = slices.Insert(l.events, index, event{
		at:  at,
		run: run,
	})
}

// Run runs events until the given time since the start, or until no events are left.
func (l *Loop) Run(length time.Duration) {
	for len(l.events) > 0 && l.Since() < length {
		next := l.events[0]
		l.events = l.events[1:]
		l.now = next.at
		next.run()
	}
}
