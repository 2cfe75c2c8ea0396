package announcement

import (
	"math"
	"strings"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// fixture records what a tracker reports.
type fixture struct {
	tracker *Tracker
	limited bool
	limit   lagoonbarrow.RequestsPerSecond
	left    []lagoonbarrow.ServerID
	details []string
}

func (f *fixture) Record(_ event.Kind, fields event.Fields) {
	f.details = append(f.details, fields.Detail)
}

var (
	started   = time.UnixMilli(1000)
	restarted = time.UnixMilli(2000)
)

// newFixture returns a tracker of the server i-1.
func newFixture() *fixture {
	f := &fixture{}
	f.tracker = New(Config{
		OnLimit: func(limited bool, limit lagoonbarrow.RequestsPerSecond) {
			f.limited = limited
			f.limit = limit
		},
		OnLeaving: func(server lagoonbarrow.ServerID, _ time.Time) { f.left = append(f.left, server) },
		Recorder:  f,
	})
	f.tracker.SetServer("i-1", started)
	return f
}

func limitOf(limit lagoonbarrow.RequestsPerSecond) lagoonbarrow.Announcement {
	return lagoonbarrow.Announcement{
		Server:  "i-1",
		Started: started,
		Limited: true,
		Limit:   limit,
	}
}

var silent = lagoonbarrow.Announcement{
	Server:  "i-1",
	Started: started,
}

// Guards against a limit that is missed, outlives its server or the answers that name it, or
// is taken from another server.
func TestTheNewestAnswerDecidesTheLimit(t *testing.T) {
	malformed := silent
	malformed.Malformed = true
	tests := []struct {
		name        string
		apply       func(tracker *Tracker)
		wantLimited bool
		wantLimit   lagoonbarrow.RequestsPerSecond
	}{
		{
			name:        "named",
			apply:       func(tracker *Tracker) { tracker.Observe(limitOf(10)) },
			wantLimited: true,
			wantLimit:   10,
		},
		{
			name:        "zero",
			apply:       func(tracker *Tracker) { tracker.Observe(limitOf(0)) },
			wantLimited: true,
		},
		{
			name: "changed",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.Observe(limitOf(20))
			},
			wantLimited: true,
			wantLimit:   20,
		},
		{
			name: "no longer named",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.Observe(silent)
			},
		},
		{
			name: "malformed after a limit",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.Observe(malformed)
			},
			wantLimited: true,
			wantLimit:   10,
		},
		{
			name: "the server is replaced",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.SetServer("i-2", started)
			},
		},
		{
			name: "the server starts again under its id",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.SetServer("i-1", restarted)
			},
		},
		{
			name: "an answer of the server before",
			apply: func(tracker *Tracker) {
				tracker.SetServer("i-2", restarted)
				tracker.Observe(limitOf(10))
			},
		},
		{
			name: "the same server again",
			apply: func(tracker *Tracker) {
				tracker.Observe(limitOf(10))
				tracker.SetServer("i-1", started)
			},
			wantLimited: true,
			wantLimit:   10,
		},
		{
			name:        "passed on by another node",
			apply:       func(tracker *Tracker) { tracker.Adopt(limitOf(10)) },
			wantLimited: true,
			wantLimit:   10,
		},
		{
			name: "two limits passed on",
			apply: func(tracker *Tracker) {
				tracker.Adopt(limitOf(10))
				tracker.Adopt(limitOf(20))
			},
			wantLimited: true,
			wantLimit:   10,
		},
		{
			name: "passed on, but the server names none",
			apply: func(tracker *Tracker) {
				tracker.Adopt(limitOf(10))
				tracker.Observe(silent)
				tracker.Adopt(limitOf(10))
			},
		},
		{
			name: "passed on, and not a number",
			apply: func(tracker *Tracker) {
				tracker.Adopt(limitOf(lagoonbarrow.RequestsPerSecond(math.NaN())))
				tracker.Adopt(limitOf(lagoonbarrow.RequestsPerSecond(math.Inf(1))))
				tracker.Adopt(limitOf(-1))
			},
		},
		{
			name: "passed on for the server before",
			apply: func(tracker *Tracker) {
				tracker.SetServer("i-1", restarted)
				tracker.Adopt(limitOf(10))
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.apply(f.tracker)
			if f.limited != test.wantLimited || f.limit != test.wantLimit {
				t.Errorf("limited %t to %g, want %t, %g", f.limited, f.limit, test.wantLimited, test.wantLimit)
			}
			current := f.tracker.Current()
			if current.Limited != test.wantLimited || current.Limit != test.wantLimit {
				t.Errorf("the tracker has %+v", current)
			}
		})
	}
}

// Guards against a server that leaves and is used on, whoever heard of it.
func TestLeavingIsReported(t *testing.T) {
	f := newFixture()
	leaving := silent
	leaving.Leaving = true
	f.tracker.Observe(leaving)
	f.tracker.Adopt(leaving)
	if len(f.left) != 2 || f.left[0] != "i-1" || f.left[1] != "i-1" {
		t.Errorf("reported %v", f.left)
	}
}

// Guards against a change of the limit that no log line shows, and against a server that
// fills the log with changes.
func TestChangesOfTheLimitAreRecorded(t *testing.T) {
	f := newFixture()
	for limit := range 100 {
		f.tracker.Observe(limitOf(lagoonbarrow.RequestsPerSecond(1 + limit)))
	}
	if len(f.details) != 1 || !strings.Contains(f.details[0], "server=i-1 limited=true limit=1") {
		t.Errorf("recorded %q", f.details)
	}
	if f.limit != 100 || math.IsNaN(float64(f.limit)) {
		t.Errorf("limit %g", f.limit)
	}
}
