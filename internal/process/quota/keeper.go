package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

const (
	// keeperGroups is the number of groups of customers, each with a keeper of its own.
	keeperGroups = 4
	// voteLife is how long a vote counts after the keeper's time that it echoes.
	voteLife = 1500 * time.Millisecond
	// busyVoteLife is how long the vote of a node with demand counts. It outlasts the loss of one
	// message.
	busyVoteLife = 900 * time.Millisecond
	// sizeHold is how long the number of members stays at its former value after it has
	// become smaller. Nodes learn of changes at different times, and a store restored from
	// an old copy lacks members until they have written their rows again.
	sizeHold = 10 * time.Second
	// maxReturnAge bounds the age of the timestamp in a message whose returned tokens are
	// accepted. Returns that arrive late could exceed the tolerance of a window.
	maxReturnAge = 750 * time.Millisecond
	// recordLife is how long the record of a node that is no member stays, so that its late
	// messages are recognized.
	recordLife = 10 * time.Second
	// spareRecords bounds the records of nodes that are no members.
	spareRecords = 64
	// freshTime is the time after the first vote in which a bucket may lack tokens although
	// the customer is within its rate.
	freshTime = time.Second
	// surePressure is the demand, as a multiple of the rate, above which a customer exceeds
	// its rate whatever the bucket lacks.
	surePressure = 2
)

// groupOf returns the group of a customer.
func groupOf(customer lagoonbarrow.CustomerID) int {
	return int(xxhash.Sum64String(string(customer)) % keeperGroups)
}

// voteRecord is what a keeper knows of one node in one group.
type voteRecord struct {
	process  processID
	sequence uint64
	// former is the process before, whose late messages don't count.
	former processID
	// until is the keeper's fast time up to which the vote counts.
	until time.Duration
	seen  time.Duration
	// size is the number of members that the node knows.
	size int
	// counted is set while the vote is part of the share.
	counted bool
}

// keptGroup holds the votes and the accounts of one group.
type keptGroup struct {
	records  map[lagoonbarrow.InstanceID]*voteRecord
	accounts map[lagoonbarrow.CustomerID]*customerAccount
	votes    int
	// reportedSize is the largest number of members that a voting node knows.
	reportedSize int
	// share is the fraction of the rates that the votes are worth.
	share float64
	// filled is the sum of share over time, in seconds.
	filled float64
	// nextExpiry is a lower bound on when the next vote expires.
	nextExpiry time.Duration
	// since is when the share became positive.
	since time.Duration
}

// keeper holds the accounts of customers. It grants from a bucket no more than the fraction
// of the rate that its votes are worth, so that several keepers of a group grant the rate
// once together. It addresses the loads of a failed, frozen or doubled keeper. The caller
// passes the time and serializes the calls.
type keeper struct {
	process processID
	// members holds the members of the directory that have not left.
	members  map[lagoonbarrow.InstanceID]bool
	heldSize int
	// heldAt is the slow time at which there were last heldSize members.
	heldAt  time.Duration
	at      moment
	groups  [keeperGroups]keptGroup
	stopped bool
	limits  customerLimits
}

func newKeeper(process processID) *keeper {
	k := &keeper{
		process: process,
		members: map[lagoonbarrow.InstanceID]bool{},
		limits:  customerLimits{},
	}
	for i := range k.groups {
		k.groups[i].records = map[lagoonbarrow.InstanceID]*voteRecord{}
		k.groups[i].accounts = map[lagoonbarrow.CustomerID]*customerAccount{}
	}
	return k
}

// setMembers replaces the members whose votes count.
func (k *keeper) setMembers(now moment, members map[lagoonbarrow.InstanceID]bool) {
	k.advance(now)
	k.members = members
	k.updateSize(now)
	for i := range k.groups {
		k.groups[i].recount(k)
	}
}

// updateSize takes over a larger number of members at once, and a smaller one after sizeHold.
func (k *keeper) updateSize(now moment) bool {
	previous := k.heldSize
	if len(k.members) >= k.heldSize || now.slow-k.heldAt >= sizeHold {
		k.heldSize = len(k.members)
		k.heldAt = now.slow
	}
	return k.heldSize != previous
}

// configure applies the limits of the configuration in force. The accounts of customers that
// have no limit in it are dropped.
func (k *keeper) configure(now moment, limits customerLimits) {
	k.advance(now)
	k.limits = limits
	for i := range k.groups {
		group := &k.groups[i]
		for id, a := range group.accounts {
			a.settle(group.filled, group.share)
			if limits[id] == nil {
				delete(group.accounts, id)
			}
		}
	}
	for id, customer := range limits {
		group := &k.groups[groupOf(id)]
		a := group.accounts[id]
		if a == nil {
			a = &customerAccount{
				filledAt: group.filled,
			}
			group.accounts[id] = a
		}
		a.configure(customer, group.share)
	}
}

// advance counts the votes up to now.
func (k *keeper) advance(now moment) {
	from := k.at
	k.at = now
	for i := range k.groups {
		k.groups[i].advance(k, from)
	}
	if k.updateSize(now) {
		for i := range k.groups {
			k.groups[i].recount(k)
		}
	}
}

