package roster

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
	"github.com/vmihailenco/msgpack/v5"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// nullTransport is a transport without peers.
type nullTransport struct{}

func (nullTransport) Call(context.Context, lagoonbarrow.Instance, *lagoonbarrow.Call) (*lagoonbarrow.Answer, error) {
	return nil, lagoonbarrow.ErrNotSent
}

func (nullTransport) Send(context.Context, lagoonbarrow.Address, lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	return lagoonbarrow.Message{}, lagoonbarrow.ErrNotSent
}

func (nullTransport) Broadcast(context.Context, lagoonbarrow.Message) {}

type nullRecorder struct{}

func (nullRecorder) Record(event.Kind, event.Fields) {}

// unstarted returns a roster of instance 0 that has an incarnation but was not
// started.
func unstarted(t testing.TB) *Roster {
	return unstartedAs(t, testInstance(0, 5))
}

func unstartedAs(t testing.TB, self lagoonbarrow.Instance) *Roster {
	r, err := New(Config{
		Self:      self,
		Table:     &fakeTable{},
		Transport: nullTransport{},
		Recorder:  nullRecorder{},
		Scope:     tally.NoopScope,
	})
	if err != nil {
		t.Fatal(err)
	}
	r.adoptIncarnation(firstIncarnation(1000))
	return r
}

func sampleRecord(i int) wireRecord {
	r := newRecord(testInstance(i, 5), status{
		Incarnation: firstIncarnation(uint64(60_000_000_000+i)) + 1,
		Phase:       phaseReady,
	})
	return toWire(r)
}

func sampleUpdates() updates {
	w := sampleRecord(1)
	return updates{
		Records: []wireRecord{w, sampleRecord(2)},
		Statuses: []wireStatus{{
			Reference:   referenceOf(w.ID),
			Incarnation: w.Incarnation + 1,
			Phase:       phaseReady,
			Verdict:     verdictSuspect,
		}},
		Blocks: []wireBlock{{
			Zone:    partOf("zone-1", referenceOf(w.ID)).zone,
			Part:    partOf("zone-1", referenceOf(w.ID)).part,
			Planes:  []byte{1},
			Suspect: []byte{1},
		}},
	}
}

// fuzzKind passes bodies of one message kind to the message handler.
func fuzzKind(f *testing.F, kind string, seed any) {
	addFuzzSeeds(f, seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		r := unstarted(t)
		_, _ = r.HandleMessage(t.Context(), testInstance(1, 5).ID, lagoonbarrow.Message{
			Kind: kind,
			Body: body,
		})
		checkAfterFuzz(t, r)
	})
}

func addFuzzSeeds(f *testing.F, seed any) {
	raw, err := msgpack.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
}

// checkAfterFuzz requires a consistent table in which the node's own record is live.
func checkAfterFuzz(t *testing.T, r *Roster) {
	own := r.Self()
	if own.ID != testInstance(0, 5).ID || own.State == lagoonbarrow.StateDead || own.State == lagoonbarrow.StateLeft {
		t.Errorf("own record became %+v", own)
	}
	if !isConsistent(r.table) {
		t.Error("inconsistent table")
	}
}

// The fuzz tests guard against panics, large allocations and changes of the node's
// own record by damaged or hostile bodies.

func FuzzProbe(f *testing.F) {
	fuzzKind(f, kindProbe, probeBody{
		Sender: wireStatus{
			Reference:   referenceOf(testInstance(1, 5).ID),
			Incarnation: 1,
		},
		Updates: sampleUpdates(),
	})
}

func FuzzProbeRequest(f *testing.F) {
	fuzzKind(f, kindProbeRequest, probeBody{
		Address: "10.0.0.9:7000",
		Updates: sampleUpdates(),
	})
}

func FuzzLeave(f *testing.F) {
	fuzzKind(f, kindLeave, leaveBody{
		Sender: wireStatus{
			Reference:   referenceOf(testInstance(1, 5).ID),
			Incarnation: 1,
			Phase:       phaseLeaving,
		},
	})
}

