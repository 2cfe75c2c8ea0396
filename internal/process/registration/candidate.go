package registration

import (
	"time"

	"lagoonbarrow"
)

const (
	// confirmations is the number of heartbeats that confirm a run beside a leaving of its id, if
	// the leaving names its run.
	confirmations = 2
	// servingConfirmations is the number beside a leaving that names the id alone, if the server
	// answers that it serves. A server that has left answers otherwise, or not at all. It is
	// asked after two heartbeats, when the run before has had time to state that it leaves.
	servingConfirmations = 3
	// silentConfirmations is the number if it gives no useful answer. All of them would have to be
	// late, and arrive in their order, if they were of a run that has left.
	silentConfirmations = 5
)

// candidate is a run whose order is not known. It becomes the present one once it is confirmed.
type candidate struct {
	// heartbeat is the last one that counts, received at receivedAt. Its ID is empty if there is
	// no candidate.
	heartbeat  lagoonbarrow.Heartbeat
	receivedAt time.Time
	// count is the number of heartbeats that count: in their order, and at least half an interval
	// apart, as a run that has ended sends no more.
	count int
	// verdict is the server's last answer, and asking is set while one is awaited.
	verdict Verdict
	asking  bool
}

// newCandidate returns the candidate after its first heartbeat.
func newCandidate(heartbeat lagoonbarrow.Heartbeat, receivedAt time.Time) candidate {
	return candidate{
		heartbeat:  heartbeat,
		receivedAt: receivedAt,
		count:      1,
	}
}

// counts reports whether a heartbeat that is received now is one more that counts.
func (c candidate) counts(heartbeat lagoonbarrow.Heartbeat, now time.Time, interval time.Duration) bool {
	return isSameRun(heartbeat, c.heartbeat) && heartbeat.Sequence > c.heartbeat.Sequence && now.Sub(c.receivedAt) >= interval/2
}

// needed returns the number of heartbeats that confirm the run beside a leaving that names the id
// alone, or 0 if none do.
func (c candidate) needed() int {
	switch c.verdict {
	case VerdictServes:
		return servingConfirmations
	case VerdictLeaves:
		return 0
	default:
		return silentConfirmations
	}
}

// isConfirmed reports whether the heartbeat that is received now is the last one needed to confirm
// its run.
func (r *Registration) isConfirmed(heartbeat lagoonbarrow.Heartbeat, needed int) bool {
	return r.candidate.counts(heartbeat, r.config.Now(), r.heartbeatInterval) && needed > 0 && r.candidate.count+1 >= needed
}

// setCandidate counts a heartbeat of a run whose order is not known, and asks the server if its
// answer may confirm it.
func (r *Registration) setCandidate(heartbeat lagoonbarrow.Heartbeat) {
	now := r.config.Now()
	if !isSameRun(heartbeat, r.candidate.heartbeat) || !r.isRecent(r.candidate.receivedAt) {
		r.candidate = newCandidate(heartbeat, now)
		return
	}
	if r.candidate.counts(heartbeat, now, r.heartbeatInterval) {
		r.candidate.heartbeat = heartbeat
		r.candidate.receivedAt = now
		r.candidate.count++
	}
	if r.mayHaveLeft(heartbeat) {
		r.askCandidate()
	}
}

// askCandidate asks the server of the candidate whether it leaves. Each heartbeat asks again
// until the server answers that it serves.
func (r *Registration) askCandidate() {
	c := &r.candidate
	if r.config.Verify == nil || c.asking || c.verdict == VerdictServes || c.count < servingConfirmations-1 {
		return
	}
	c.asking = true
	asked := c.heartbeat
	r.config.Verify(asked.ID, func(verdict Verdict) { r.recordCandidateVerdict(asked, verdict) })
}

// recordCandidateVerdict processes the answer of the server of a candidate.
func (r *Registration) recordCandidateVerdict(asked lagoonbarrow.Heartbeat, verdict Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isSameRun(asked, r.candidate.heartbeat) {
		return
	}
	r.candidate.asking = false
	r.candidate.verdict = verdict
}
