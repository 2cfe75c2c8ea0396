package roster

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	// urgentProbes bounds the out-of-turn probes that wait.
	urgentProbes = 16
	// urgentPerInstance is the shortest time between out-of-turn probes of one
	// instance, so that a burst of failed calls leads to one probe.
	urgentPerInstance = 2 * time.Second
	// urgentGap is the shortest time between any two out-of-turn probes.
	urgentGap = 100 * time.Millisecond
	// verifyWaiting bounds the members whose reported death is to be checked.
	verifyWaiting = 512
	// isolatedFailures is how many probes of an instance in a row must fail
	// before it is suspect if no other node confirmed the failure. A node that
	// was cut off itself would otherwise suspect the whole fleet.
	isolatedFailures = 3
	// pausedFactor: a probe that took longer than this many times its timeout
	// says more about a pause of this process than about the target.
	pausedFactor = 2
)

// rotation is the order in which members are probed.
type rotation struct {
	mutex  sync.Mutex
	order  []reference
	verify map[reference]struct{}
}

// probeLoop probes one member an interval. It skips turns while the budget is
// used up, so that the interval grows when probes cost more than usual.
func (r *Roster) probeLoop(ctx context.Context) {
	for sleep(ctx, jitter(r.config.ProbeInterval)) {
		r.scope.members.Update(float64(r.table.size()))
		r.scope.pending.Update(float64(r.queue.len()))
		if r.budget.left() < 0 {
			r.scope.probesPaused.Inc(1)
			continue
		}
		ref, found := r.nextTarget()
		if !found {
			continue
		}
		r.probe(ctx, ref)
	}
}

// urgentLoop probes instances that MarkUnreachable named.
func (r *Roster) urgentLoop(ctx context.Context) {
	last := map[reference]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case ref := <-r.urgent:
			now := time.Now()
			if now.Sub(last[ref]) < urgentPerInstance {
				continue
			}
			for other, at := range last {
				if now.Sub(at) >= urgentPerInstance {
					delete(last, other)
				}
			}
			last[ref] = now
			if r.budget.left() < -1 {
				r.scope.probesPaused.Inc(1)
				continue
			}
			r.probe(ctx, ref)
			sleep(ctx, urgentGap)
		}
	}
}

// MarkUnreachable asks for an out-of-turn probe after a failed call. It does
// not block; requests over the limits are dropped.
func (r *Roster) MarkUnreachable(id lagoonbarrow.InstanceID) {
	ref := referenceOf(id)
	if ref == r.selfRef {
		return
	}
	select {
	case r.urgent <- ref:
	default:
	}
}

// verify asks for a probe of a member that others hold dead.
func (r *Roster) verify(ref reference) {
	r.rotate.mutex.Lock()
	defer r.rotate.mutex.Unlock()
	if r.rotate.verify == nil {
		r.rotate.verify = map[reference]struct{}{}
	}
	if len(r.rotate.verify) < verifyWaiting {
		r.rotate.verify[ref] = struct{}{}
	}
}

// nextTarget returns the next live member, members to verify first.
func (r *Roster) nextTarget() (reference, bool) {
	r.rotate.mutex.Lock()
	defer r.rotate.mutex.Unlock()
	for ref := range r.rotate.verify {
		delete(r.rotate.verify, ref)
		if found, ok := r.table.lookup(ref); ok && found.Status.live() {
			return ref, true
		}
	}
	for range 2 {
		for len(r.rotate.order) > 0 {
			last := len(r.rotate.order) - 1
			ref := r.rotate.order[last]
			r.rotate.order = r.rotate.order[:last]
			if found, ok := r.table.lookup(ref); ok && found.Status.live() {
				return ref, true
			}
		}
		r.rotate.order = r.table.liveOthers(r.rotate.order, r.selfRef)
		rand.Shuffle(len(r.rotate.order), func(i, j int) {
			r.rotate.order[i], r.rotate.order[j] = r.rotate.order[j], r.rotate.order[i]
		})
	}
	return 0, false
}

// probe probes a member directly and then through other members, and makes it
// suspect if all of that fails. It reports whether the member answered.
func (r *Roster) probe(ctx context.Context, ref reference) bool {
	target, found := r.table.lookup(ref)
	if !found {
		return false
	}
	r.scope.probes.Inc(1)
	start := time.Now()
	err := r.probeDirect(ctx, target)
	if err == nil {
		return true
	}
	if errors.Is(err, lagoonbarrow.ErrShed) {
		// This node's own limit of messages; it says nothing of the target.
		return false
	}
	if ctx.Err() != nil || r.paused(start, r.config.ProbeTimeout) {
		return false
	}
	if target.Status.Verdict != verdictAlive {
		// The suspicion is known; helpers would only repeat the failure.
		return false
	}
	r.scope.probeFails.Inc(1)
	reached, answered := r.probeThroughOthers(ctx, target)
	if reached || ctx.Err() != nil || r.paused(start, 3*r.config.ProbeTimeout) {
		return reached
	}
	r.probeFailed(target, answered)
	return false
}

