package placement

import (
	"time"

	"lagoonbarrow"
)

const (
	// limitLifetime is how long a limit is passed on without another answer that names it. The
	// node beside the server may have started again since.
	limitLifetime = 10 * time.Second
	// leavingLifetime is the same for a server that leaves, which may take many seconds.
	leavingLifetime = time.Minute
	// lateAnswerTime is how long answers of an earlier run of the server may still arrive. After
	// that a run with an earlier start time is a new one, whose clock was set back.
	lateAnswerTime = 3 * time.Second
)

// announced holds what the backend server of an instance has said about itself.
type announced struct {
	lagoonbarrow.Announcement
	// known is set once there was an announcement.
	known bool
	// limitAt and leavingAt are when the limit and the leaving were last heard of.
	limitAt   time.Time
	leavingAt time.Time
}

// observe processes the result of a call. An answer of the server without a limit, or with
// invalid numbers, ends an earlier one; that it leaves is final.
func (a *announced) observe(now time.Time, observed lagoonbarrow.Observation) {
	received := observed.Announcement
	if received == nil || !received.Valid() {
		a.Limited = a.Limited && !observed.Answered
		return
	}
	if a.known && received.Started.Before(a.Started) && now.Sub(a.limitAt) <= lateAnswerTime {
		return
	}
	if !a.IsFrom(received.Server, received.Started) {
		*a = announced{}
	}
	leaving := a.Leaving || received.Leaving
	if received.Leaving {
		a.leavingAt = now
	}
	a.Announcement = *received
	a.Leaving = leaving
	a.known = true
	a.limitAt = now
}

// toPassOn returns the announcement for the node beside the server, or nil.
func (a *announced) toPassOn(now time.Time) *lagoonbarrow.Announcement {
	passedOn := a.Announcement
	passedOn.Limited = a.Limited && now.Sub(a.limitAt) <= limitLifetime
	passedOn.Leaving = a.Leaving && now.Sub(a.leavingAt) <= leavingLifetime
	if !passedOn.Limited && !passedOn.Leaving {
		return nil
	}
	return &passedOn
}

// utilisation returns the fraction of the limit in use, with the requests that were sent
// since the last report.
func (a *announced) utilisation(now time.Time, startedSince int) float64 {
	if !a.Limited || now.Sub(a.limitAt) > maxReportAge {
		return 0
	}
	perSecond := max(1, float64(a.Limit))
	return a.Usage + float64(startedSince)/perSecond
}
