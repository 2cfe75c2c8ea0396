package roster

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// hashBytes is how much of a bucket's hash is sent. Two different buckets
	// agree by chance once in 2^32, until either of them changes.
	hashBytes = 4
	// joinBytes bounds an answer in a join; a frame holds 256 KiB.
	joinBytes = 128 << 10
	// digestBytes bounds the statuses or records in one message of a digest
	// exchange. With one exchange in 30 s, and each node answering as many,
	// this is at most 0.6 KB/s.
	digestBytes = 6 << 10
	// wantLimit bounds the records asked for in one message.
	wantLimit = 64
)

// firstDigest is how much sooner than the rest the first digest exchange takes
// place; the wait doubles from there. The early exchanges find the members that
// joined at the same time as this node.
const firstDigest = 16

// digestLoop compares this node's table with a random member's.
func (r *Roster) digestLoop(ctx context.Context) {
	wait := r.config.DigestInterval / firstDigest
	for sleep(ctx, jitter(wait)) {
		wait = min(2*wait, r.config.DigestInterval)
		// A skipped turn would leave the repair for another half minute.
		for r.budget.left() < 0 && sleep(ctx, jitter(r.config.ProbeInterval)) {
			r.scope.probesPaused.Inc(1)
		}
		peers := r.table.sample(1, func(m *member) bool {
			return m.ref != r.selfRef && m.Status.live() && m.Status.Verdict == verdictAlive
		})
		if len(peers) == 0 {
			// Alone; the instances that were registered may answer by now.
			r.probeSeeds(ctx)
			continue
		}
		r.exchangeDigests(ctx, peers[0].Instance)
	}
}

// exchangeDigests repairs differences between this table and a peer's. Statuses
// of differing buckets are compared first, and full records sent only of
// members that one side lacks.
func (r *Roster) exchangeDigests(ctx context.Context, peer lagoonbarrow.Instance) {
	r.scope.digests.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	body := digestBody{
		Hashes: r.table.digest(),
	}
	answer, err := r.sendSync(ctx, peer, kindDigest, &body)
	if err != nil || len(answer.Buckets) == 0 {
		return
	}
	how := r.evidenceOf(peer.ID)
	want := r.takeStatuses(how, answer.Statuses)
	next := r.table.missing(answer.Buckets, answer.Statuses, digestBytes)
	next.Want = want[:min(len(want), wantLimit)]
	if len(next.Want) == 0 && len(next.Records) == 0 && len(next.Statuses) == 0 {
		return
	}
	answer, err = r.sendSync(ctx, peer, kindSync, next)
	if err != nil {
		return
	}
	r.takeSync(how, answer)
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

// takeSync merges the statuses and records of a sync message.
func (r *Roster) takeSync(how evidence, body *syncBody) {
	r.takeNews(how, news{
		Records:  body.Records,
		Statuses: body.Statuses,
	})
}

// handleDigest answers with the statuses, or in a join with the records, of
// differing buckets.
func (r *Roster) handleDigest(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*syncBody, error) {
	var body digestBody
	if err := decode(message, kindDigest, &body); err != nil {
		return nil, err
	}
	if len(body.Hashes) != buckets*hashBytes {
		return nil, errors.Wrapf(lagoonbarrow.ErrInvalid, "roster: digest of %d bytes", len(body.Hashes))
	}
	r.takeNews(r.evidenceOf(from), news{
		Records: body.Records,
	})
	answer := r.table.difference(body.Hashes, body.Join)
	if own, found := r.table.lookup(referenceOf(from)); found && body.Join {
		// Tells a new process of a raised incarnation of the one before it.
		answer.Statuses = append(answer.Statuses, statusToWire(referenceOf(from), own.Status))
	}
	return answer, nil
}

// handleSync merges the differences and answers with the records asked for.
func (r *Roster) handleSync(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*syncBody, error) {
	var body syncBody
	if err := decode(message, kindSync, &body); err != nil {
		return nil, err
	}
	r.takeSync(r.evidenceOf(from), &body)
	answer := &syncBody{}
	for _, ref := range body.Want[:min(len(body.Want), wantLimit)] {
		if found, ok := r.table.lookup(ref); ok {
			answer.Records = append(answer.Records, toWire(found))
		}
	}
	return answer, nil
}

// digest returns the bucket hashes as they are sent.
func (t *table) digest() []byte {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	raw := make([]byte, 0, buckets*hashBytes)
	for _, hash := range t.hashes {
		raw = binary.LittleEndian.AppendUint32(raw, uint32(hash))
	}
	return raw
}

// bucketMembers groups members by bucket. The caller holds the mutex.
func (t *table) bucketMembers() [buckets][]*member {
	var result [buckets][]*member
	for ref, m := range t.members {
		result[bucketOf(ref)] = append(result[bucketOf(ref)], m)
	}
	return result
}

// difference returns the content of differing buckets as far as the limit
// goes, and at least of one.
func (t *table) difference(hashes []byte, join bool) *syncBody {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	answer := &syncBody{}
	differing := make([]int, 0, buckets)
	for i := range buckets {
		if binary.LittleEndian.Uint32(hashes[i*hashBytes:]) != uint32(t.hashes[i]) {
			differing = append(differing, i)
		}
	}
	if len(differing) == 0 {
		return answer
	}
	now := time.Now()
	shuffleInts(differing)
	members := t.bucketMembers()
	size := 0
	for _, bucket := range differing {
		next := bucketSize(members[bucket], join)
		if size > 0 && size+next > limitFor(join) {
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

// joinRecord returns a member's record for a joining node, with the time that
// a dead member has been dead.
func (m *member) joinRecord(now time.Time) wireRecord {
	w := toWire(m.record)
	if m.Status.Verdict == verdictDead {
		w.DeadSeconds = int64(now.Sub(m.changed) / time.Second)
	}
	return w
}

func limitFor(join bool) int {
	if join {
		return joinBytes
	}
	return digestBytes
}

func bucketSize(members []*member, join bool) int {
	if !join {
		return statusBytes * len(members)
	}
	size := 0
	for _, m := range members {
		size += sizeOf(m.record)
	}
	return size
}

// missing returns what a peer lacks in the given buckets: records that its
// statuses don't name or name with another epoch, and greater statuses.
func (t *table) missing(covered []uint8, theirs []wireStatus, limit int) *syncBody {
	known := make(map[reference]status, len(theirs))
	for _, w := range theirs {
		if s, ok := w.status(); ok {
			known[w.Reference] = s
		}
	}
	var wanted [buckets]bool
	for _, bucket := range covered {
		wanted[bucket%buckets] = true
	}
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	result := &syncBody{}
	for ref, m := range t.members {
		if !wanted[bucketOf(ref)] {
			continue
		}
		s, found := known[ref]
		if found && m.Status.compare(s) <= 0 {
			continue
		}
		sameProcess := found && epochOf(s.Incarnation) == epochOf(m.Status.Incarnation)
		if !sameProcess && !m.Status.live() {
			continue
		}
		size := statusBytes
		if !sameProcess {
			size = sizeOf(m.record)
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