// advance adds the shares over the time since from, in which votes may have expired.
func (g *keptGroup) advance(k *keeper, from moment) {
	elapsed := k.at.slow - from.slow
	if g.votes == 0 {
		return
	}
	if k.at.fast < g.nextExpiry {
		g.filled += g.share * elapsed.Seconds()
		return
	}
	worth := g.share / float64(g.votes)
	for _, record := range g.records {
		if record.counted {
			g.filled += worth * min(max(record.until-from.fast, 0), elapsed).Seconds()
		}
	}
	g.recount(k)
}

// recount counts the valid votes again, and drops the records of nodes that are gone.
func (g *keptGroup) recount(k *keeper) {
	g.votes = 0
	g.reportedSize = 0
	g.nextExpiry = k.at.fast + voteLife
	for id, record := range g.records {
		record.counted = k.members[id] && record.until > k.at.fast
		if record.counted {
			g.votes++
			g.reportedSize = max(g.reportedSize, record.size)
			g.nextExpiry = min(g.nextExpiry, record.until)
		} else if !k.members[id] && k.at.fast-record.seen > recordLife {
			delete(g.records, id)
		}
	}
	g.updateShare(k)
}

// updateShare applies the number of votes. Buckets are settled before their capacity becomes
// smaller, because a share that falls and rises again must not leave them full.
func (g *keptGroup) updateShare(k *keeper) {
	share := 0.0
	if size := max(k.heldSize, g.reportedSize, g.votes); size > 0 {
		share = float64(g.votes) / float64(size)
	}
	if share < g.share {
		for _, a := range g.accounts {
			a.settle(g.filled, share)
		}
	}
	if g.share == 0 && share > 0 {
		g.since = k.at.fast
	}
	g.share = share
}

// handle processes the message of a node and returns the reply.
func (k *keeper) handle(now moment, from lagoonbarrow.InstanceID, received *tokenRequest) *tokenReply {
	reply := &tokenReply{
		Process: k.process,
		Time:    now.fast,
		Stopped: k.stopped,
	}
	if k.stopped {
		return reply
	}
	k.advance(now)
	group := &k.groups[received.Group]
	record := group.record(k, from)
	if record == nil || received.Process == record.former || (record.process == received.Process && received.Sequence <= record.sequence) {
		return reply
	}
	if record.process != received.Process {
		record.former = record.process
	}
	record.process = received.Process
	record.sequence = received.Sequence
	record.seen = now.fast
	group.vote(k, from, record, received)
	reply.Voted = record.counted
	reply.Share = group.share
	current := received.KeeperProcess == k.process && now.fast-received.Echo < maxReturnAge && k.members[from]
	for i := range received.Entries {
		entry := &received.Entries[i]
		a := group.accounts[entry.Customer]
		if a == nil {
			reply.Entries = append(reply.Entries, replyEntry{
				Customer: entry.Customer,
				Unknown:  true,
			})
			continue
		}
		reply.Entries = append(reply.Entries, group.serve(now.fast, a, entry, current))
	}
	return reply
}

// record returns the record of a node, or nil for a node that is no member when there are
// too many of them.
func (g *keptGroup) record(k *keeper, from lagoonbarrow.InstanceID) *voteRecord {
	record := g.records[from]
	if record == nil && (k.members[from] || len(g.records) < len(k.members)+spareRecords) {
		record = &voteRecord{}
		g.records[from] = record
	}
	return record
}

// vote counts or removes the vote in a message.
func (g *keptGroup) vote(k *keeper, from lagoonbarrow.InstanceID, record *voteRecord, received *tokenRequest) {
	switch {
	case received.Release:
		record.until = 0
		if record.counted {
			g.recount(k)
		}
	case received.Vote && received.KeeperProcess == k.process && received.Echo <= k.at.fast:
		record.until = max(record.until, received.Echo+voteLife)
		larger := received.Size > record.size
		record.size = received.Size
		if record.counted && !larger || record.until <= k.at.fast || !k.members[from] {
			return
		}
		if !record.counted {
			record.counted = true
			g.votes++
			g.nextExpiry = min(g.nextExpiry, record.until)
			if g.votes == 1 {
				g.nextExpiry = record.until
			}
		}
		g.reportedSize = max(g.reportedSize, record.size)
		g.updateShare(k)
	}
}

// serve grants tokens of one account. Returned tokens count only in a current message.
func (g *keptGroup) serve(now time.Duration, a *customerAccount, entry *requestEntry, current bool) replyEntry {
	a.settle(g.filled, g.share)
	a.demand.add(now, float64(entry.Arrived))
	a.used.add(now, -float64(entry.Expired))
	if current && entry.Returned > 0 {
		a.restore(now, entry.Returned, g.share)
	}
	granted, wait := a.grant(now, g.share, entry.Waiting, entry.Ahead)
	pressure := min(a.pressure(now, g.share), maxPressure)
	return replyEntry{
		Customer: entry.Customer,
		Granted:  granted,
		Wait:     wait,
		Usage:    a.used.perSecond(now) / a.rate,
		Pressure: pressure,
		Fresh:    now-g.since < freshTime && pressure < surePressure,
	}
}

// stop makes the keeper grant nothing and count no votes any more.
func (k *keeper) stop(now moment) {
	k.advance(now)
	k.stopped = true
	for i := range k.groups {
		clear(k.groups[i].records)
		k.groups[i].recount(k)
	}
}

// votesHeld returns the number of valid votes in all groups.
func (k *keeper) votesHeld() int {
	votes := 0
	for i := range k.groups {
		votes += k.groups[i].votes
	}
	return votes
}
