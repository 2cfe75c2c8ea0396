package roster

import (
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// evidence is where a claim about a member comes from.
type evidence uint8

const (
	// fromSelf: the member's own message.
	fromSelf evidence = iota
	// fromProbe: this node's own probes and suspicion timers.
	fromProbe
	// fromTrusted: a peer that has been alive here for a while.
	fromTrusted
	// fromStranger: a peer that was unknown or dead here until recently.
	fromStranger
	// fromJoin: the table of the peer that this node joined through.
	fromJoin
)

// trustAge is how long a peer must have been alive here before its claims that
// others are dead lead to suspicion. After regions were apart each side holds
// the other's members dead; adopting these claims would make every member
// suspect at once on its own side. It exceeds the time such a repair takes.
const trustAge = 10 * time.Minute

func (r *Roster) evidenceOf(from lagoonbarrow.InstanceID) evidence {
	ref := referenceOf(from)
	r.table.mutex.RLock()
	defer r.table.mutex.RUnlock()
	m, found := r.table.members[ref]
	if !found || m.Status.Verdict == verdictDead || time.Since(m.returned) < trustAge {
		return fromStranger
	}
	return fromTrusted
}

// applyRecord merges a full record and reports whether it changed the table.
func (r *Roster) applyRecord(incoming record, how evidence) bool {
	ref := referenceOf(incoming.Instance.ID)
	if ref == r.selfRef {
		r.hearOfSelf(incoming.Status)
		return false
	}
	r.table.mutex.Lock()
	m, found := r.table.members[ref]
	if !found {
		accepted := r.insert(ref, incoming, how)
		r.table.mutex.Unlock()
		if accepted {
			r.noteChange(ref, incoming, status{}, false, how, true)
		}
		return accepted
	}
	before := m.record
	if m.Instance.ID != incoming.Instance.ID {
		// A collision of 64-bit hashes; the first instance keeps its place.
		r.table.mutex.Unlock()
		return false
	}
	claim, check := clamp(before.Status, incoming.Status, how)
	incoming = newRecord(incoming.Instance, claim)
	merged := mergeRecords(before, incoming)
	changed := compareRecords(merged, before) > 0
	newProcess := changed && epochOf(merged.Status.Incarnation) != epochOf(before.Status.Incarnation)
	if changed {
		r.table.set(m, r.intern(merged), time.Now())
	}
	r.table.mutex.Unlock()
	if check {
		r.verify(ref)
	}
	if changed {
		r.noteChange(ref, merged, before.Status, true, how, newProcess)
	}
	return changed
}

// insert adds an unknown member. Dead and left members are not added, because
// nodes that forgot them at different times would return them to each other
// for ever. Only a join adds dead members, with the age they have. The caller
// holds the table's mutex.
func (r *Roster) insert(ref reference, incoming record, how evidence) bool {
	if !incoming.Status.live() && (how != fromJoin || incoming.Status.Phase == phaseLeft) {
		return false
	}
	m := &member{
		ref: ref,
	}
	r.table.set(m, r.intern(incoming), time.Now())
	if how == fromJoin {
		m.returned = time.Time{}
		m.changed = m.changed.Add(-incoming.deadFor)
	}
	return true
}

// applyStatus merges a status. known is false if the full record is missing.
func (r *Roster) applyStatus(ref reference, incoming status, how evidence) (known bool) {
	if ref == r.selfRef {
		r.hearOfSelf(incoming)
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
		// Another process; its addresses may differ from the known record's.
		r.table.mutex.Unlock()
		return false
	}
	claim, check := clamp(before.Status, incoming, how)
	changed := claim.compare(before.Status) > 0
	after := newRecord(before.Instance, claim)
	if changed {
		r.table.set(m, after, time.Now())
	}
	r.table.mutex.Unlock()
	if check {
		r.verify(ref)
	}
	if changed {
		r.noteChange(ref, after, before.Status, true, how, false)
	}
	return true
}

// clamp weakens a claim that a member is dead. Only this node's own suspicion
// timer makes a known member dead, so that the member always has the suspicion
// time for its refutation. A table that is read in a join may come from a node
// that was cut off, so it counts as a stranger's. check asks for a probe.
func clamp(known, claim status, how evidence) (result status, check bool) {
	if claim.Verdict != verdictDead || how == fromProbe {
		return claim, false
	}
	if claim.compare(known) <= 0 {
		return claim, false
	}
	if known.Verdict == verdictDead {
		return claim, false
	}
	if how == fromStranger || how == fromJoin {
		return known, true
	}
	claim.Verdict = verdictSuspect
	return claim, false
}

// hearOfSelf answers a claim about this node with a higher incarnation. A live
// process with a later epoch has replaced this one. Only before this node is
// ready can it be the trace of an earlier process, whose clock was ahead and
// whose row is gone.
func (r *Roster) hearOfSelf(claim status) {
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
	r.scope.refutations.Inc(1)
	r.config.Recorder.Record(event.MemberRefuted, event.Fields{
		Detail: verdictNames[claim.Verdict],
	})
	if claim.Verdict == verdictDead {
		r.restoreRow()
	}
}

var verdictNames = [...]string{"alive", "suspect", "dead"}

// noteChange spreads and records a change of the table.
// full is set for a new process, whose whole record is news.
func (r *Roster) noteChange(ref reference, after record, before status, known bool, how evidence, full bool) {
	if how == fromJoin {
		return
	}
	r.queue.add(ref, full)
	kind, report := changeKind(after.Status, before, known && !full)
	if !report {
		return
	}
	r.events.record(kind, event.Fields{
		Peer: string(after.Instance.ID),
	})
}

func changeKind(after, before status, known bool) (event.Kind, bool) {
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

// intern shares the strings that many records have in common, which saves
// about 100 bytes a member. The caller holds the mutex.
func (r *Roster) intern(from record) record {
	i := &from.Instance
	i.Service = lagoonbarrow.ServiceName(r.shared(string(i.Service)))
	i.Zone = lagoonbarrow.Zone(r.shared(string(i.Zone)))
	i.Region = lagoonbarrow.Region(r.shared(string(i.Region)))
	return from
}

func (r *Roster) shared(value string) string {
	if known, found := r.strings[value]; found {
		return known
	}
	r.strings[value] = value
	return value
}

// Merge takes over a record that another part of the process learned, such as
// the instance named in a connection's greeting.
func (r *Roster) Merge(instance lagoonbarrow.Instance) {
	if instance.ID == "" || instance.Peer == "" {
		return
	}
	r.applyRecord(newRecord(instance, statusOf(instance)), fromStranger)
}
