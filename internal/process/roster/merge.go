package roster

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// claimSource is where a claim about a member comes from. It determines how far
// the claim is trusted.
type claimSource uint8

const (
	// fromSelf is the member itself.
	fromSelf claimSource = iota
	// fromProbe is this node's own probes and suspicion timers.
	fromProbe
	// fromTrusted is a peer that has been alive in this table for minTrustedAge.
	fromTrusted
	// fromUntrusted is a peer that was unknown or dead in this table until recently.
	fromUntrusted
	// fromJoin is the table of the peer that this node joined through.
	fromJoin
)

// minTrustedAge is how long a peer must have been alive in this table before its
// claims that others are dead lead to suspicion. After a partition between regions
// each side lists the other's members as dead. Accepting these claims would make all
// members suspect on their own side at the same time. The value exceeds the time that
// the repair after a partition takes.
const minTrustedAge = 10 * time.Minute

func (r *Roster) sourceFor(from lagoonbarrow.InstanceID) claimSource {
	ref := referenceOf(from)
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	m, found := r.table.members[ref]
	if !found || m.Status.Verdict == verdictDead || time.Since(m.aliveSince) < minTrustedAge {
		return fromUntrusted
	}
	return fromTrusted
}

// applyRecord merges a full record and reports whether the table changed.
func (r *Roster) applyRecord(incoming record, source claimSource) bool {
	ref := referenceOf(incoming.Instance.ID)
	if ref == r.selfRef {
		r.handleSelfClaim(incoming.Status)
		return false
	}
	r.table.mutex.Lock()
	m, found := r.table.members[ref]
	if !found {
		accepted := r.insert(ref, incoming, source)
		r.table.mutex.Unlock()
		if accepted {
			r.publishChange(ref, incoming, status{}, false, source, true)
		}
		return accepted
	}
	before := m.record
	if m.Instance.ID != incoming.Instance.ID {
		// Two ids have the same 64-bit hash. The first instance keeps its entry.
		r.table.mutex.Unlock()
		return false
	}
	claim, verify := weakenDeathClaim(before.Status, incoming.Status, source)
	incoming = newRecord(incoming.Instance, claim)
	merged := mergeRecords(before, incoming)
	changed := compareRecords(merged, before) > 0
	newProcess := changed && epochOf(merged.Status.Incarnation) != epochOf(before.Status.Incarnation)
	if changed {
		r.table.set(m, r.internRecord(merged), time.Now())
	}
	r.table.mutex.Unlock()
	if verify {
		r.scheduleVerification(ref)
	}
	if changed {
		r.publishChange(ref, merged, before.Status, true, source, newProcess)
	}
	return changed
}

// insert adds an unknown member and reports whether it did. Dead and left members
// are not added. Nodes remove them at different times and would otherwise return
// them to each other forever. Only a join adds dead members, with the time
// that they have been dead. The caller holds the table's mutex.
func (r *Roster) insert(ref reference, incoming record, source claimSource) bool {
	if !incoming.Status.live() && (source != fromJoin || incoming.Status.Phase == phaseLeft) {
		return false
	}
	m := &member{
		ref: ref,
	}
	r.table.set(m, r.internRecord(incoming), time.Now())
	if source == fromJoin {
		m.aliveSince = time.Time{}
		m.changedAt = m.changedAt.Add(-incoming.deadFor)
	}
	return true
}

// applyStatus merges a status. known is false if this table lacks the full record.
func (r *Roster) applyStatus(ref reference, incoming status, source claimSource) (known bool) {
	if ref == r.selfRef {
		r.handleSelfClaim(incoming)
		return true
	}
	r.table.mutex.Lock()
	m, found := r.table.members[ref]
	if !found {
		r.table.mutex.Unlock()
		return !incoming.live()
	}
	before := m.record
	if epochOf(incoming.Incarnation) > epochOf(before.Status.Incarnation) {
		// This status belongs to a newer process, whose addresses may differ.
		r.table.mutex.Unlock()
		return false
	}
	claim, verify := weakenDeathClaim(before.Status, incoming, source)
	changed := claim.compare(before.Status) > 0
	after := newRecord(before.Instance, claim)
	if changed {
		r.table.set(m, after, time.Now())
	}
	r.table.mutex.Unlock()
	if verify {
		r.scheduleVerification(ref)
	}
	if changed {
		r.publishChange(ref, after, before.Status, true, source, false)
	}
	return true
}

