package roster

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// phase is the state that an instance reports about itself. Each change raises
// the incarnation.
type phase uint8

const (
	phaseStarting phase = iota
	phaseReady
	phaseLeaving
	phaseLeft
)

// verdict is what other instances conclude about an instance from probes.
type verdict uint8

const (
	verdictAlive verdict = iota
	verdictSuspect
	verdictDead
)

// counterBits is the number of low bits of an incarnation that count the changes
// of one process. The bits above are its epoch: the start time in milliseconds
// since epochStart, or the epoch of the previous process's row plus one if that
// is later. The start time keeps epochs in order when a graceful leave has
// removed the row.
const counterBits = 20

var epochStart = time.Date(2025, time.January, 1, 0, 0, 0, 0, time.UTC)

func epochOf(incarnation lagoonbarrow.Incarnation) uint64 {
	return uint64(incarnation) >> counterBits
}

func counterOf(incarnation lagoonbarrow.Incarnation) uint64 {
	return uint64(incarnation) & (1<<counterBits - 1)
}

func firstIncarnation(epoch uint64) lagoonbarrow.Incarnation {
	return lagoonbarrow.Incarnation(epoch << counterBits)
}

func epochAt(now time.Time) uint64 {
	return uint64(max(now.Sub(epochStart).Milliseconds(), 1))
}

// reference identifies an instance in messages. It is a hash of the instance id.
type reference uint64

func referenceOf(id lagoonbarrow.InstanceID) reference {
	return reference(xxhash.Sum64String(string(id)))
}

// status is the part of a record that changes while a process runs.
type status struct {
	Incarnation lagoonbarrow.Incarnation
	Phase       phase
	Verdict     verdict
}

// compare orders statuses of one instance; the greater one wins a merge.
func (s status) compare(other status) int {
	return cmp.Or(
		cmp.Compare(s.Incarnation, other.Incarnation),
		cmp.Compare(s.Verdict, other.Verdict),
		cmp.Compare(s.Phase, other.Phase),
	)
}

// live reports whether the instance is neither dead nor left.
func (s status) live() bool {
	return s.Verdict != verdictDead && s.Phase != phaseLeft
}

// state converts the status for other packages. A suspect instance is reported
// as suspect only if it was ready, because suspect instances still receive work.
func (s status) state() lagoonbarrow.InstanceState {
	switch {
	case s.Phase == phaseLeft:
		return lagoonbarrow.StateLeft
	case s.Verdict == verdictDead:
		return lagoonbarrow.StateDead
	case s.Phase == phaseLeaving:
		return lagoonbarrow.StateLeaving
	case s.Phase == phaseStarting:
		return lagoonbarrow.StateStarting
	case s.Verdict == verdictSuspect:
		return lagoonbarrow.StateSuspect
	default:
		return lagoonbarrow.StateReady
	}
}

// statusOf is the inverse of state, for records that come from other packages.
func statusOf(instance lagoonbarrow.Instance) status {
	result := status{
		Incarnation: instance.Incarnation,
	}
	switch instance.State {
	case lagoonbarrow.StateReady:
		result.Phase = phaseReady
	case lagoonbarrow.StateSuspect:
		result.Phase = phaseReady
		result.Verdict = verdictSuspect
	case lagoonbarrow.StateLeaving:
		result.Phase = phaseLeaving
	case lagoonbarrow.StateLeft:
		result.Phase = phaseLeft
	case lagoonbarrow.StateDead:
		result.Verdict = verdictDead
	default:
	}
	return result
}

// record is the part of a member that nodes exchange.
type record struct {
	Instance lagoonbarrow.Instance
	Status   status
	// deadFor is how long a dead instance has been dead. It is set only in a join.
	deadFor time.Duration
}

// mergeRecords returns the greater of two records of one instance. The order
// is total, so merging is commutative, associative and idempotent.
func mergeRecords(a, b record) record {
	if compareRecords(a, b) >= 0 {
		return a
	}
	return b
}

func compareRecords(a, b record) int {
	x, y := &a.Instance, &b.Instance
	return cmp.Or(
		a.Status.compare(b.Status),
		cmp.Compare(x.Service, y.Service),
		cmp.Compare(x.Zone, y.Zone),
		cmp.Compare(x.Region, y.Region),
		cmp.Compare(x.Peer, y.Peer),
		cmp.Compare(x.Admin, y.Admin),
		cmp.Compare(x.Slots, y.Slots),
	)
}
