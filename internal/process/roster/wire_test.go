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

// offline returns a registered roster of instance 0 that was not started.
func offline(t testing.TB) *Roster {
	return offlineAs(t, testInstance(0, 5))
}

func offlineAs(t testing.TB, self lagoonbarrow.Instance) *Roster {
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
	r.adopt(firstIncarnation(1000))
	return r
}

func sampleRecord(i int) wireRecord {
	r := newRecord(testInstance(i, 5), status{
		Incarnation: firstIncarnation(uint64(60_000_000_000+i)) + 1,
		Phase:       phaseReady,
	})
	return toWire(r)
}

func sampleNews() news {
	w := sampleRecord(1)
	return news{
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

// fuzzKind feeds bodies of one kind to the message handler.
func fuzzKind(f *testing.F, kind string, seed any) {
	addSeeds(f, seed)
	f.Fuzz(func(t *testing.T, body []byte) {
		r := offline(t)
		_, _ = r.HandleMessage(t.Context(), testInstance(1, 5).ID, lagoonbarrow.Message{
			Kind: kind,
			Body: body,
		})
		checkAfterFuzz(t, r)
	})
}

func addSeeds(f *testing.F, seed any) {
	raw, err := msgpack.Marshal(seed)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add(raw[:len(raw)/2])
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
}

// checkAfterFuzz requires a consistent table in which the own record lives.
func checkAfterFuzz(t *testing.T, r *Roster) {
	own := r.Self()
	if own.ID != testInstance(0, 5).ID || own.State == lagoonbarrow.StateDead || own.State == lagoonbarrow.StateLeft {
		t.Errorf("own record became %+v", own)
	}
	if !consistent(r.table) {
		t.Error("inconsistent table")
	}
}

// The fuzz tests guard against panics, large allocations and changes of the
// own record by damaged or hostile bodies.

func FuzzProbe(f *testing.F) {
	fuzzKind(f, kindProbe, probeBody{
		Sender: wireStatus{
			Reference:   referenceOf(testInstance(1, 5).ID),
			Incarnation: 1,
		},
		News: sampleNews(),
	})
}

func FuzzProbeRequest(f *testing.F) {
	fuzzKind(f, kindProbeRequest, probeBody{
		Address: "10.0.0.9:7000",
		News:    sampleNews(),
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
		Hashes:  make([]byte, buckets*hashBytes),
		Join:    true,
		Records: []wireRecord{sampleRecord(1)},
	})
}

func FuzzSync(f *testing.F) {
	fuzzKind(f, kindSync, syncBody{
		Buckets:  []uint8{1, 255},
		Statuses: sampleNews().Statuses,
		Records:  sampleNews().Records,
		Want:     []reference{referenceOf(testInstance(0, 5).ID)},
	})
}

func FuzzProbeAck(f *testing.F) {
	addSeeds(f, ackBody{
		Sender: wireStatus{
			Reference:   referenceOf(testInstance(1, 5).ID),
			Incarnation: 9,
		},
		Want: true,
		News: sampleNews(),
	})
	f.Fuzz(func(t *testing.T, body []byte) {
		r := offline(t)
		var ack ackBody
		if decode(lagoonbarrow.Message{
			Kind: kindProbeAck,
			Body: body,
		}, kindProbeAck, &ack) == nil {
			r.takeAck(t.Context(), testInstance(1, 5), &ack, 0)
		}
		checkAfterFuzz(t, r)
	})
}

// Guards against rows of the platform's table that break the search for seeds.
func FuzzSeedRow(f *testing.F) {
	f.Add([]byte(`{"id":"instance-1","peer":"10.0.0.1:1","incarnation":5}`))
	f.Add([]byte(`{"id":`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r := offline(t)
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

// Guards against a block that changes a status on its way, or that is applied
// to another list of members than it was made from.
func TestBlockRoundTrip(t *testing.T) {
	from, to := offline(t), offline(t)
	var waiting []reference
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
			waiting = append(waiting, ref)
		}
	}
	key := partOf("zone-0", waiting[0])
	block, ok := from.table.encodeBlock(key, waiting)
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
	to.takeBlock(fromTrusted, &block)
	for _, ref := range waiting {
		want, _ := from.table.lookup(ref)
		if got, _ := to.table.lookup(ref); got.Status != want.Status {
			t.Errorf("status %+v, want %+v", got.Status, want.Status)
		}
	}
	stranger, _ := fromWire(sampleRecord(20000))
	for range 8 {
		stranger.Instance.ID += "x"
		to.applyRecord(stranger, fromTrusted)
	}
	if claims, agreed := to.table.decodeBlock(&block); agreed && len(to.table.parts[key].members) != len(from.table.parts[key].members) {
		t.Errorf("a block for another list was accepted with %d claims", len(claims))
	}
}
