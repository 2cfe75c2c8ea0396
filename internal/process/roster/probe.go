package roster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

const (
	// maxQueuedUrgentProbes bounds the queue of out-of-turn probes.
	maxQueuedUrgentProbes = 16
	// minUrgentIntervalPerInstance is the shortest time between out-of-turn probes
	// of one instance. A burst of failed calls leads to a single probe.
	minUrgentIntervalPerInstance = 2 * time.Second
	// minUrgentInterval is the shortest time between any two out-of-turn probes.
	minUrgentInterval = 100 * time.Millisecond
	// maxPendingVerifications bounds the members whose reported death is still to
	// be checked by a probe.
	maxPendingVerifications = 512
	// unconfirmedFailures is how many probes of an instance in a row must fail
	// before it becomes suspect without confirmation by another node. Otherwise a
	// node that was cut off itself would suspect the whole fleet.
	unconfirmedFailures = 3
	// pauseFactor is the multiple of its timeout above which a probe's duration
	// indicates a pause of this process rather than a failure of the target.
	pauseFactor = 2
)

// probeSchedule holds the members that are still to be probed in this round, in
// random order, and the members whose reported death is to be verified first.
type probeSchedule struct {
	mutex    sync.Mutex
	order    []reference
	toVerify map[reference]struct{}
}

// probeLoop probes one member in each interval. It skips turns while the budget
// is overdrawn, which lowers the probe rate when probes cost more than usual.
func (r *Roster) probeLoop(ctx context.Context) {
	for sleep(ctx, jitter(r.config.ProbeInterval)) {
		r.metrics.members.Update(float64(r.table.liveCount()))
		r.metrics.pendingUpdates.Update(float64(r.queue.len()))
		if r.budget.balanceSeconds() < 0 {
			r.metrics.probesSkipped.Inc(1)
			continue
		}
		ref, found := r.nextProbeTarget()
		if !found {
			continue
		}
		r.probe(ctx, ref)
	}
}

// urgentLoop probes the instances that MarkUnreachable has queued.
func (r *Roster) urgentLoop(ctx context.Context) {
	last := map[reference]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case ref := <-r.urgentProbes:
			now := time.Now()
			if now.Sub(last[ref]) < minUrgentIntervalPerInstance {
				continue
			}
			for other, at := range last {
				if now.Sub(at) >= minUrgentIntervalPerInstance {
					delete(last, other)
				}
			}
			last[ref] = now
			if r.budget.balanceSeconds() < -1 {
				r.metrics.probesSkipped.Inc(1)
				continue
			}
			r.probe(ctx, ref)
			sleep(ctx, minUrgentInterval)
		}
	}
}

// MarkUnreachable requests an out-of-turn probe after a failed call. It does not
// block, and drops requests above the limits.
func (r *Roster) MarkUnreachable(id lagoonbarrow.InstanceID) {
	ref := referenceOf(id)
	if ref == r.selfRef {
		return
	}
	select {
	case r.urgentProbes <- ref:
	default:
	}
}

// scheduleVerification schedules a probe of a member that others report dead.
func (r *Roster) scheduleVerification(ref reference) {
	r.schedule.mutex.Lock()
	defer r.schedule.mutex.Unlock()
	if r.schedule.toVerify == nil {
		r.schedule.toVerify = map[reference]struct{}{}
	}
	if len(r.schedule.toVerify) < maxPendingVerifications {
		r.schedule.toVerify[ref] = struct{}{}
	}
}

// nextProbeTarget returns the next live member to probe. Members to verify come first.
func (r *Roster) nextProbeTarget() (reference, bool) {
	r.schedule.mutex.Lock()
	defer r.schedule.mutex.Unlock()
	for ref := range r.schedule.toVerify {
		delete(r.schedule.toVerify, ref)
		if found, ok := r.table.lookup(ref); ok && found.Status.live() {
			return ref, true
		}
	}
	for range 2 {
		for len(r.schedule.order) > 0 {
			last := len(r.schedule.order) - 1
			ref := r.schedule.order[last]
			r.schedule.order = r.schedule.order[:last]
			if found, ok := r.table.lookup(ref); ok && found.Status.live() {
				return ref, true
			}
		}
		r.schedule.order = r.table.liveOthers(r.schedule.order, r.selfRef)
		rand.Shuffle(len(r.schedule.order), func(i, j int) {
			r.schedule.order[i], r.schedule.order[j] = r.schedule.order[j], r.schedule.order[i]
		})
	}
	return 0, false
}

