package roster

import (
	"context"
	"runtime"
	"testing"
	"time"

	"lagoonbarrow"
)

// benchFleet is the fleet size that the design plans for.
const benchFleet = 7800

// directTransport delivers every message to one other roster, whatever the address.
type directTransport struct {
	nullTransport
	self  lagoonbarrow.InstanceID
	other *Roster
	bytes int
}

func (d *directTransport) Send(ctx context.Context, _ lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	reply, err := d.other.HandleMessage(ctx, d.self, message)
	d.bytes += len(message.Body) + len(reply.Body)
	return reply, err
}

// fullRoster returns the unstarted roster of one instance with a table of the whole
// fleet.
func fullRoster(b *testing.B, self int) *Roster {
	r := unstartedAs(b, testInstance(self, 5))
	for i := range benchFleet {
		if i == self {
			continue
		}
		known, _ := fromWire(sampleRecord(i))
		r.applyRecord(known, fromJoin)
	}
	return r
}

// newPair returns the roster of instance 0 and a transport from it to the roster of
// instance 1.
func newPair(b *testing.B) (*Roster, *directTransport) {
	r, other := fullRoster(b, 0), fullRoster(b, 1)
	for i, each := range []*Roster{r, other} {
		each.setPhase(phaseReady)
		each.adoptIncarnation(sampleRecord(i).Incarnation)
	}
	transport := &directTransport{
		self:  r.config.Self.ID,
		other: other,
	}
	r.config.Transport = transport
	return r, transport
}

// suspectZone marks the 1,560 members of an availability zone suspect, which queues
// their statuses for gossip.
func suspectZone(r *Roster) {
	for i := 3; i < benchFleet; i += 5 {
		w := sampleRecord(i)
		r.applyStatus(referenceOf(w.ID), status{
			Incarnation: w.Incarnation,
			Phase:       w.Phase,
			Verdict:     verdictSuspect,
		}, fromProbe)
	}
}

func benchmarkProbe(b *testing.B, prepare func(r, other *Roster)) {
	r, transport := newPair(b)
	target, _ := r.table.lookup(transport.other.selfRef)
	b.ReportAllocs()
	transport.bytes = 0
	for b.Loop() {
		prepare(r, transport.other)
		if err := r.probeDirect(b.Context(), target); err != nil {
			b.Fatal(err)
		}
		r.expireSuspicions(b.Context(), time.Now(), time.Second)
	}
	b.ReportMetric(float64(transport.bytes)/float64(b.N), "body-bytes/op")
}

// BenchmarkProbePeriod measures one probe at both ends. This is the cost of one
// node in a probe period, because it sends one probe and answers one on average.
func BenchmarkProbePeriod(b *testing.B) {
	benchmarkProbe(b, func(*Roster, *Roster) {})
}

// BenchmarkProbePeriodZoneLoss measures the same while both ends have the loss of an
// availability zone in their queues.
func BenchmarkProbePeriodZoneLoss(b *testing.B) {
	first := true
	benchmarkProbe(b, func(r, other *Roster) {
		if first {
			suspectZone(r)
			suspectZone(other)
			first = false
		}
		for _, each := range []*Roster{r, other} {
			// Resets the counts, so the updates stay queued after any number of messages.
			for key := range each.queue.entries {
				each.queue.entries[key] = 0
			}
			each.budget.balance = 0
		}
	})
}

// BenchmarkDigestExchange compares equal tables, which is the usual case.
func BenchmarkDigestExchange(b *testing.B) {
	r, transport := newPair(b)
	if r.table.hashes != transport.other.table.hashes {
		b.Fatal("the tables differ")
	}
	transport.bytes = 0
	b.ReportAllocs()
	for b.Loop() {
		r.exchangeDigests(b.Context(), testInstance(1, 5))
	}
	b.ReportMetric(float64(transport.bytes)/float64(b.N), "body-bytes/op")
}

// BenchmarkDigestExchangeDiffering compares tables with one differing bucket.
func BenchmarkDigestExchangeDiffering(b *testing.B) {
	r, transport := newPair(b)
	if r.table.hashes != transport.other.table.hashes {
		b.Fatal("the tables differ")
	}
	transport.bytes = 0
	incarnation := sampleRecord(7).Incarnation
	b.ReportAllocs()
	for b.Loop() {
		incarnation++
		r.applyStatus(referenceOf(sampleRecord(7).ID), status{
			Incarnation: incarnation,
			Phase:       phaseReady,
		}, fromSelf)
		r.exchangeDigests(b.Context(), testInstance(1, 5))
	}
	b.ReportMetric(float64(transport.bytes)/float64(b.N), "body-bytes/op")
}

// BenchmarkInstances measures the look-up on the request path.
func BenchmarkInstances(b *testing.B) {
	r := fullRoster(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		if len(r.Instances("service-100")) != 6 {
			b.Fatal("wrong number of instances")
		}
	}
}

// BenchmarkTableMemory reports the heap of a table of the whole fleet, and of a list
// of live instances taken from it.
func BenchmarkTableMemory(b *testing.B) {
	for b.Loop() {
		before := heap()
		r := fullRoster(b, 0)
		after := heap()
		list := r.Live()
		withList := heap()
		b.ReportMetric(float64(after-before), "table-bytes")
		b.ReportMetric(float64(withList-after), "live-list-bytes")
		runtime.KeepAlive(list)
		runtime.KeepAlive(r)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
