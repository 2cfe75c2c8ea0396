package registration

import (
	"slices"
	"time"

	"lagoonbarrow"
)

const (
	// silentIntervals is the number of heartbeat intervals without a heartbeat after which a
	// server counts as gone, so that a run with an earlier start time may replace it.
	silentIntervals = 2
	// maxEarlier bounds the earlier runs that are kept.
	maxEarlier = 16
)

// heartbeatOrder is how a heartbeat relates to the present run of the server.
type heartbeatOrder int

const (
	// orderLate: an old heartbeat, or one of a run that has left.
	orderLate heartbeatOrder = iota
	// orderNewer: the heartbeat of the server that runs now.
	orderNewer
	// orderUnknown: the heartbeat of another run, which may be an older or a newer one. Start
	// times don't tell after the clock was set back.
	orderUnknown
)

// isSameRun reports whether both heartbeats were sent by the same run of a server.
func isSameRun(a, b lagoonbarrow.Heartbeat) bool {
	return a.ID == b.ID && a.Started.Equal(b.Started)
}

// order returns how a heartbeat relates to the present run. The caller holds the mutex.
func (r *Registration) order(heartbeat lagoonbarrow.Heartbeat) heartbeatOrder {
	if r.hasDeparted(heartbeat) {
		return orderLate
	}
	if isSameRun(heartbeat, r.latest) {
		return r.orderInRun(heartbeat)
	}
	if r.mayHaveLeft(heartbeat) {
		return r.orderBesideAll(heartbeat)
	}
	wasPresent := false
	for _, earlier := range r.earlier {
		if !isSameRun(heartbeat, earlier) {
			continue
		}
		if heartbeat.Sequence <= earlier.Sequence {
			return orderLate
		}
		wasPresent = true
	}
	if !wasPresent && r.startedLast(heartbeat) {
		return orderNewer
	}
	if !r.isGone() || r.needsConfirmation(heartbeat) && !r.isConfirmed(heartbeat, confirmations) {
		return orderUnknown
	}
	return orderNewer
}

// orderBesideAll returns the order of a heartbeat of a run that may be one of those that have left
// with their id, or the next one, whose clock was set back. Start times don't tell.
func (r *Registration) orderBesideAll(heartbeat lagoonbarrow.Heartbeat) heartbeatOrder {
	if r.isGone() && r.isConfirmed(heartbeat, r.candidate.needed()) {
		return orderNewer
	}
	return orderUnknown
}

// orderInRun returns the order of a heartbeat of the present run.
func (r *Registration) orderInRun(heartbeat lagoonbarrow.Heartbeat) heartbeatOrder {
	if r.hasLeft || heartbeat.Sequence <= r.latest.Sequence {
		return orderLate
	}
	return orderNewer
}

// startedLast reports whether a run has a later start time than the present one and than those
// that have left under its id, also than their leaving while late heartbeats may arrive: an
// earlier run has a later start time than they have if the clock was set back since. It has not if
// the present run of its id, which leaves, was heard of after that time: the clock was ahead then.
func (r *Registration) startedLast(heartbeat lagoonbarrow.Heartbeat) bool {
	for _, departed := range r.departed {
		if departed.Server != heartbeat.ID {
			continue
		}
		beforeItLeft := r.isRecent(departed.leftAt) && !heartbeat.Started.After(departed.LeftAt)
		if beforeItLeft || !heartbeat.Started.After(departed.Started) {
			return false
		}
	}
	if heartbeat.ID == r.latest.ID && r.server().Left && !heartbeat.Started.After(r.receivedAt) {
		return false
	}
	return r.latest.ID == "" || heartbeat.Started.After(r.latest.Started)
}

// isGone reports whether the present run is no longer heard of.
func (r *Registration) isGone() bool {
	silent := r.config.Now().Sub(r.receivedAt) > silentIntervals*r.heartbeatInterval
	return r.latest.ID == "" || r.hasLeft || r.unreachable || silent
}

// needsConfirmation reports whether a run of the same id leaves or has left not long ago. A
// late heartbeat would put that server back in use, as its id and address are the same.
func (r *Registration) needsConfirmation(heartbeat lagoonbarrow.Heartbeat) bool {
	if heartbeat.ID == r.latest.ID && r.server().Left && r.isRecent(r.receivedAt) {
		return true
	}
	return slices.ContainsFunc(r.departed, func(run departedRun) bool {
		return run.Server == heartbeat.ID && r.isRecent(run.leftAt)
	})
}

// isRecent reports whether heartbeats that were sent before a time may still arrive.
func (r *Registration) isRecent(at time.Time) bool {
	return r.config.Now().Sub(at) <= maxHeartbeatDelay
}

// replace makes a heartbeat of another run the latest one.
func (r *Registration) replace(heartbeat lagoonbarrow.Heartbeat) {
	r.config.Logger.Info("a backend server started", "server", heartbeat.ID, "started", heartbeat.Started,
		"before", r.latest.ID, "before-started", r.latest.Started, "slots", heartbeat.Slots)
	r.earlier = slices.DeleteFunc(r.earlier, func(earlier lagoonbarrow.Heartbeat) bool { return isSameRun(earlier, heartbeat) })
	if r.latest.ID != "" {
		r.earlier = append(r.earlier, r.latest)
	}
	if len(r.earlier) > maxEarlier {
		r.earlier = r.earlier[1:]
	}
	r.candidate = candidate{}
	r.hasLeft = false
}
