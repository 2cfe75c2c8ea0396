package roster

import (
	"context"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lagoonbarrow"
)

// suspicionCheckInterval is the longest time between checks of the suspects.
const suspicionCheckInterval = 250 * time.Millisecond

// suspicionTime returns the suspicion time for a fleet of the given size. It grows
// with the logarithm of the size, as does the time that gossip takes to reach a
// suspect and return its refutation. At 7,800 members it is 3.9 times the
// configured value.
func (r *Roster) suspicionTime(fleetSize int) time.Duration {
	factor := max(1, math.Log10(float64(max(fleetSize, 1))))
	return time.Duration(float64(r.config.SuspicionTime) * factor)
}

// suspicionLoop declares suspects dead when their suspicion time has passed.
func (r *Roster) suspicionLoop(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, min(suspicionCheckInterval, r.config.SuspicionTime/4)) {
		now := time.Now()
		r.expireSuspicions(ctx, now, now.Sub(last))
		last = now
	}
}

// expireSuspicions declares suspects dead whose suspicion time has passed. elapsed
// is the time since the previous call. A long gap means that this process was
// paused. The suspicion times then start again, because refutations may be waiting
// unread in the sockets of this process.
func (r *Roster) expireSuspicions(ctx context.Context, now time.Time, elapsed time.Duration) {
	r.table.mutex.Lock()
	limit := r.suspicionTime(r.table.live)
	paused := elapsed > limit/2
	var expired []*member
	var lastProbes []*member
	for _, m := range r.table.suspects {
		if paused {
			m.changedAt = now
			continue
		}
		if now.Sub(m.changedAt) < limit {
			continue
		}
		if m.suspectedLocally {
			// The node that began the suspicion probes once more and allows time for it.
			m.suspectedLocally = false
			m.changedAt = now.Add(pauseFactor*r.config.ProbeTimeout - limit)
			lastProbes = append(lastProbes, m)
			continue
		}
		expired = append(expired, m)
	}
	r.table.mutex.Unlock()
	for _, m := range lastProbes {
		r.submit(func() {
			r.probe(ctx, m.ref)
		})
	}
	for _, m := range expired {
		r.table.mutex.RLock()
		claim := m.Status
		r.table.mutex.RUnlock()
		if claim.Verdict != verdictSuspect {
			continue
		}
		claim.Verdict = verdictDead
		r.applyStatus(m.ref, claim, fromProbe)
	}
}

// maxFullHealFleet is the fleet size up to which every node reads rows again in
// each heal interval. Larger fleets share that load of 1,000 reads a minute.
const maxFullHealFleet = 1000

// earlyHealDelays are the waits before the first searches for missing members.
// Nodes that start at the same time may join through each other in circles and
// form separate fleets. Without these searches this happened in 2 of 12
// simultaneous starts of 9 nodes, and lasted until the heal interval of a minute
// had passed.
var earlyHealDelays = []time.Duration{
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	4 * time.Second,
	4 * time.Second,
	4 * time.Second,
}

// healLoop searches for members that are missing or dead in this node's table.
func (r *Roster) healLoop(ctx context.Context) {
	for _, delay := range earlyHealDelays {
		if !sleep(ctx, jitter(delay)) {
			return
		}
		r.probeSeeds(ctx)
		r.syncWithRandomPeer(ctx)
	}
	for sleep(ctx, jitter(r.config.HealInterval)) {
		r.removeExpired(time.Now())
		r.probeDead(ctx)
		if rand.Float64() < float64(maxFullHealFleet)/float64(max(r.table.liveCount(), 1)) {
			r.addOrphansAsDead(r.probeSeeds(ctx))
		}
	}
}

// syncWithRandomPeer reads the table of a random member, as a join does. Nodes
// that start at the same time discover each other this way without waiting for
// gossip, whose budget passes on about three records a second.
func (r *Roster) syncWithRandomPeer(ctx context.Context) {
	peers := r.table.sample(1, func(m *member) bool {
		return m.ref != r.selfRef && m.Status.live() && m.Status.Verdict == verdictAlive
	})
	if len(peers) == 1 {
		r.joinVia(ctx, peers[0].Instance)
	}
}

// probeDead probes a random dead member. If the member answers, this node exchanges
// digests with it at once, because the member may belong to a part of the fleet that
// was cut off.
func (r *Roster) probeDead(ctx context.Context) {
	target, found := r.table.randomDead()
	if found && r.probeDirect(ctx, target) == nil {
		r.exchangeDigests(ctx, target.Instance)
	}
}

