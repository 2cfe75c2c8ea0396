package quota

import (
	"slices"
	"time"

	"lagoonbarrow"
)

const (
	// refusedDelay is how long a keeper that refuses connections counts as failed. A process
	// starts again within a second or two, and votes that are spread over several keepers refuse
	// requests within the rate.
	refusedDelay = 300 * time.Millisecond
	// timeoutsBeforeFailure is the number of consecutive timeouts after which a keeper counts
	// as failed.
	timeoutsBeforeFailure = 2
	// retryDelay is the time between messages of one group after a failure.
	retryDelay = 10 * time.Millisecond
	// noKeeperDelay is the time until the next attempt while no keeper is known.
	noKeeperDelay = 50 * time.Millisecond
	// maxTimedOut bounds the keepers whose timeouts are counted. Beyond it, all counts begin
	// again.
	maxTimedOut = 256
	// maxWaiting bounds the requests of one customer that wait for tokens. Beyond it they are
	// refused. At 35 requests a second a node has 6 of them at most.
	maxWaiting = 4096
	// uncertainInterval is the time between two messages while the keeper can't tell whether
	// a customer exceeds its rate.
	uncertainInterval = 20 * time.Millisecond
)

// groupKeys rank the keepers of the groups.
var groupKeys = [keeperGroups]lagoonbarrow.CustomerID{"group-0", "group-1", "group-2", "group-3"}

// customerLimits holds the customers of a configuration that have a limit.
type customerLimits map[lagoonbarrow.CustomerID]*lagoonbarrow.Customer

func limitsIn(configuration *lagoonbarrow.Configuration) customerLimits {
	limits := customerLimits{}
	for i := range configuration.Customers {
		if customer := &configuration.Customers[i]; customer.Limited() {
			limits[customer.ID] = customer
		}
	}
	return limits
}

// tokenNode is the state of a node that takes tokens from keepers: its tokens and votes. The
// caller passes the time and serializes the calls.
type tokenNode struct {
	process  processID
	version  lagoonbarrow.ConfigurationVersion
	limits   customerLimits
	groups   [keeperGroups]tokenGroup
	keepers  owners
	timeouts map[lagoonbarrow.InstanceID]int
	// size is the number of members that have not left.
	size     int
	sequence uint64
}

// verdict is the decision about a request.
type verdict int

// Decisions about a request.
const (
	verdictTaken verdict = iota
	verdictWaiting
	verdictRefused
	verdictUnlisted
)

// failure is what is known about a message without a reply.
type failure int

// Failures of a message.
const (
	// failureTimeout: no reply has arrived, or the connection broke.
	failureTimeout failure = iota
	// failureConnect: no connection to the keeper could be opened.
	failureConnect
	// failureRefused: the keeper's process is gone, or lives, counts its votes, and the network
	// refuses connections to it.
	failureRefused
	// failureLocal: the node itself could not send.
	failureLocal
)

// outgoing is a message to a keeper.
type outgoing struct {
	to      lagoonbarrow.Instance
	message *tokenRequest
	sentAt  moment
	// probe is set if the message only finds out whether a keeper can take over.
	probe bool
}

func newTokenNode(now moment, process processID) *tokenNode {
	n := &tokenNode{
		process:  process,
		timeouts: map[lagoonbarrow.InstanceID]int{},
		keepers: owners{
			failedUntil: map[lagoonbarrow.InstanceID]time.Time{},
		},
	}
	for i := range n.groups {
		n.groups[i] = tokenGroup{
			number:   i,
			balances: map[lagoonbarrow.CustomerID]*balance{},
			ballot:   newBallot(now),
		}
	}
	return n
}

// configure takes over the limits of the configuration in force. It returns the requests that
// wait for customers that have no limit in it.
func (n *tokenNode) configure(version lagoonbarrow.ConfigurationVersion, limits customerLimits) []*waiter {
	n.version = version
	n.limits = limits
	var refused []*waiter
	for i := range n.groups {
		group := &n.groups[i]
		group.limited = 0
		for id, held := range group.balances {
			if limits[id] == nil {
				refused = append(refused, held.waiting...)
				delete(group.balances, id)
			}
		}
	}
	for id := range limits {
		n.groups[groupOf(id)].limited++
	}
	return refused
}

