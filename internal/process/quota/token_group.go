package quota

import (
	"time"

	"lagoonbarrow"
)

const (
	// refreshInterval is the time between two messages without needs, which renew the vote.
	refreshInterval = 500 * time.Millisecond
	// busyRefreshInterval is refreshInterval for a vote that counts for busyVoteLife.
	busyRefreshInterval = 200 * time.Millisecond
	// minBusyDemand is the demand of the customers of a group, in requests per second, from which
	// the node's vote counts for busyVoteLife.
	minBusyDemand = 1
	// minKnownShare is the share of the votes below which a keeper's lack of tokens doesn't
	// show that the customer exceeds its rate.
	minKnownShare = 0.5
)

// tokenGroup is a node's side of one group of customers.
type tokenGroup struct {
	number int
	// limited is the number of customers with a limit. Without any, no messages are sent.
	limited  int
	balances map[lagoonbarrow.CustomerID]*balance
	ballot   ballot
}

// addEntries adds what the customers of the group need.
func (g *tokenGroup) addEntries(now time.Duration, to lagoonbarrow.InstanceID, message *tokenRequest) {
	for id, held := range g.balances {
		if len(message.Entries) == maxEntries {
			return
		}
		if entry, needed := held.entry(now, id, to, message.KeeperProcess); needed {
			message.Entries = append(message.Entries, entry)
		} else if held.idle(now) {
			delete(g.balances, id)
		}
	}
}

// busy reports whether customers of the group send requests to the node, which a failure of the
// keeper would delay.
func (g *tokenGroup) busy(now time.Duration) bool {
	demand := 0.0
	for _, held := range g.balances {
		demand += held.demand.perSecond(now)
	}
	return demand >= minBusyDemand
}

// lifeOfVote returns how long the node's vote counts. A shorter life costs more messages, and lets
// the node vote for another keeper sooner after a failure.
func (g *tokenGroup) lifeOfVote(now time.Duration) time.Duration {
	if g.busy(now) {
		return busyVoteLife
	}
	return voteLife
}

// renewalInterval returns the time between two messages that renew the vote.
func (g *tokenGroup) renewalInterval(now time.Duration) time.Duration {
	if g.busy(now) {
		return busyRefreshInterval
	}
	return refreshInterval
}

// refusal is a request that a reply refuses.
type refusal struct {
	customer lagoonbarrow.CustomerID
	held     *balance
	requests []*waiter
}

// apply adds the granted tokens and serves the waiting requests. Tokens are valid from when
// the message was sent.
func (g *tokenGroup) apply(now time.Duration, sent outgoing, reply *tokenReply) []refusal {
	asked := map[lagoonbarrow.CustomerID]int{}
	for i := range sent.message.Entries {
		entry := &sent.message.Entries[i]
		asked[entry.Customer] = entry.Waiting + entry.Ahead
	}
	var refused []refusal
	for i := range reply.Entries {
		said := &reply.Entries[i]
		held := g.balances[said.Customer]
		most, found := asked[said.Customer]
		if held == nil || !found {
			continue
		}
		delete(asked, said.Customer)
		held.add(now, tokenBatch{
			keeper:  sent.to.ID,
			process: reply.Process,
			expires: sent.sentAt.fast + tokenLife,
			tokens:  min(said.Granted, most),
		})
		held.serveWaiting(now)
		requests := held.apply(now, said, standing{
			keeper:    sent.to.ID,
			repliedAt: now,
			uncertain: reply.Share < minKnownShare,
		})
		if len(requests) > 0 {
			refused = append(refused, refusal{
				customer: said.Customer,
				held:     held,
				requests: requests,
			})
		}
	}
	return refused
}
