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

// sweepInterval is how often suspicion times are checked.
const sweepInterval = 250 * time.Millisecond

// suspicionTime grows with the logarithm of the fleet's size, as the time does
// that gossip takes to reach a suspect and its refutation to come back. At
// 7,800 members it is 3.9 times the configured value.
func (r *Roster) suspicionTime(fleet int) time.Duration {
	factor := max(1, math.Log10(float64(max(fleet, 1))))
	return time.Duration(float64(r.config.SuspicionTime) * factor)
}

// suspicionLoop makes suspects dead after the suspicion time.
func (r *Roster) suspicionLoop(ctx context.Context) {
	last := time.Now()
	for sleep(ctx, min(sweepInterval, r.config.SuspicionTime/4)) {
		now := time.Now()
		r.sweep(ctx, now, now.Sub(last))
		last = now
	}
}

// sweep ends the suspicions that are due. elapsed is the time since the sweep
// before; after a pause of this process the suspects get their time again,
// because their refutations may wait in this process's sockets.
func (r *Roster) sweep(ctx context.Context, now time.Time, elapsed time.Duration) {
	r.table.mutex.Lock()
	limit := r.suspicionTime(r.table.live)
	paused := elapsed > limit/2
	var due []*member
	var own []*member
	for _, m := range r.table.suspects {
		if paused {
			m.changed = now
			continue
		}
		if now.Sub(m.changed) < limit {
			continue
		}
		if m.suspectedHere {
			// A last probe by the node that began the suspicion, with time for it.
			m.suspectedHere = false
			m.changed = now.Add(pausedFactor*r.config.ProbeTimeout - limit)
			own = append(own, m)
			continue
		}
		due = append(due, m)
	}
	r.table.mutex.Unlock()
	for _, m := range own {
		r.submit(func() {
			r.probe(ctx, m.ref)
		})
	}
	for _, m := range due {
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

// seedFleet is the fleet size up to which every node re-reads rows once per
// heal interval. Larger fleets share that load of 1,000 reads a minute.
const seedFleet = 1000

// earlyHealRounds are the waits before the first looks for unseen members.
// Nodes that start at the same time may join through each other in circles and
// form separate fleets; 2 of 12 common starts of 9 nodes did so, until the heal
// interval of a minute had passed.
var earlyHealRounds = []time.Duration{
	500 * time.Millisecond,
	time.Second,
	2 * time.Second,
	4 * time.Second,
	4 * time.Second,
	4 * time.Second,
}

// healLoop looks for members that this node lost sight of.
func (r *Roster) healLoop(ctx context.Context) {
	for _, wait := range earlyHealRounds {
		if !sleep(ctx, jitter(wait)) {
			return
		}
		r.probeSeeds(ctx)
		r.readAgain(ctx)
	}
	for sleep(ctx, jitter(r.config.HealInterval)) {
		r.forget(time.Now())
		r.probeDead(ctx)
		if rand.Float64() < float64(seedFleet)/float64(max(r.table.size(), 1)) {
			r.noteOrphans(r.probeSeeds(ctx))
		}
	}
}

// readAgain reads the table of a random member, as a join does. Nodes that start
// at the same time learn of each other so without waiting for gossip, whose
// budget passes on about three records a second.
func (r *Roster) readAgain(ctx context.Context) {
	peers := r.table.sample(1, func(m *member) bool {
		return m.ref != r.selfRef && m.Status.live() && m.Status.Verdict == verdictAlive
	})
	if len(peers) == 1 {
		r.joinThrough(ctx, peers[0].Instance)
	}
}

// probeDead probes a random dead member. If it answers, the tables are
// compared at once, because the member may belong to a part of the fleet that
// was cut off.
func (r *Roster) probeDead(ctx context.Context) {
	target, found := r.table.anyDead()
	if found && r.probeDirect(ctx, target) == nil {
		r.exchangeDigests(ctx, target.Instance)
	}
}

// probeSeeds reads some rows and probes the instances that are not live here.
// It returns the unknown ones that did not answer.
func (r *Roster) probeSeeds(ctx context.Context) (silent []record) {
	seeds, err := r.seeds(ctx, defaultSeedRows)
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
			silent = append(silent, target)
		}
	}
	return silent
}

// noteOrphans keeps unknown instances that have a row but do not answer as
// dead. They are probed again like other dead members, and their rows removed
// like theirs; no node would remember them otherwise after a restart of the
// fleet. The early rounds skip this, because rows may be of starting instances.
func (r *Roster) noteOrphans(silent []record) {
	for _, orphan := range silent {
		orphan.Status.Verdict = verdictDead
		r.applyRecord(newRecord(orphan.Instance, orphan.Status), fromJoin)
	}
}

// forget removes records that were kept long enough.
func (r *Roster) forget(now time.Time) {
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
		if now.Sub(m.changed) > retention {
			r.table.remove(m)
			r.queue.drop(ref)
		}
	}
}

// rowLoop removes rows of dead instances, and restores this node's own row.
func (r *Roster) rowLoop(ctx context.Context) {
	tick := time.NewTicker(time.Second / maxRowRemovalsPerSecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.restore:
			if err := r.ensureRow(ctx); err != nil {
				r.config.Logger.Warn("own row was not restored", "error", err)
			}
		case <-tick.C:
			r.removeDeadRow(ctx)
		}
	}
}

// restoreRow has this node's row written again, because other nodes may have
// removed it while they held this node dead.
func (r *Roster) restoreRow() {
	select {
	case r.restore <- struct{}{}:
	default:
	}
}

// removeDeadRow looks at one member that has been dead for long, and removes
// its row if this node is the one chosen for it.
func (r *Roster) removeDeadRow(ctx context.Context) {
	target, found := r.nextDeadRow(time.Now())
	if !found || !r.chosenFor(target.Instance) {
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
		r.config.Logger.Warn("row of a dead instance was not removed", "instance", row.Key, "error", err)
	}
}

// nextDeadRow returns a dead member whose row is due for a look.
func (r *Roster) nextDeadRow(now time.Time) (record, bool) {
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	for _, m := range r.table.dead {
		if now.Sub(m.changed) < r.config.RowRemovalDelay || now.Before(m.rowCheck) {
			continue
		}
		// Another look later, because the node chosen for it may fail.
		m.rowCheck = now.Add(r.config.RowRemovalDelay)
		return m.record, true
	}
	return record{}, false
}

// chosenFor reports whether this node removes the row of a dead instance. The
// choice is by rendezvous hashing among the live instances of its availability
// zone, or of the fleet if none is left there.
func (r *Roster) chosenFor(dead lagoonbarrow.Instance) bool {
	best, found := r.table.rendezvous(dead, func(m *member) bool {
		return m.Instance.Zone == dead.Zone
	})
	if !found {
		best, found = r.table.rendezvous(dead, func(*member) bool { return true })
	}
	return found && best == r.selfRef
}

func (t *table) rendezvous(dead lagoonbarrow.Instance, match func(*member) bool) (best reference, found bool) {
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