// weakenDeathClaim weakens a claim that a member is dead. Only this node's own
// suspicion timer declares a known member dead, so the member always has the
// suspicion time for its refutation. A table read in a join may come from a node
// that was cut off, so it is not trusted either. If verify is true, the caller has
// the member probed.
func weakenDeathClaim(known, claim status, source claimSource) (result status, verify bool) {
	if claim.Verdict != verdictDead || source == fromProbe {
		return claim, false
	}
	if claim.compare(known) <= 0 {
		return claim, false
	}
	if known.Verdict == verdictDead {
		return claim, false
	}
	if source == fromUntrusted || source == fromJoin {
		return known, true
	}
	claim.Verdict = verdictSuspect
	return claim, false
}

// handleSelfClaim refutes a claim about this node with a higher incarnation. A
// claim of a live process with a later epoch means that this process was replaced.
// Before this node is ready, such a claim can instead come from an earlier process
// whose clock was ahead and whose row is gone, so it is refuted too.
func (r *Roster) handleSelfClaim(claim status) {
	r.table.mutex.Lock()
	m := r.table.members[r.selfRef]
	own := m.Status
	if own.Incarnation == 0 || r.superseded || claim.compare(own) <= 0 {
		r.table.mutex.Unlock()
		return
	}
	later := epochOf(claim.Incarnation) > epochOf(own.Incarnation)
	if later && claim.live() && r.ready.Load() {
		r.superseded = true
		r.table.mutex.Unlock()
		r.config.Logger.Error("another process with this instance id has a later incarnation; no longer announcing this node")
		r.config.OnSuperseded()
		return
	}
	next := own
	next.Verdict = verdictAlive
	next.Incarnation = max(own.Incarnation, claim.Incarnation) + 1
	r.table.set(m, newRecord(m.Instance, next), time.Now())
	r.table.mutex.Unlock()
	r.queue.add(r.selfRef, later)
	r.metrics.refutations.Inc(1)
	r.config.Recorder.Record(event.MemberRefuted, event.Fields{
		Detail: verdictNames[claim.Verdict],
	})
	if claim.Verdict == verdictDead {
		r.requestRowRestore()
	}
}

var verdictNames = [...]string{"alive", "suspect", "dead"}

// publishChange queues a change of the table for gossip and records its event.
// newProcess is set if the whole record has to be sent.
func (r *Roster) publishChange(ref reference, after record, before status, known bool, source claimSource, newProcess bool) {
	if source == fromJoin {
		return
	}
	r.queue.add(ref, newProcess)
	kind, reported := changeEvent(after.Status, before, known && !newProcess)
	if !reported {
		return
	}
	r.events.record(kind, event.Fields{
		Peer: string(after.Instance.ID),
	})
}

func changeEvent(after, before status, known bool) (event.Kind, bool) {
	switch {
	case after.Phase == phaseLeft:
		return event.MemberLeft, before.Phase != phaseLeft
	case after.Verdict == verdictDead:
		return event.MemberDead, before.Verdict != verdictDead
	case after.Verdict == verdictSuspect:
		return event.MemberSuspect, before.Verdict != verdictSuspect
	case after.Phase == phaseLeaving:
		return event.MemberLeaving, before.Phase != phaseLeaving
	case !known || before.Verdict == verdictDead || before.Phase == phaseLeft:
		return event.MemberJoined, true
	default:
		return event.Kind{}, false
	}
}

// internRecord replaces strings that many records have in common by shared copies,
// which saves about 100 bytes a member. The caller holds the mutex.
func (r *Roster) internRecord(from record) record {
	i := &from.Instance
	i.Service = lagoonbarrow.ServiceName(r.internName(string(i.Service)))
	i.Zone = lagoonbarrow.Zone(r.internName(string(i.Zone)))
	i.Region = lagoonbarrow.Region(r.internName(string(i.Region)))
	return from
}

func (r *Roster) internName(value string) string {
	if known, found := r.internedNames[value]; found {
		return known
	}
	r.internedNames[value] = value
	return value
}

// Merge merges a record that another part of the process received, such as the
// instance in a connection's hello.
func (r *Roster) Merge(instance lagoonbarrow.Instance) {
	if instance.ID == "" || instance.Peer == "" {
		return
	}
	r.applyRecord(newRecord(instance, statusOf(instance)), fromUntrusted)
}
