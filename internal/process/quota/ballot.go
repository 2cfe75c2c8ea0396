package quota

import (
	"time"

	"lagoonbarrow"
)

// probeLife is how long the reply of a keeper shows that it can take over.
const probeLife = time.Second

// keeperReply is the time that a keeper has stated in its last reply.
type keeperReply struct {
	keeper  lagoonbarrow.InstanceID
	process processID
	time    time.Duration
	// receivedAt is the slow time at which the reply arrived, which is later than the keeper's.
	receivedAt time.Duration
}

// heldVote is a vote that a keeper may count.
type heldVote struct {
	instance lagoonbarrow.Instance
	process  processID
	// until is the slow time from which no keeper counts it.
	until time.Duration
}

// ballot is a node's vote in one group. It is given to one keeper at a time, which keeps the
// grants of several keepers together within the rate. The caller passes the time and
// serializes the calls.
type ballot struct {
	// asked is the keeper in use.
	asked lagoonbarrow.Instance
	// known is the last reply of the keeper in use.
	known keeperReply
	// probed is the last reply of the keeper that is to replace it.
	probed keeperReply
	given  heldVote
	// releasedBy holds the keepers that have no vote of an earlier process of the node.
	releasedBy map[lagoonbarrow.InstanceID]bool
}

// newBallot returns the ballot of a new process. An earlier process of the node may have
// given its vote to any keeper.
func newBallot(now moment) ballot {
	return ballot{
		given: heldVote{
			until: now.slow + voteLife,
		},
	}
}

// free reports whether the vote may be given to a keeper.
func (b *ballot) free(now moment, to lagoonbarrow.InstanceID) bool {
	return now.slow >= b.given.until || (b.given.instance.ID == to && b.given.process == b.known.process)
}

// blockedFor returns the time until the vote can be given to the keeper in use, which most
// nodes wait for at the same time after a failure.
func (b *ballot) blockedFor(now moment) time.Duration {
	if b.free(now, b.asked.ID) {
		return 0
	}
	return b.given.until - now.slow
}

// other returns the keeper that may still count the vote if it is not the given one.
func (b *ballot) other(now moment, to lagoonbarrow.InstanceID) (lagoonbarrow.Instance, bool) {
	held := now.slow < b.given.until && b.given.instance.ID != "" && b.given.instance.ID != to
	return b.given.instance, held
}

// choose returns the keeper to use. The preferred one replaces one that works only after it
// has replied to a probe, as it may still be frozen.
func (b *ballot) choose(now moment, preferred lagoonbarrow.Instance, works bool) lagoonbarrow.Instance {
	if b.asked.ID == preferred.ID || (works && !b.hasProbed(now, preferred.ID)) {
		return b.asked
	}
	b.asked = preferred
	if b.hasProbed(now, preferred.ID) {
		b.known = b.probed
	}
	return preferred
}

// hasProbed reports whether a keeper has replied to a probe recently.
func (b *ballot) hasProbed(now moment, keeper lagoonbarrow.InstanceID) bool {
	return b.probed.keeper == keeper && now.slow-b.probed.receivedAt < probeLife
}

// address adds what the node has to echo to a message, and the vote if it is free. The vote counts
// for life after the keeper's time. Keepers count each for voteLife after the time that it echoes,
// so that a shorter one echoes an earlier time.
func (b *ballot) address(now moment, to lagoonbarrow.Instance, message *tokenRequest, life time.Duration) {
	if b.known.keeper != to.ID {
		return
	}
	message.KeeperProcess = b.known.process
	message.Echo = b.known.time
	echo := max(b.known.time-(voteLife-life), 0)
	until := b.known.receivedAt + voteLife - (b.known.time - echo)
	if !b.free(now, to.ID) || now.slow >= until {
		return
	}
	message.Vote = true
	message.Echo = echo
	b.given = heldVote{
		instance: to,
		process:  b.known.process,
		// An earlier vote may count for longer.
		until: max(until, b.given.until),
	}
}

// receive notes the reply of a keeper. A stopped keeper counts no votes, and one whose name
// another process has now is gone.
func (b *ballot) receive(now moment, from lagoonbarrow.InstanceID, reply *tokenReply) {
	if b.given.instance.ID == from && (reply.Stopped || reply.Process != b.given.process) {
		b.given = heldVote{}
	}
	received := keeperReply{
		keeper:     from,
		process:    reply.Process,
		time:       reply.Time,
		receivedAt: now.slow,
	}
	if b.asked.ID == from {
		b.known = received
	} else {
		b.probed = received
	}
}

// released notes that a keeper counts the vote no more.
func (b *ballot) released(from lagoonbarrow.InstanceID) {
	if b.given.instance.ID == from {
		b.given = heldVote{}
	}
}