// paused reports that a step took so long that this process must have been
// stopped or starved meanwhile.
func (r *Roster) paused(start time.Time, bound time.Duration) bool {
	return time.Since(start) > pausedFactor*bound
}

// probeFailed makes a member suspect at the status it was probed at.
func (r *Roster) probeFailed(target record, confirmed bool) {
	ref := referenceOf(target.Instance.ID)
	r.table.mutex.Lock()
	m, found := r.table.members[ref]
	if found {
		m.failures++
		confirmed = confirmed || m.failures >= isolatedFailures
	}
	r.table.mutex.Unlock()
	if !found || !confirmed {
		return
	}
	claim := target.Status
	claim.Verdict = max(claim.Verdict, verdictSuspect)
	r.applyStatus(ref, claim, fromProbe)
	r.table.mutex.Lock()
	m.suspectedHere = m.Status.Verdict == verdictSuspect
	r.table.mutex.Unlock()
}

// probeDirect sends one probe and merges the answer. It returns ErrNotFound if
// another instance answered at the target's address.
func (r *Roster) probeDirect(ctx context.Context, target record) error {
	ref := referenceOf(target.Instance.ID)
	ctx, cancel := context.WithTimeout(ctx, r.config.ProbeTimeout)
	defer cancel()
	start := time.Now()
	body := probeBody{
		Target: statusToWire(ref, target.Status),
		Sender: r.ownStatus(),
		Head:   r.head(),
	}
	gossip, keys := r.news(nil)
	body.News = gossip
	ack, err := r.exchange(ctx, target.Instance, kindProbe, &body)
	if err != nil {
		return err
	}
	rtt := time.Since(start)
	r.queue.sent(keys, r.table.size())
	if ack.Sender.Reference != ref {
		// Another instance took over the address, so the target is gone.
		r.takeNews(fromStranger, ack.News)
		return errors.Wrap(lagoonbarrow.ErrNotFound, "roster: probe answered by another instance")
	}
	r.observeRTT(rtt)
	r.takeAck(ctx, target.Instance, ack, rtt)
	return nil
}

// takeAck merges the answer of the probed instance itself.
func (r *Roster) takeAck(ctx context.Context, target lagoonbarrow.Instance, ack *ackBody, transit time.Duration) {
	how := r.evidenceOf(target.ID)
	ref := referenceOf(target.ID)
	r.heard(ref)
	before := r.ownStatus()
	unknown := r.takeNews(how, ack.News)
	if s, ok := ack.Sender.status(); ok && !r.applyStatus(ref, s, fromSelf) {
		// A new process at the same address; its record may differ.
		unknown = append([]reference{ref}, unknown...)
	}
	r.gossipFrom(target, ack.Head, transit)
	body := syncBody{
		Want: unknown[:min(len(unknown), wantLimit)],
	}
	if ack.Want || before.Incarnation != r.ownStatus().Incarnation {
		own, _ := r.table.lookup(r.selfRef)
		body.Records = append(body.Records, toWire(own))
	}
	if len(body.Want) > 0 || len(body.Records) > 0 {
		r.followUp(ctx, target, &body)
	}
}

// followUp completes a probe: it sends this node's full record to a peer that
// does not know it or held it suspect or dead, and asks for records of members
// that the answer named and this node does not know.
func (r *Roster) followUp(ctx context.Context, peer lagoonbarrow.Instance, body *syncBody) {
	answer, err := r.sendSync(ctx, peer, kindSync, body)
	if err != nil {
		return
	}
	r.takeSync(r.evidenceOf(peer.ID), answer)
}

// heard notes that a member answered this node.
func (r *Roster) heard(ref reference) {
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	m, found := r.table.members[ref]
	if !found {
		return
	}
	m.contact = time.Now()
	m.failures = 0
}