// probe probes a member directly and then through other members. If all of these
// probes fail, the member becomes suspect. It reports whether the member answered.
func (r *Roster) probe(ctx context.Context, ref reference) bool {
	target, found := r.table.lookup(ref)
	if !found {
		return false
	}
	r.metrics.probes.Inc(1)
	start := time.Now()
	err := r.probeDirect(ctx, target)
	if err == nil {
		return true
	}
	if errors.Is(err, lagoonbarrow.ErrShed) {
		// This node's own message limit was reached, which is no sign of a failed target.
		return false
	}
	if ctx.Err() != nil || r.processPaused(start, r.config.ProbeTimeout) {
		return false
	}
	if target.Status.Verdict != verdictAlive {
		// The member is already suspect, so indirect probes would add nothing.
		return false
	}
	r.metrics.probeFailures.Inc(1)
	reached, answered := r.probeIndirectly(ctx, target)
	if reached || ctx.Err() != nil || r.processPaused(start, 3*r.config.ProbeTimeout) {
		return reached
	}
	r.handleProbeFailure(target, answered)
	return false
}

// processPaused reports whether a step took so long that this process must have
// been stopped or starved in the meantime.
func (r *Roster) processPaused(start time.Time, bound time.Duration) bool {
	return time.Since(start) > pauseFactor*bound
}

// handleProbeFailure makes a member suspect with the status that it had when
// probed. This requires confirmation by another node, or unconfirmedFailures
// failures in a row.
func (r *Roster) handleProbeFailure(target record, confirmed bool) {
	ref := referenceOf(target.Instance.ID)
	r.table.mutex.Lock()
	m, found := r.table.members[ref]
	if found {
		m.failedProbes++
		confirmed = confirmed || m.failedProbes >= unconfirmedFailures
	}
	r.table.mutex.Unlock()
	if !found || !confirmed {
		return
	}
	claim := target.Status
	claim.Verdict = max(claim.Verdict, verdictSuspect)
	r.applyStatus(ref, claim, fromProbe)
	r.table.mutex.Lock()
	m.suspectedLocally = m.Status.Verdict == verdictSuspect
	r.table.mutex.Unlock()
}

// probeDirect sends one probe and merges the ack. It returns ErrNotFound if
// another instance answered at the target's address.
func (r *Roster) probeDirect(ctx context.Context, target record) error {
	ref := referenceOf(target.Instance.ID)
	ctx, cancel := context.WithTimeout(ctx, r.config.ProbeTimeout)
	defer cancel()
	start := time.Now()
	body := probeBody{
		Target: statusToWire(ref, target.Status),
		Sender: r.ownStatus(),
		Head:   r.localHead(),
	}
	selected, keys := r.selectUpdates(nil)
	body.Updates = selected
	ack, err := r.sendProbe(ctx, target.Instance, kindProbe, &body)
	if err != nil {
		return err
	}
	rtt := time.Since(start)
	r.queue.markSent(keys, r.table.liveCount())
	if ack.Sender.Reference != ref {
		// Another instance uses the address now, so the target is gone.
		r.mergeUpdates(fromUntrusted, ack.Updates)
		return errors.Wrap(lagoonbarrow.ErrNotFound, "roster: probe answered by another instance")
	}
	r.observeRTT(rtt)
	r.mergeAck(ctx, target.Instance, ack, rtt)
	return nil
}

