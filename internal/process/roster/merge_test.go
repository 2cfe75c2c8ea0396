package roster

import (
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lagoonbarrow"
)

// genRecord generates records of one instance. The fields have few values, so equal
// values are frequent.
func genRecord() gopter.Gen {
	return gen.Struct(reflect.TypeOf(wireRecord{}), map[string]gopter.Gen{
		"ID":          gen.Const(lagoonbarrow.InstanceID("instance-1")),
		"Service":     gen.OneConstOf(lagoonbarrow.ServiceName("minutes"), lagoonbarrow.ServiceName("registry")),
		"Zone":        gen.OneConstOf(lagoonbarrow.Zone("zone-1"), lagoonbarrow.Zone("zone-2")),
		"Peer":        gen.OneConstOf(lagoonbarrow.Address("10.0.0.1:1"), lagoonbarrow.Address("10.0.0.2:1")),
		"Slots":       gen.IntRange(1, 2),
		"Incarnation": gen.UInt64Range(1, 4).Map(func(n uint64) lagoonbarrow.Incarnation { return lagoonbarrow.Incarnation(n) }),
		"Phase":       gen.UInt8Range(0, uint8(phaseLeft)).Map(func(n uint8) phase { return phase(n) }),
		"Verdict":     gen.UInt8Range(0, uint8(verdictDead)).Map(func(n uint8) verdict { return verdict(n) }),
	}).Map(func(w wireRecord) record {
		r, _ := fromWire(w)
		return r
	})
}

// Guards against tables that differ permanently between nodes that received the same
// updates in different orders.
func TestMergeProperties(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("commutative", prop.ForAll(func(a, b record) bool {
		return mergeRecords(a, b) == mergeRecords(b, a)
	}, genRecord(), genRecord()))
	properties.Property("associative", prop.ForAll(func(a, b, c record) bool {
		return mergeRecords(a, mergeRecords(b, c)) == mergeRecords(mergeRecords(a, b), c)
	}, genRecord(), genRecord(), genRecord()))
	properties.Property("idempotent", prop.ForAll(func(a, b record) bool {
		merged := mergeRecords(a, b)
		return mergeRecords(merged, a) == merged && mergeRecords(merged, b) == merged
	}, genRecord(), genRecord()))
	properties.Property("higher incarnation wins", prop.ForAll(func(a, b record) bool {
		return mergeRecords(a, b).Status.Incarnation == max(a.Status.Incarnation, b.Status.Incarnation)
	}, genRecord(), genRecord()))
	properties.TestingRun(t)
}

// Guards against bucket hashes, parts or a service index that no longer match the
// members. The digest exchange would then miss differences.
func TestTableStaysConsistent(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("consistent", prop.ForAll(func(list []record) bool {
		r := unstarted(t)
		for i, entry := range list {
			entry.Instance.ID = testInstance(i%3, 1).ID
			r.applyRecord(entry, fromTrusted)
		}
		r.removeExpired(time.Now().Add(2 * DefaultDeadRetention))
		return isConsistent(r.table)
	}, gen.SliceOf(genRecord())))
	properties.TestingRun(t)
}

// isConsistent compares the derived data of the table with a new computation.
func isConsistent(t *table) bool {
	var hashes [buckets]uint64
	live, ready, listed := 0, 0, 0
	for ref, m := range t.members {
		hashes[bucketOf(ref)] ^= hashOf(ref, m.Status)
		if m.Status.live() {
			live++
		}
		if m.Status.live() && m.Status.Phase == phaseReady {
			ready++
		}
		if m.Status.Phase != phaseLeft {
			listed++
		}
	}
	for service := range *t.index.Load() {
		ready -= len(t.instances(service))
	}
	for key, p := range t.parts {
		listed -= len(p.members)
		for _, m := range p.members {
			if partOf(m.Instance.Zone, m.ref) != key {
				return false
			}
		}
	}
	return hashes == t.hashes && live == t.live && ready == 0 && listed == 0
}

// Guards against a source that changes more, or less, than it is trusted with.
func TestWeakenDeathClaim(t *testing.T) {
	ready := status{
		Incarnation: 5,
		Phase:       phaseReady,
	}
	dead := status{
		Incarnation: 5,
		Phase:       phaseReady,
		Verdict:     verdictDead,
	}
	suspect := status{
		Incarnation: 5,
		Phase:       phaseReady,
		Verdict:     verdictSuspect,
	}
	tests := []struct {
		name         string
		known, claim status
		source       claimSource
		want         status
		verify       bool
	}{
		{
			name:   "own timer",
			known:  suspect,
			claim:  dead,
			source: fromProbe,
			want:   dead,
		},
		{
			name:   "a join's table only causes a probe",
			known:  ready,
			claim:  dead,
			source: fromJoin,
			want:   ready,
			verify: true,
		},
		{
			name:   "trusted peer only causes suspicion",
			known:  ready,
			claim:  dead,
			source: fromTrusted,
			want:   suspect,
		},
		{
			name:   "untrusted peer only causes a probe",
			known:  ready,
			claim:  dead,
			source: fromUntrusted,
			want:   ready,
			verify: true,
		},
		{
			name: "old claim is not weakened",
			known: status{
				Incarnation: 6,
			},
			claim:  dead,
			source: fromUntrusted,
			want:   dead,
		},
		{
			name:   "suspicion is accepted from any source",
			known:  ready,
			claim:  suspect,
			source: fromUntrusted,
			want:   suspect,
		},
	}
	for _, test := range tests {
		got, verify := weakenDeathClaim(test.known, test.claim, test.source)
		if got != test.want || verify != test.verify {
			t.Errorf("%s: %+v, %v", test.name, got, verify)
		}
	}
}

// Guards against a process that was paused itself and then declares suspects dead,
// although its sockets may hold their refutations.
func TestPausedProcessExtendsSuspicions(t *testing.T) {
	r := unstarted(t)
	other, _ := fromWire(sampleRecord(1))
	other.Status.Verdict = verdictSuspect
	r.applyRecord(other, fromTrusted)
	later := time.Now().Add(time.Hour)
	r.expireSuspicions(t.Context(), later, time.Hour)
	if seen, _ := r.Lookup(other.Instance.ID); seen.State != lagoonbarrow.StateSuspect {
		t.Fatalf("state %v right after a pause", seen.State)
	}
	r.expireSuspicions(t.Context(), later.Add(time.Minute), time.Second)
	if seen, _ := r.Lookup(other.Instance.ID); seen.State != lagoonbarrow.StateDead {
		t.Errorf("state %v after the suspicion time", seen.State)
	}
}