// probeSeeds reads some rows and probes their instances that are not live in this
// table. It returns the unknown instances that did not answer.
func (r *Roster) probeSeeds(ctx context.Context) (unanswered []record) {
	seeds, err := r.readSeeds(ctx, defaultSeedRows)
	if err != nil {
		return nil
	}
	for _, seed := range seeds {
		known, found := r.table.lookup(referenceOf(seed.ID))
		if found && known.Status.live() && epochOf(known.Status.Incarnation) >= epochOf(seed.Incarnation) {
			continue
		}
		target := newRecord(seed, status{
			Incarnation: seed.Incarnation,
		})
		if r.probeDirect(ctx, target) == nil {
			r.exchangeDigests(ctx, seed)
		} else if !found && ctx.Err() == nil {
			unanswered = append(unanswered, target)
		}
	}
	return unanswered
}

// addOrphansAsDead adds unknown instances that have a row but do not answer as
// dead members. Like other dead members they are then probed again and their rows
// removed. Otherwise no node would know of these rows after a restart of the whole
// fleet. The early rounds skip this step, because the instances of such rows may
// still be starting.
func (r *Roster) addOrphansAsDead(orphans []record) {
	for _, orphan := range orphans {
		orphan.Status.Verdict = verdictDead
		r.applyRecord(newRecord(orphan.Instance, orphan.Status), fromJoin)
	}
}

// removeExpired removes dead and left members whose retention time has passed.
func (r *Roster) removeExpired(now time.Time) {
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	for ref, m := range r.table.members {
		if m.Status.live() {
			continue
		}
		retention := r.config.DeadRetention
		if m.Status.Phase == phaseLeft {
			retention = r.config.LeftRetention
		}
		if now.Sub(m.changedAt) > retention {
			r.table.remove(m)
			r.queue.remove(ref)
		}
	}
}

// rowLoop removes rows of dead instances and restores this node's own row.
func (r *Roster) rowLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second / maxRowRemovalsPerSecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.rowRestores:
			if err := r.ensureRow(ctx); err != nil {
				r.config.Logger.Warn("failed to restore own row", "error", err)
			}
		case <-tick.C:
			r.removeDeadRow(ctx)
		}
	}
}

// requestRowRestore makes rowLoop check this node's own row and write it again if
// it is missing. Other nodes may have removed it while this node was dead in their
// tables.
func (r *Roster) requestRowRestore() {
	select {
	case r.rowRestores <- struct{}{}:
	default:
	}
}

// removeDeadRow checks one member whose RowRemovalDelay has passed, and removes
// its row if this node is responsible for it.
func (r *Roster) removeDeadRow(ctx context.Context) {
	target, found := r.nextRowRemoval(time.Now())
	if !found || !r.ownsRowRemoval(target.Instance) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	row, written, err := r.readRow(ctx, target.Instance.ID)
	if err != nil || epochOf(written.Incarnation) > epochOf(target.Status.Incarnation) {
		return
	}
	_, err = r.config.Table.Put(ctx, lagoonbarrow.Write{
		Table:    tableName,
		Key:      row.Key,
		Expected: row.Version,
		Delete:   true,
	})
	if err != nil && !errors.Is(err, lagoonbarrow.ErrConflict) {
		r.config.Logger.Warn("failed to remove the row of a dead instance", "instance", row.Key, "error", err)
	}
}

// nextRowRemoval returns a dead member whose row is due for a check.
func (r *Roster) nextRowRemoval(now time.Time) (record, bool) {
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	for _, m := range r.table.dead {
		if now.Sub(m.changedAt) < r.config.RowRemovalDelay || now.Before(m.nextRowCheck) {
			continue
		}
		// The row is checked again later, because the responsible node may fail.
		m.nextRowCheck = now.Add(r.config.RowRemovalDelay)
		return m.record, true
	}
	return record{}, false
}

// ownsRowRemoval reports whether this node is responsible for removing the row of
// a dead instance. Rendezvous hashing selects the node among the live instances of
// the dead instance's availability zone, or of the whole fleet if none is live
// there.
func (r *Roster) ownsRowRemoval(dead lagoonbarrow.Instance) bool {
	best, found := r.table.rendezvousOwner(dead, func(m *member) bool {
		return m.Instance.Zone == dead.Zone
	})
	if !found {
		best, found = r.table.rendezvousOwner(dead, func(*member) bool { return true })
	}
	return found && best == r.selfRef
}

// rendezvousOwner returns the matching live member with the highest hash of its
// reference and that of the dead instance.
func (t *table) rendezvousOwner(dead lagoonbarrow.Instance, match func(*member) bool) (best reference, found bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(referenceOf(dead.ID)))
	var highest uint64
	for ref, m := range t.members {
		if !m.Status.live() || !match(m) {
			continue
		}
		binary.LittleEndian.PutUint64(raw[8:], uint64(ref))
		hash := xxhash.Sum64(raw[:])
		if !found || hash > highest {
			best, highest, found = ref, hash, true
		}
	}
	return best, found
}
