package roster

import (
	"context"
	"testing"

	"lagoonbarrow"
)

// recordingTransport delivers every message to one other roster. It counts the
// messages and records the size of the largest.
type recordingTransport struct {
	nullTransport
	self    lagoonbarrow.InstanceID
	other   *Roster
	largest int
	// messages counts the requests.
	messages int
}

func (r *recordingTransport) Send(ctx context.Context, _ lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	reply, err := r.other.HandleMessage(ctx, r.self, message)
	r.messages++
	r.largest = max(r.largest, len(message.Body), len(reply.Body))
	return reply, err
}

// Guards against differences that digest exchanges do not repair, and against
// exchanges that send whole tables.
func TestDigestExchangeRepairs(t *testing.T) {
	local, remote := unstarted(t), unstartedAs(t, testInstance(1, 5))
	for i := 2; i <= 900; i++ {
		w := sampleRecord(i)
		known, _ := fromWire(w)
		if i%3 != 0 {
			local.applyRecord(known, fromTrusted)
		}
		if i%3 != 1 {
			remote.applyRecord(known, fromTrusted)
		}
		if i%7 == 0 {
			known.Status.Incarnation++
			known.Status.Phase = phaseLeaving
			local.applyRecord(known, fromSelf)
		}
	}
	transport := &recordingTransport{
		self:  local.config.Self.ID,
		other: remote,
	}
	local.config.Transport = transport
	rounds := 0
	for local.table.hashes != remote.table.hashes {
		rounds++
		if rounds > 4*buckets {
			t.Fatal("the tables still differ")
		}
		local.exchangeDigests(t.Context(), testInstance(1, 5))
	}
	if limit := maxDigestBytes + maxWantedRecords*9 + 1024; transport.largest > limit+maxWantedRecords*128 {
		t.Errorf("largest message has %d bytes, limit %d", transport.largest, limit)
	}
	if local.table.liveCount() != remote.table.liveCount() {
		t.Errorf("%d and %d live members", local.table.liveCount(), remote.table.liveCount())
	}
	t.Logf("equal after %d exchanges, largest message %d bytes", rounds, transport.largest)
}

// Guards against a join that misses part of a large table, sends messages above the
// frame limit, or continues when a round changes nothing.
func TestJoinReadsLargeTable(t *testing.T) {
	joiner, seed := unstarted(t), unstartedAs(t, testInstance(1, 5))
	for i := 2; i < benchFleet; i++ {
		known, _ := fromWire(sampleRecord(i))
		seed.applyRecord(known, fromTrusted)
	}
	transport := &recordingTransport{
		self:  joiner.config.Self.ID,
		other: seed,
	}
	joiner.config.Transport = transport
	if !joiner.joinVia(t.Context(), testInstance(1, 5)) {
		t.Fatal("the seed did not answer")
	}
	if joiner.table.hashes != seed.table.hashes {
		t.Errorf("%d of %d members after the join", joiner.table.liveCount(), seed.table.liveCount())
	}
	if transport.largest > maxBodyBytes {
		t.Errorf("a message of %d bytes", transport.largest)
	}
	known, _ := fromWire(sampleRecord(2))
	for i := range buckets * 4 {
		known.Instance.ID = testInstance(benchFleet+i, 5).ID
		joiner.applyRecord(known, fromTrusted)
	}
	transport.messages = 0
	joiner.joinVia(t.Context(), testInstance(1, 5))
	if transport.messages > 1 {
		t.Errorf("%d messages without anything new", transport.messages)
	}
}
