package registration

import (
	"slices"
	"time"

	"lagoonbarrow"
)

// departedRun is a run that leaves or has left.
type departedRun struct {
	lagoonbarrow.Departure
	// leftAt is when it has left, as far as that can be told. LeftAt doesn't tell if the clock
	// was set back since, or was ahead at the start of the run.
	leftAt time.Time
}

// Leave marks all known runs of the server with this id as having left, and returns the
// departure of the present one.
func (r *Registration) Leave(id lagoonbarrow.ServerID) lagoonbarrow.Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config.Logger.Info("a backend server left", "server", id, "present", r.latest.ID)
	departed := lagoonbarrow.Departure{
		Server:  id,
		LeftAt:  r.lastStart(id),
		AllRuns: true,
	}
	for _, run := range r.runsOf(id) {
		departed.Started = run.Started
		r.addDeparture(departed)
	}
	// The present run comes last, if it is one of this server.
	r.depart(departed, "leave")
	return departed
}

// runsOf returns the last heartbeats of the known runs of a server, the present one at the end.
func (r *Registration) runsOf(id lagoonbarrow.ServerID) []lagoonbarrow.Heartbeat {
	runs := append(slices.Clone(r.earlier), r.candidate.heartbeat, r.latest)
	return slices.DeleteFunc(runs, func(run lagoonbarrow.Heartbeat) bool { return run.ID != id })
}

// lastStart returns the time up to which the runs of a server that leaves now have started. It
// is later than now if the clock was ahead at the start of one of them.
func (r *Registration) lastStart(id lagoonbarrow.ServerID) time.Time {
	now := r.config.Now()
	last := now
	for _, run := range r.runsOf(id) {
		if run.Started.After(last) && run.Started.Sub(now) <= maxHeartbeatDelay {
			last = run.Started
		}
	}
	return last
}

// RestoreDeparture marks a server as having left, as an earlier process of this node has
// recorded it.
func (r *Registration) RestoreDeparture(departed lagoonbarrow.Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isKnownDeparture(departed) {
		return
	}
	r.config.Logger.Info("a backend server had left before this process started", "server", departed.Server, "started", departed.Started, "present", r.latest.ID)
	r.depart(departed, "left before the start")
}

// MarkLeaving marks the server with this id and start time as having left, as one of its
// answers says. Other nodes repeat it, so it may be called again.
func (r *Registration) MarkLeaving(id lagoonbarrow.ServerID, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	departed := lagoonbarrow.Departure{
		Server:  id,
		Started: started,
		LeftAt:  r.config.Now(),
	}
	if r.isKnownDeparture(departed) {
		return
	}
	r.config.Logger.Info("a backend server says that it leaves", "server", id, "started", started, "present", r.latest.ID)
	r.depart(departed, "answer")
}

// isKnownDeparture reports whether a departure says nothing new. The caller holds the mutex.
func (r *Registration) isKnownDeparture(departed lagoonbarrow.Departure) bool {
	return slices.ContainsFunc(r.departed, func(known departedRun) bool { return known.States(departed) })
}

// depart adds a departed run, which may be the present one. The caller holds the mutex.
func (r *Registration) depart(departed lagoonbarrow.Departure, cause string) {
	run := r.addDeparture(departed)
	switch {
	case r.latest.ID == "":
	case departed.Server != r.latest.ID:
		return
	case r.hasDeparted(r.latest):
		r.hasLeft = true
	case r.mayInclude(run, r.latest), r.mayPrecede(departed):
		r.demote()
	default:
		return
	}
	r.publish(cause)
}

// addDeparture remembers a departed run and returns it. The caller holds the mutex.
func (r *Registration) addDeparture(departed lagoonbarrow.Departure) departedRun {
	run := departedRun{
		Departure: departed,
		leftAt:    r.pastTime(departed.LeftAt),
	}
	r.departed = slices.DeleteFunc(r.departed, func(known departedRun) bool { return departed.States(known.Departure) })
	r.departed = append(r.departed, run)
	if len(r.departed) > maxDeparted {
		r.departed = r.departed[1:]
	}
	return run
}

// pastTime returns a time in the past, or now for a time in the future. The result has now's
// monotonic clock, so that later steps of the wall clock don't change its age.
func (r *Registration) pastTime(at time.Time) time.Time {
	now := r.config.Now()
	return now.Add(-max(0, now.Sub(at)))
}

// allLeftAt returns when the server with this id has left with all of its runs, or the zero
// time.
func (r *Registration) allLeftAt(id lagoonbarrow.ServerID) time.Time {
	for _, departed := range slices.Backward(r.departed) {
		if departed.Server == id && departed.AllRuns {
			return departed.LeftAt
		}
	}
	return time.Time{}
}

// mayPrecede reports whether the present run may be an earlier one than a run that has left
// under its id. It is not if it has followed that run here.
func (r *Registration) mayPrecede(departed lagoonbarrow.Departure) bool {
	if r.latest.Started.After(departed.Started) {
		return false
	}
	return !slices.ContainsFunc(r.earlier, func(earlier lagoonbarrow.Heartbeat) bool {
		return earlier.ID == departed.Server && earlier.Started.Equal(departed.Started)
	})
}

// demote makes the present run a candidate, as a departure of another run under its id became
// known that may be later.
func (r *Registration) demote() {
	r.config.Logger.Info("the present run of the server has to be confirmed", "server", r.latest.ID, "started", r.latest.Started)
	r.candidate = newCandidate(r.latest, r.receivedAt)
	r.latest = lagoonbarrow.Heartbeat{}
}

// hasDeparted reports whether a heartbeat was sent by a run that is known to have left.
func (r *Registration) hasDeparted(heartbeat lagoonbarrow.Heartbeat) bool {
	return slices.ContainsFunc(r.departed, func(run departedRun) bool {
		return run.Server == heartbeat.ID && run.Started.Equal(heartbeat.Started)
	})
}

// mayHaveLeft reports whether a heartbeat may have been sent by a run that has left with its id
// alone. The node may never have heard of that run, and its late heartbeats may still arrive.
func (r *Registration) mayHaveLeft(heartbeat lagoonbarrow.Heartbeat) bool {
	return slices.ContainsFunc(r.departed, func(run departedRun) bool { return r.mayInclude(run, heartbeat) })
}

// mayInclude reports whether the run that has sent a heartbeat may be one of all those that have
// left with their id alone.
func (r *Registration) mayInclude(departed departedRun, heartbeat lagoonbarrow.Heartbeat) bool {
	return departed.AllRuns && departed.Server == heartbeat.ID && r.isRecent(departed.leftAt) && !heartbeat.Started.After(departed.LeftAt)
}