// setMembers replaces the nodes that may be keepers, and returns those whose votes count.
func (n *tokenNode) setMembers(all []lagoonbarrow.Instance) map[lagoonbarrow.InstanceID]bool {
	members := map[lagoonbarrow.InstanceID]bool{}
	var ready []lagoonbarrow.Instance
	for i := range all {
		// A node whose server is not ready serves clients and votes. One that stops does not.
		if all[i].State != lagoonbarrow.StateLeft {
			members[all[i].ID] = true
		}
		if all[i].State == lagoonbarrow.StateReady {
			ready = append(ready, all[i])
		}
	}
	n.keepers.update(ready)
	n.size = len(members)
	return members
}

// group returns the group of a customer.
func (n *tokenNode) group(id lagoonbarrow.CustomerID) *tokenGroup {
	return &n.groups[groupOf(id)]
}

// balance returns the balance of a customer, which it creates if needed.
func (n *tokenNode) balance(id lagoonbarrow.CustomerID) *balance {
	group := n.group(id)
	held := group.balances[id]
	if held == nil {
		held = &balance{}
		group.balances[id] = held
	}
	return held
}

// take decides about a request of a customer. wake reports whether a message is needed now.
// After verdictWaiting the caller lets the request join those that wait.
func (n *tokenNode) take(now time.Duration, id lagoonbarrow.CustomerID) (decision verdict, wake bool) {
	if n.limits[id] == nil {
		return verdictUnlisted, false
	}
	held := n.balance(id)
	held.arrive(now)
	if len(held.waiting) == 0 && held.take(now) {
		return verdictTaken, held.low(now)
	}
	if now < held.holdUntil || len(held.waiting) >= maxWaiting {
		return verdictRefused, false
	}
	return verdictWaiting, now >= held.askAt
}

// join adds a request to those that wait for a token.
func (n *tokenNode) join(id lagoonbarrow.CustomerID, request *waiter) {
	held := n.balance(id)
	held.waiting = append(held.waiting, request)
}

// giveBack returns the token of a request that was not run.
func (n *tokenNode) giveBack(now time.Duration, id lagoonbarrow.CustomerID) bool {
	held := n.group(id).balances[id]
	if held == nil || !held.giveBack(now) {
		return false
	}
	held.serveWaiting(now)
	return true
}

// next returns the next message of a group, or none if it needs none or no keeper can be
// reached. A vote at another keeper is released before the first message to a new one.
func (n *tokenNode) next(now moment, number int) (outgoing, bool) {
	group := &n.groups[number]
	preferred, found := n.preferred(now, number)
	if !found {
		return outgoing{}, false
	}
	if inherited, found := n.inherited(now, number); found {
		message := n.newMessage(number)
		message.Release = true
		return outgoing{
			to:      inherited,
			message: message,
			sentAt:  now,
		}, true
	}
	target := group.ballot.choose(now, preferred, n.works(now, group.ballot.asked.ID))
	message := n.newMessage(number)
	previous, held := group.ballot.other(now, target.ID)
	if held && !n.failed(now, previous.ID) {
		message.Release = true
		target = previous
	} else {
		group.ballot.address(now, target, message, group.lifeOfVote(now.fast))
		group.addEntries(now.fast, target.ID, message)
	}
	return outgoing{
		to:      target,
		message: message,
		sentAt:  now,
	}, true
}

// probe returns a message to the preferred keeper of a group while another one is in use.
func (n *tokenNode) probe(now moment, number int) (outgoing, bool) {
	group := &n.groups[number]
	preferred, found := n.preferred(now, number)
	if !found || preferred.ID == group.ballot.asked.ID || group.ballot.hasProbed(now, preferred.ID) {
		return outgoing{}, false
	}
	return outgoing{
		to:      preferred,
		message: n.newMessage(number),
		sentAt:  now,
		probe:   true,
	}, true
}

