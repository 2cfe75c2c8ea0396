package quota

import "lagoonbarrow"

// inheritedRanks is the number of keepers, in rank, at which a new process releases the vote of
// an earlier process of its node. The earlier one gave its vote to another keeper only if as
// many had failed.
const inheritedRanks = 3

// inherits reports whether an earlier process of the node may still have a vote that counts.
func (b *ballot) inherits(now moment) bool {
	return b.given.instance.ID == "" && now.slow < b.given.until
}

// inherited returns the next keeper of a group at which the vote of an earlier process has to be
// released. When the processes of all nodes start again, votes are free soon.
func (n *tokenNode) inherited(now moment, number int) (lagoonbarrow.Instance, bool) {
	group := &n.groups[number]
	if !group.ballot.inherits(now) {
		return lagoonbarrow.Instance{}, false
	}
	for _, ranked := range n.keepers.ranked(groupKeys[number], inheritedRanks) {
		if !group.ballot.releasedBy[ranked.ID] && !n.failed(now, ranked.ID) {
			return ranked, true
		}
	}
	return lagoonbarrow.Instance{}, false
}

// releaseInherited notes that a keeper has no vote of an earlier process. The vote is free once
// that is known of all keepers that may have it.
func (n *tokenNode) releaseInherited(now moment, number int, keeper lagoonbarrow.InstanceID) {
	held := &n.groups[number].ballot
	if !held.inherits(now) {
		return
	}
	if held.releasedBy == nil {
		held.releasedBy = map[lagoonbarrow.InstanceID]bool{}
	}
	held.releasedBy[keeper] = true
	for _, ranked := range n.keepers.ranked(groupKeys[number], inheritedRanks) {
		if !held.releasedBy[ranked.ID] {
			return
		}
	}
	held.given = heldVote{}
	held.releasedBy = nil
}