func FuzzDigest(f *testing.F) {
	fuzzKind(f, kindDigest, digestBody{
		Hashes:  make([]byte, buckets*bucketHashBytes),
		Join:    true,
		Records: []wireRecord{sampleRecord(1)},
	})
}

func FuzzSync(f *testing.F) {
	fuzzKind(f, kindSync, syncBody{
		Buckets:  []uint8{1, 255},
		Statuses: sampleUpdates().Statuses,
		Records:  sampleUpdates().Records,
		Want:     []reference{referenceOf(testInstance(0, 5).ID)},
	})
}

func FuzzProbeAck(f *testing.F) {
	addFuzzSeeds(f, ackBody{
		Sender: wireStatus{
			Reference:   referenceOf(testInstance(1, 5).ID),
			Incarnation: 9,
		},
		Want:    true,
		Updates: sampleUpdates(),
	})
	f.Fuzz(func(t *testing.T, body []byte) {
		r := unstarted(t)
		var ack ackBody
		if decode(lagoonbarrow.Message{
			Kind: kindProbeAck,
			Body: body,
		}, kindProbeAck, &ack) == nil {
			r.mergeAck(t.Context(), testInstance(1, 5), &ack, 0)
		}
		checkAfterFuzz(t, r)
	})
}

// Guards against rows of the platform's table that break the search for seeds.
func FuzzSeedRow(f *testing.F) {
	f.Add([]byte(`{"id":"instance-1","peer":"10.0.0.1:1","incarnation":5}`))
	f.Add([]byte(`{"id":`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := unstarted(t)
		r.config.Table = &fakeTable{
			rows: map[string]lagoonbarrow.Row{
				"instances/a": {
					Table:   tableName,
					Key:     "a",
					Value:   value,
					Version: 1,
				},
			},
		}
		r.probeSeeds(t.Context())
		checkAfterFuzz(t, r)
	})
}

// Guards against a block that decodes to other statuses than were encoded, or that
// is applied to another list of members than it was encoded from.
func TestBlockRoundTrip(t *testing.T) {
	from, to := unstarted(t), unstarted(t)
	var pending []reference
	for i := 1; i <= 1560; i++ {
		w := sampleRecord(i * 5)
		for _, r := range []*Roster{from, to} {
			known, _ := fromWire(w)
			r.applyRecord(known, fromTrusted)
		}
		changed := status{
			Incarnation: w.Incarnation + lagoonbarrow.Incarnation(i%40),
			Phase:       phase(i % 3),
			Verdict:     verdict(i % 2),
		}
		ref := referenceOf(w.ID)
		from.applyStatus(ref, changed, fromSelf)
		if i%40 < 12 && partOf("zone-0", ref).part == 3 {
			pending = append(pending, ref)
		}
	}
	key := partOf("zone-0", pending[0])
	block, ok := from.table.encodeBlock(key, pending)
	if !ok {
		t.Fatal("no block")
	}
	raw, err := msgpack.Marshal(&block)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > block.size() {
		t.Errorf("%d bytes, estimated %d", len(raw), block.size())
	}
	to.mergeBlock(fromTrusted, &block)
	for _, ref := range pending {
		want, _ := from.table.lookup(ref)
		if got, _ := to.table.lookup(ref); got.Status != want.Status {
			t.Errorf("status %+v, want %+v", got.Status, want.Status)
		}
	}
	unlisted, _ := fromWire(sampleRecord(20000))
	for range 8 {
		unlisted.Instance.ID += "x"
		to.applyRecord(unlisted, fromTrusted)
	}
	if newer, matches := to.table.decodeBlock(&block); matches && len(to.table.parts[key].members) != len(from.table.parts[key].members) {
		t.Errorf("a block for another list was accepted with %d statuses", len(newer))
	}
}
