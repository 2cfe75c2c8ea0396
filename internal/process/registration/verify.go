package registration

import "lagoonbarrow"

// Verdict is what a backend server says about itself when it is asked.
type Verdict int

const (
	// VerdictUnknown means that the server gave no useful answer. Its heartbeat decides.
	VerdictUnknown Verdict = iota
	// VerdictServes means that the server takes requests.
	VerdictServes
	// VerdictLeaves means that the server leaves, or is not well.
	VerdictLeaves
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case VerdictServes:
		return "serves"
	case VerdictLeaves:
		return "leaves"
	default:
		return "unknown"
	}
}

// verification is the state of the question to the first server of a process. Nothing that an
// earlier process knew may be left, and its first heartbeat may be late.
type verification struct {
	// done is set once the server has not answered that it leaves.
	done bool
	// running is set while an answer is awaited.
	running bool
}

// verify asks the present server whether it leaves, unless an earlier heartbeat has led to an
// answer. Each heartbeat asks again. The caller holds the mutex.
func (r *Registration) verify() {
	if r.verification.done || r.verification.running || r.hasLeft || r.latest.State != lagoonbarrow.ServerReady {
		return
	}
	r.verification.running = true
	asked := r.latest
	r.config.Verify(asked.ID, func(verdict Verdict) { r.recordVerdict(asked, verdict) })
}

// recordVerdict processes the answer of the server that has sent a heartbeat.
func (r *Registration) recordVerdict(asked lagoonbarrow.Heartbeat, verdict Verdict) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.verification.running = false
	if !isSameRun(asked, r.latest) {
		return
	}
	if verdict == VerdictLeaves {
		r.config.Logger.Warn("a server is not used, as it answers that it leaves or is not well", "server", asked.ID, "started", asked.Started, "sequence", asked.Sequence)
		return
	}
	r.verification.done = true
	r.publish("verified")
}