// probeThroughOthers asks other members to probe the target. answered reports
// whether any of them answered at all.
func (r *Roster) probeThroughOthers(ctx context.Context, target record) (reached, answered bool) {
	count := defaultIndirectProbers
	if r.budget.left() < 1 {
		// One confirmation is enough while many members fail at once.
		count = 1
	}
	helpers := r.table.sample(count, func(m *member) bool {
		return m.ref != r.selfRef && m.Instance.ID != target.Instance.ID && m.Status.live() && m.Status.Verdict == verdictAlive
	})
	ctx, cancel := context.WithTimeout(ctx, 2*r.config.ProbeTimeout)
	defer cancel()
	results := make(chan *ackBody, len(helpers))
	asked := 0
	for _, helper := range helpers {
		taken := r.submit(func() {
			results <- r.probeThrough(ctx, helper, target)
		})
		if taken {
			asked++
		}
	}
	for range asked {
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

func (r *Roster) probeThrough(ctx context.Context, helper, target record) *ackBody {
	body := probeBody{
		Target:  statusToWire(referenceOf(target.Instance.ID), target.Status),
		Address: target.Instance.Peer,
		Sender:  r.ownStatus(),
		Head:    r.head(),
	}
	ack, err := r.exchange(ctx, helper.Instance, kindProbeRequest, &body)
	if err != nil {
		return nil
	}
	return ack
}

// exchange sends a probe or probe request and decodes the answer.
func (r *Roster) exchange(ctx context.Context, to lagoonbarrow.Instance, kind string, body *probeBody) (*ackBody, error) {
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

// send sends a message and charges its bytes and half of the exchange's cost;
// the other half is charged by the receiver.
func (r *Roster) send(ctx context.Context, to lagoonbarrow.Instance, kind string, body any) (lagoonbarrow.Message, error) {
	message, err := encode(kind, body)
	if err != nil {
		return lagoonbarrow.Message{}, err
	}
	r.charge(r.table.connectionCost(referenceOf(to.ID))/2 + len(message.Body))
	reply, err := r.config.Transport.Send(ctx, to.Peer, message)
	return reply, errors.Wrapf(err, "roster: send %s", kind)
}

func (r *Roster) charge(bytes int) {
	r.budget.charge(bytes)
	r.scope.bytes.Inc(int64(bytes))
}

// handleProbe answers a probe of this node.
func (r *Roster) handleProbe(from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*ackBody, error) {
	var body probeBody
	if err := decode(message, kindProbe, &body); err != nil {
		return nil, err
	}
	if claim, ok := body.Target.status(); ok && body.Target.Reference == r.selfRef {
		r.hearOfSelf(claim)
	}
	ack := r.takeProbe(from, &body)
	ack.Sender = r.ownStatus()
	return ack, nil
}

// takeProbe merges the news of a probe and prepares the answer.
func (r *Roster) takeProbe(from lagoonbarrow.InstanceID, body *probeBody) *ackBody {
	ref := referenceOf(from)
	how := r.evidenceOf(from)
	ack := &ackBody{
		Head: r.head(),
	}
	if s, ok := body.Sender.status(); ok && body.Sender.Reference == ref {
		ack.Want = !r.applyStatus(ref, s, fromSelf)
	}
	r.takeNews(how, body.News)
	sender, known := r.table.lookup(ref)
	if !known {
		return ack
	}
	r.gossipFrom(sender.Instance, body.Head, r.transit())
	gossip, keys := r.news(&sender)
	ack.News = gossip
	r.queue.sent(keys, r.table.size())
	return ack
}

// handleProbeRequest probes the target for another node.
func (r *Roster) handleProbeRequest(ctx context.Context, from lagoonbarrow.InstanceID, message lagoonbarrow.Message) (*ackBody, error) {
	var body probeBody
	if err := decode(message, kindProbeRequest, &body); err != nil {
		return nil, err
	}
	if body.Address == "" {
		return nil, errors.Wrap(lagoonbarrow.ErrInvalid, "roster: probe request without address")
	}
	ack := r.takeProbe(from, &body)
	ack.News = news{}
	ack.Sender = r.ownStatus()
	ctx, cancel := context.WithTimeout(ctx, r.config.ProbeTimeout)
	defer cancel()
	probe := probeBody{
		Target: body.Target,
		Sender: r.ownStatus(),
		Head:   r.head(),
	}
	to := lagoonbarrow.Instance{
		Peer: body.Address,
	}
	reached, err := r.exchange(ctx, to, kindProbe, &probe)
	if err == nil && reached.Sender.Reference == body.Target.Reference {
		ack.Reached = &reached.Sender
	}
	return ack, nil
}

// head returns this node's contract revision for a message.
func (r *Roster) head() headGossip {
	g := r.config.LocalGossip()
	head := headGossip{
		Revision:  g.Revision,
		AgeMillis: -1,
	}
	if g.HeadAge >= 0 {
		// Rounded up, so that an age never shrinks on its way.
		head.AgeMillis = int64((g.HeadAge + time.Millisecond - 1) / time.Millisecond)
	}
	return head
}

// gossipFrom passes a peer's revision on, with the transit time added to its age.
func (r *Roster) gossipFrom(peer lagoonbarrow.Instance, head headGossip, transit time.Duration) {
	g := Gossip{
		Revision: head.Revision,
		HeadAge:  -1,
	}
	if head.AgeMillis >= 0 {
		g.HeadAge = time.Duration(head.AgeMillis)*time.Millisecond + transit
	}
	r.config.OnGossip(peer, g)
}

// observeRTT keeps a moving average of the round trips of probes.
func (r *Roster) observeRTT(rtt time.Duration) {
	const weight = 8
	old := time.Duration(r.rtt.Load())
	r.rtt.Store(int64(old + (rtt-old)/weight))
}

// transit estimates how long a message to this node was on its way: half of
// this node's own average round trip, and at least 1 ms.
func (r *Roster) transit() time.Duration {
	return max(time.Duration(r.rtt.Load())/2, time.Millisecond)
}

// sleep waits and reports whether ctx is still valid.
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

// jitter spreads an interval by 10 % either way, so that nodes that were
// started together do not act together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