// mergeAck merges the ack of the probed instance itself.
func (r *Roster) mergeAck(ctx context.Context, target lagoonbarrow.Instance, ack *ackBody, transit time.Duration) {
	source := r.sourceFor(target.ID)
	ref := referenceOf(target.ID)
	r.recordContact(ref)
	before := r.ownStatus()
	unknown := r.mergeUpdates(source, ack.Updates)
	if s, ok := ack.Sender.status(); ok && !r.applyStatus(ref, s, fromSelf) {
		// A new process runs at the same address, and its record may differ.
		unknown = append([]reference{ref}, unknown...)
	}
	r.reportRevision(target, ack.Head, transit)
	body := syncBody{
		Want: unknown[:min(len(unknown), maxWantedRecords)],
	}
	if ack.Want || before.Incarnation != r.ownStatus().Incarnation {
		own, _ := r.table.lookup(r.selfRef)
		body.Records = append(body.Records, toWire(own))
	}
	if len(body.Want) > 0 || len(body.Records) > 0 {
		r.followUp(ctx, target, &body)
	}
}

// followUp completes a probe. It sends this node's full record to a peer that
// lacks it or had this node as suspect or dead, and requests the records of
// unknown members that the ack named.
func (r *Roster) followUp(ctx context.Context, peer lagoonbarrow.Instance, body *syncBody) {
	answer, err := r.sendSync(ctx, peer, kindSync, body)
	if err != nil {
		return
	}
	r.mergeSync(r.sourceFor(peer.ID), answer)
}

// recordContact records that this node exchanged a message with a member.
func (r *Roster) recordContact(ref reference) {
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	m, found := r.table.members[ref]
	if !found {
		return
	}
	m.lastContact = time.Now()
	m.failedProbes = 0
}

// probeIndirectly has other members probe the target. answered reports whether
// any of them answered at all, even if the target did not.
func (r *Roster) probeIndirectly(ctx context.Context, target record) (reached, answered bool) {
	count := defaultIndirectProbers
	if r.budget.balanceSeconds() < 1 {
		// One confirmation is enough while many members fail at once.
		count = 1
	}
	helpers := r.table.sample(count, func(m *member) bool {
		return m.ref != r.selfRef && m.Instance.ID != target.Instance.ID && m.Status.live() && m.Status.Verdict == verdictAlive
	})
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.ProbeTimeout)
	defer cancel()
	results := make(chan *ackBody, len(helpers))
	pending := 0
	for _, helper := range helpers {
		submitted := r.submit(func() {
			results <- r.requestIndirectProbe(ctx, helper, target)
		})
		if submitted {
			pending++
		}
	}
	for range pending {
		select {
		case <-ctx.Done():
			return reached, answered
		case ack := <-results:
			answered = answered || ack != nil
			if ack == nil || ack.Reached == nil {
				continue
			}
			if s, ok := ack.Reached.status(); ok {
				r.applyStatus(referenceOf(target.Instance.ID), s, fromSelf)
			}
			return true, true
		}
	}
	return false, answered
}

func (r *Roster) requestIndirectProbe(ctx context.Context, helper, target record) *ackBody {
	body := probeBody{
		Target:  statusToWire(referenceOf(target.Instance.ID), target.Status),
		Address: target.Instance.Peer,
		Sender:  r.ownStatus(),
		Head:    r.localHead(),
	}
	ack, err := r.sendProbe(ctx, helper.Instance, kindProbeRequest, &body)
	if err != nil {
		return nil
	}
	return ack
}

// sendProbe sends a probe or probe request and decodes the ack.
func (r *Roster) sendProbe(ctx context.Context, to lagoonbarrow.Instance, kind string, body *probeBody) (*ackBody, error) {
	reply, err := r.send(ctx, to, kind, body)
	if err != nil {
		return nil, err
	}
	var ack ackBody
	if err := decode(reply, kindProbeAck, &ack); err != nil {
		return nil, err
	}
	return &ack, nil
}

// send sends a message and charges its bytes and half of the exchange's cost to
// the budget. The receiver charges the other half.
func (r *Roster) send(ctx context.Context, to lagoonbarrow.Instance, kind string, body any) (lagoonbarrow.Message, error) {
	message, err := frame.EncodeMessage(kind, body)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	r.charge(r.table.exchangeCost(referenceOf(to.ID))/2 + len(message.Body))
	reply, err := r.config.Transport.Send(ctx, to.Peer, message)
	return reply, errors.Wrapf(err, "roster: send %s", kind)
}

