package roster

import (
	"context"
	"testing"

	"lagoonbarrow"
)

// linkTransport hands messages to one other roster and remembers the largest.
type linkTransport struct {
	nullTransport
	self    lagoonbarrow.InstanceID
	other   *Roster
	largest int
	// messages counts the requests.
	messages int
}

func (l *linkTransport) Send(ctx context.Context, _ lagoonbarrow.Address, message lagoonbarrow.Message) (lagoonbarrow.Message, error) {
	reply, err := l.other.HandleMessage(ctx, l.self, message)
	l.messages++
	l.largest = max(l.largest, len(message.Body), len(reply.Body))
	return reply, err
}

// Guards against differences that digest exchanges don't repair, and against
// exchanges that send whole tables.
func TestDigestExchangeRepairs(t *testing.T) {
	left, right := offline(t), offlineAs(t, testInstance(1, 5))
	for i := 2; i <= 900; i++ {
		w := sampleRecord(i)
		known, _ := fromWire(w)
		if i%3 != 0 {
			left.applyRecord(known, fromTrusted)
		}
		if i%3 != 1 {
			right.applyRecord(known, fromTrusted)
		}
		if i%7 == 0 {
			known.Status.Incarnation++
			known.Status.Phase = phaseLeaving
			left.applyRecord(known, fromSelf)
		}
	}
	link := &linkTransport{
		self:  left.config.Self.ID,
		other: right,
	}
	left.config.Transport = link
	rounds := 0
	for left.table.hashes != right.table.hashes {
		rounds++
		if rounds > 4*buckets {
			t.Fatal("the tables still differ")
		}
		left.exchangeDigests(t.Context(), testInstance(1, 5))
	}
	if limit := digestBytes + wantLimit*9 + 1024; link.largest > limit+wantLimit*128 {
		t.Errorf("largest message has %d bytes, limit %d", link.largest, limit)
	}
	if left.table.size() != right.table.size() {
		t.Errorf("%d and %d live members", left.table.size(), right.table.size())
	}
	t.Logf("equal after %d exchanges, largest message %d bytes", rounds, link.largest)
}

// Guards against a join that misses part of a large table, that sends messages
// over the frame limit, or that reads on when nothing new comes.
func TestJoinReadsLargeTable(t *testing.T) {
	joiner, seed := offline(t), offlineAs(t, testInstance(1, 5))
	for i := 2; i < benchFleet; i++ {
		known, _ := fromWire(sampleRecord(i))
		seed.applyRecord(known, fromTrusted)
	}
	link := &linkTransport{
		self:  joiner.config.Self.ID,
		other: seed,
	}
	joiner.config.Transport = link
	if !joiner.joinThrough(t.Context(), testInstance(1, 5)) {
		t.Fatal("the seed did not answer")
	}
	if joiner.table.hashes != seed.table.hashes {
		t.Errorf("%d of %d members after the join", joiner.table.size(), seed.table.size())
	}
	if link.largest > maxBodyBytes {
		t.Errorf("a message of %d bytes", link.largest)
	}
	known, _ := fromWire(sampleRecord(2))
	for i := range buckets * 4 {
		known.Instance.ID = testInstance(benchFleet+i, 5).ID
		joiner.applyRecord(known, fromTrusted)
	}
	link.messages = 0
	joiner.joinThrough(t.Context(), testInstance(1, 5))
	if link.messages > 1 {
		t.Errorf("%d messages without anything new", link.messages)
	}
}