// preferred returns the first keeper in rank that has not failed recently, if the group has
// customers with a limit.
func (n *tokenNode) preferred(now moment, number int) (lagoonbarrow.Instance, bool) {
	if n.groups[number].limited == 0 {
		return lagoonbarrow.Instance{}, false
	}
	n.keepers.dropExpiredFailures(timeOf(now))
	return n.keepers.ownerOf(timeOf(now), groupKeys[number])
}

// works reports whether a keeper is ready and has not failed recently.
func (n *tokenNode) works(now moment, id lagoonbarrow.InstanceID) bool {
	return !n.failed(now, id) && slices.ContainsFunc(n.keepers.candidates, func(c candidate) bool { return c.instance.ID == id })
}

func (n *tokenNode) failed(now moment, id lagoonbarrow.InstanceID) bool {
	return timeOf(now).Before(n.keepers.failedUntil[id])
}

func (n *tokenNode) newMessage(number int) *tokenRequest {
	n.sequence++
	return &tokenRequest{
		Process:  n.process,
		Group:    number,
		Sequence: n.sequence,
		Size:     min(n.size, maxMembers),
		Version:  n.version,
	}
}

// timeOf converts a moment for owners, which only compares times.
func timeOf(now moment) time.Time {
	return time.Unix(0, 0).Add(now.fast)
}

// delay returns the time until the next message of a group.
func (n *tokenNode) delay(now moment, number int) time.Duration {
	group := &n.groups[number]
	delay := group.renewalInterval(now.fast)
	if blocked := group.ballot.blockedFor(now); blocked > 0 {
		// The vote is given as soon as it is free.
		delay = min(delay, blocked)
	}
	for _, held := range group.balances {
		if len(held.waiting) > 0 {
			delay = min(delay, max(held.askAt-now.fast, held.holdUntil-now.fast, 0))
		}
	}
	return delay
}

// receive applies the reply to a message. It returns the time until the next message, and the
// requests that are refused.
func (n *tokenNode) receive(now moment, sent outgoing, reply *tokenReply) (time.Duration, []refusal) {
	group := &n.groups[sent.message.Group]
	delete(n.timeouts, sent.to.ID)
	group.ballot.receive(now, sent.to.ID, reply)
	if reply.Stopped {
		n.releaseInherited(now, group.number, sent.to.ID)
		n.keepers.markFailed(timeOf(now), sent.to.ID)
		return 0, nil
	}
	if sent.probe {
		return 0, nil
	}
	if sent.message.Release {
		if !reply.Voted {
			group.ballot.released(sent.to.ID)
			n.releaseInherited(now, group.number, sent.to.ID)
		}
		return 0, nil
	}
	refused := group.apply(now.fast, sent, reply)
	if !sent.message.Vote && group.ballot.free(now, sent.to.ID) {
		// The keeper's first reply has the time that a vote has to repeat.
		return 0, refused
	}
	delay := n.delay(now, group.number)
	if len(reply.Entries) == 0 && len(sent.message.Entries) > 0 {
		// The keeper has no room for this node, or has a later message of it.
		delay = max(delay, retryDelay)
	}
	return delay, refused
}

// fail notes that a message got no reply, and reports whether its keeper counts as failed now.
func (n *tokenNode) fail(now moment, sent outgoing, how failure) bool {
	id := sent.to.ID
	switch how {
	case failureLocal:
		return false
	case failureTimeout:
		if len(n.timeouts) >= maxTimedOut {
			clear(n.timeouts)
		}
		n.timeouts[id]++
		if n.timeouts[id] < timeoutsBeforeFailure {
			return false
		}
	case failureRefused:
		delete(n.timeouts, id)
		n.keepers.failedUntil[id] = timeOf(now).Add(refusedDelay)
		return true
	case failureConnect:
	}
	delete(n.timeouts, id)
	n.keepers.markFailed(timeOf(now), id)
	return true
}
