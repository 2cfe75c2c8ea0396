package roster

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// bucketHashBytes is how many bytes of a bucket's hash are sent. Two different
	// buckets have the same hash with a probability of 1 in 2^32, until one of them
	// changes.
	bucketHashBytes = 4
	// maxJoinBytes bounds an answer in a join. A frame holds 256 KiB.
	maxJoinBytes = 128 << 10
	// maxDigestBytes bounds the statuses or records in one message of a digest
	// exchange. Each node starts one exchange in 30 s and answers as many, which is
	// at most 0.6 KB/s.
	maxDigestBytes = 6 << 10
	// maxWantedRecords bounds the records requested in one message.
	maxWantedRecords = 64
)

// firstDigestDivisor shortens the wait before the first digest exchange. The wait
// doubles from there up to DigestInterval. The early exchanges find members that
// joined at the same time as this node.
const firstDigestDivisor = 16

// digestLoop compares this node's table with that of a random member.
func (r *Roster) digestLoop(ctx context.Context) {
	wait := r.config.DigestInterval / firstDigestDivisor
	for sleep(ctx, jitter(wait)) {
		wait = min(2*wait, r.config.DigestInterval)
		// Skipping the turn would delay the repair by another DigestInterval.
		for r.budget.balanceSeconds() < 0 && sleep(ctx, jitter(r.config.ProbeInterval)) {
			r.metrics.probesSkipped.Inc(1)
		}
		peers := r.table.sample(1, func(m *member) bool {
			return m.ref != r.selfRef && m.Status.live() && m.Status.Verdict == verdictAlive
		})
		if len(peers) == 0 {
			// There is no live peer. Registered instances may answer by now.
			r.probeSeeds(ctx)
			continue
		}
		r.exchangeDigests(ctx, peers[0].Instance)
	}
}

// exchangeDigests repairs differences between this table and a peer's. The
// statuses of differing buckets are compared first. Full records are sent only of
// members that one side lacks.
func (r *Roster) exchangeDigests(ctx context.Context, peer lagoonbarrow.Instance) {
	r.metrics.digestExchanges.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	body := digestBody{
		Hashes: r.table.digest(),
	}
	answer, err := r.sendSync(ctx, peer, kindDigest, &body)
	if err != nil || len(answer.Buckets) == 0 {
		return
	}
	source := r.sourceFor(peer.ID)
	want := r.mergeStatuses(source, answer.Statuses)
	next := r.table.missingFromPeer(answer.Buckets, answer.Statuses, maxDigestBytes)
	next.Want = want[:min(len(want), maxWantedRecords)]
	if len(next.Want) == 0 && len(next.Records) == 0 && len(next.Statuses) == 0 {
		return
	}
	answer, err = r.sendSync(ctx, peer, kindSync, next)
	if err != nil {
		return
	}
	r.mergeSync(source, answer)
}

func (r *Roster) sendSync(ctx context.Context, peer lagoonbarrow.Instance, kind string, body any) (*syncBody, error) {
	reply, err := r.send(ctx, peer, kind, body)
	if err != nil {
		return nil, err
	}
	var answer syncBody
	if err := decode(reply, kindSync, &answer); err != nil {
		return nil, err
	}
	return &answer, nil
}

// mergeSync merges the statuses and records of a sync message.
func (r *Roster) mergeSync(source claimSource, body *syncBody) {
	r.mergeUpdates(source, updates{
		Records:  body.Records,
		Statuses: body.Statuses,
	})
}

// handleDigest answers a digest with the statuses of differing buckets, or with
// their records in a join.
func (r *Roster) handleDigest(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*syncBody, error) {
	var body digestBody
	if err := decode(message, kindDigest, &body); err != nil {
		return nil, err
	}
	if len(body.Hashes) != buckets*bucketHashBytes {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "roster: digest of %d bytes", len(body.Hashes))
	}
	r.mergeUpdates(r.sourceFor(from), updates{
		Records: body.Records,
	})
	answer := r.table.difference(body.Hashes, body.Join)
	if known, found := r.table.lookup(referenceOf(from)); found && body.Join {
		// A new process must exceed the incarnation that this table has for its
		// predecessor.
		answer.Statuses = append(answer.Statuses, statusToWire(referenceOf(from), known.Status))
	}
	return answer, nil
}