func (r *Roster) charge(bytes int) {
	r.budget.charge(bytes)
	r.metrics.bytes.Inc(int64(bytes))
}

// handleProbe answers a probe of this node. If the prober has this node as suspect
// or dead, the ack refutes it.
func (r *Roster) handleProbe(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*ackBody, error) {
	var body probeBody
	if err := decode(message, kindProbe, &body); err != nil {
		return nil, err
	}
	if claim, ok := body.Target.status(); ok && body.Target.Reference == r.selfRef {
		r.handleSelfClaim(claim)
	}
	ack := r.mergeProbe(from, &body)
	ack.Sender = r.ownStatus()
	return ack, nil
}

// mergeProbe merges the updates of a probe and prepares the ack.
func (r *Roster) mergeProbe(from lagoonbarrow.InstanceID, body *probeBody) *ackBody {
	ref := referenceOf(from)
	source := r.sourceFor(from)
	ack := &ackBody{
		Head: r.localHead(),
	}
	if s, ok := body.Sender.status(); ok && body.Sender.Reference == ref {
		ack.Want = !r.applyStatus(ref, s, fromSelf)
	}
	r.mergeUpdates(source, body.Updates)
	sender, known := r.table.lookup(ref)
	if !known {
		return ack
	}
	r.reportRevision(sender.Instance, body.Head, r.estimatedTransit())
	selected, keys := r.selectUpdates(&sender)
	ack.Updates = selected
	r.queue.markSent(keys, r.table.liveCount())
	return ack
}

// handleProbeRequest probes a target on behalf of another node.
func (r *Roster) handleProbeRequest(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*ackBody, error) {
	var body probeBody
	if err := decode(message, kindProbeRequest, &body); err != nil {
		return nil, err
	}
	if body.Address == "" {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "roster: probe request without address")
	}
	ack := r.mergeProbe(from, &body)
	ack.Updates = updates{}
	ack.Sender = r.ownStatus()
	ctx, cancel := context.WithTimeout(ctx, r.config.ProbeTimeout)
	defer cancel()
	probe := probeBody{
		Target: body.Target,
		Sender: r.ownStatus(),
		Head:   r.localHead(),
	}
	to := lagoonbarrow.Instance{
		Peer: body.Address,
	}
	reached, err := r.sendProbe(ctx, to, kindProbe, &probe)
	if err == nil && reached.Sender.Reference == body.Target.Reference {
		ack.Reached = &reached.Sender
	}
	return ack, nil
}

// localHead returns this node's contract revision in its message form.
func (r *Roster) localHead() headRevision {
	g := r.config.LocalRevision()
	head := headRevision{
		Revision:  g.Revision,
		AgeMillis: -1,
	}
	if g.HeadAge >= 0 {
		// The age is rounded up, so that passing it on never makes it smaller.
		head.AgeMillis = int64((g.HeadAge + time.Millisecond - 1) / time.Millisecond)
	}
	return head
}

// reportRevision reports a peer's revision to OnRevision, with the transit time added
// to its age.
func (r *Roster) reportRevision(peer lagoonbarrow.Instance, head headRevision, transit time.Duration) {
	g := RevisionGossip{
		Revision: head.Revision,
		HeadAge:  -1,
	}
	if head.AgeMillis >= 0 {
		g.HeadAge = time.Duration(head.AgeMillis)*time.Millisecond + transit
	}
	r.config.OnRevision(peer, g)
}

// observeRTT updates the moving average of probe round-trip times.
func (r *Roster) observeRTT(rtt time.Duration) {
	const weight = 8
	old := time.Duration(r.rtt.Load())
	r.rtt.Store(int64(old + (rtt-old)/weight))
}

// estimatedTransit estimates how long a message to this node was in transit: half
// of this node's own average round-trip time, and at least 1 ms.
func (r *Roster) estimatedTransit() time.Duration {
	return max(time.Duration(r.rtt.Load())/2, time.Millisecond)
}

// sleep waits for d and reports whether ctx is still valid.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// jitter varies an interval by 10 % either way. Nodes that start together then do
// not act in step.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