// handleSync merges the differences and answers with the requested records.
func (r *Roster) handleSync(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*syncBody, error) {
	var body syncBody
	if err := decode(message, kindSync, &body); err != nil {
		return nil, err
	}
	r.mergeSync(r.sourceFor(from), &body)
	answer := &syncBody{}
	for _, ref := range body.Want[:min(len(body.Want), maxWantedRecords)] {
		if found, ok := r.table.lookup(ref); ok {
			answer.Records = append(answer.Records, toWire(found))
		}
	}
	return answer, nil
}

// digest returns the bucket hashes in their message form.
func (t *table) digest() []byte {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	raw := make([]byte, 0, buckets*bucketHashBytes)
	for _, hash := range t.hashes {
		raw = binary.LittleEndian.AppendUint32(raw, uint32(hash))
	}
	return raw
}

// membersByBucket groups members by bucket. The caller holds the mutex.
func (t *table) membersByBucket() [buckets][]*member {
	var result [buckets][]*member
	for ref, m := range t.members {
		result[bucketOf(ref)] = append(result[bucketOf(ref)], m)
	}
	return result
}

// difference returns the content of differing buckets up to the size limit, but at
// least one bucket.
func (t *table) difference(hashes []byte, join bool) *syncBody {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	answer := &syncBody{}
	differing := make([]int, 0, buckets)
	for i := range buckets {
		if binary.LittleEndian.Uint32(hashes[i*bucketHashBytes:]) != uint32(t.hashes[i]) {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		return answer
	}
	now := time.Now()
	shuffleInts(differing)
	members := t.membersByBucket()
	size := 0
	for _, bucket := range differing {
		next := bucketBytes(members[bucket], join)
		if size > 0 && size+next > maxAnswerBytes(join) {
			answer.More = true
			break
		}
		size += next
		answer.Buckets = append(answer.Buckets, uint8(bucket))
		for _, m := range members[bucket] {
			switch {
			case !join:
				answer.Statuses = append(answer.Statuses, statusToWire(m.ref, m.Status))
			case m.Status.Phase != phaseLeft:
				answer.Records = append(answer.Records, m.joinRecord(now))
			}
		}
	}
	return answer
}

// joinRecord returns a member's record for a joining node. For a dead member it
// includes how long the member has been dead.
func (m *member) joinRecord(now time.Time) wireRecord {
	w := toWire(m.record)
	if m.Status.Verdict == verdictDead {
		w.DeadSeconds = int64(now.Sub(m.changedAt) / time.Second)
	}
	return w
}

func maxAnswerBytes(join bool) int {
	if join {
		return maxJoinBytes
	}
	return maxDigestBytes
}

func bucketBytes(members []*member, join bool) int {
	if !join {
		return maxStatusBytes * len(members)
	}
	size := 0
	for _, m := range members {
		size += recordSize(m.record)
	}
	return size
}

// missingFromPeer returns what a peer lacks in the given buckets: records that its
// statuses do not include or include with another epoch, and greater statuses.
func (t *table) missingFromPeer(bucketList []uint8, peerStatuses []wireStatus, limit int) *syncBody {
	statusByReference := make(map[reference]status, len(peerStatuses))
	for _, w := range peerStatuses {
		if s, ok := w.status(); ok {
			statusByReference[w.Reference] = s
		}
	}
	var compared [buckets]bool
	for _, bucket := range bucketList {
		compared[bucket%buckets] = true
	}
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	result := &syncBody{}
	for ref, m := range t.members {
		if !compared[bucketOf(ref)] {
			continue
		}
		s, found := statusByReference[ref]
		if found && m.Status.compare(s) <= 0 {
			continue
		}
		sameProcess := found && epochOf(s.Incarnation) == epochOf(m.Status.Incarnation)
		if !sameProcess && !m.Status.live() {
			continue
		}
		size := maxStatusBytes
		if !sameProcess {
			size = recordSize(m.record)
		}
		if size > limit {
			break
		}
		limit -= size
		if sameProcess {
			result.Statuses = append(result.Statuses, statusToWire(ref, m.Status))
		} else {
			result.Records = append(result.Records, toWire(m.record))
		}
	}
	return result
}
