package roster

// recordOverheadBytes is the size of a full record in a message without its
// strings. maxStatusBytes is the largest size of a status.
const (
	recordOverheadBytes = 29
	maxStatusBytes      = 21
)

// selectUpdates selects updates for one message. If the receiver is suspect or
// dead in this table, its own status comes first, which lets it refute at once.
// The caller marks the returned keys as sent if the message was delivered.
func (r *Roster) selectUpdates(receiver *record) (result updates, keys []updateKey) {
	limit := r.updateByteLimit()
	if receiver != nil && receiver.Status.Verdict != verdictAlive {
		result.Statuses = append(result.Statuses, statusToWire(referenceOf(receiver.Instance.ID), receiver.Status))
	}
	entries := r.queue.inSendOrder()
	if len(entries) == 0 {
		return result, nil
	}
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	p := updatePacker{
		table:   r.table,
		limit:   limit,
		pending: r.table.pendingByPart(entries),
		covered: map[partKey]bool{},
	}
	for _, entry := range entries {
		p.add(entry, &result)
	}
	return result, p.packed
}

// pendingByPart groups the pending statuses by part, if there are enough of them
// for a block. The caller holds the mutex.
func (t *table) pendingByPart(entries []queuedUpdate) map[partKey][]reference {
	groups := map[partKey][]reference{}
	if len(entries) < minBlockStatuses {
		return groups
	}
	for _, entry := range entries {
		m, found := t.members[entry.ref]
		if !found || entry.full || m.Status.Phase == phaseLeft {
			continue
		}
		key := partOf(m.Instance.Zone, m.ref)
		groups[key] = append(groups[key], m.ref)
	}
	return groups
}

// updatePacker fills one message with updates. The caller holds the table's mutex.
type updatePacker struct {
	table   *table
	limit   int
	pending map[partKey][]reference
	// covered records for each part whether a block replaces its single statuses.
	covered map[partKey]bool
	packed  []updateKey
}

// add appends an entry to the message if there is room. A part with many pending
// statuses is sent as one block.
func (p *updatePacker) add(entry queuedUpdate, into *updates) {
	m, found := p.table.members[entry.ref]
	if !found {
		p.packed = append(p.packed, entry.updateKey)
		return
	}
	if entry.full {
		if p.reserve(recordSize(m.record)) {
			into.Records = append(into.Records, toWire(m.record))
			p.packed = append(p.packed, entry.updateKey)
		}
		return
	}
	if p.coveredByBlock(m, into) {
		return
	}
	if p.reserve(maxStatusBytes) {
		into.Statuses = append(into.Statuses, statusToWire(m.ref, m.Status))
		p.packed = append(p.packed, entry.updateKey)
	}
}

// coveredByBlock reports whether a block replaces a single status. The block is
// in this message, or is left for a later one if this message is full. The
// statuses of a block that is too large for any message are sent singly.
func (p *updatePacker) coveredByBlock(m *member, into *updates) bool {
	key := partOf(m.Instance.Zone, m.ref)
	pending := p.pending[key]
	if m.Status.Phase == phaseLeft || len(pending) < minBlockStatuses {
		return false
	}
	if covered, decided := p.covered[key]; decided {
		return covered
	}
	block, encoded := p.table.encodeBlock(key, pending)
	p.covered[key] = encoded && block.size() <= minUpdateBytes
	if p.covered[key] && p.reserve(block.size()) {
		into.Blocks = append(into.Blocks, block)
		for _, ref := range pending {
			p.packed = append(p.packed, updateKey{
				ref: ref,
			})
		}
	}
	return p.covered[key]
}

func (p *updatePacker) reserve(size int) bool {
	if size > p.limit {
		return false
	}
	p.limit -= size
	return true
}

func recordSize(r record) int {
	i := &r.Instance
	return recordOverheadBytes + len(i.ID) + len(i.Service) + len(i.Zone) + len(i.Region) + len(i.Peer) + len(i.Admin)
}

// updateByteLimit returns how many bytes of updates the next message may hold. It
// exceeds the minimum while unused budget is left.
func (r *Roster) updateByteLimit() int {
	balance := r.budget.balanceSeconds()
	if balance <= 1 {
		return minUpdateBytes
	}
	fraction := (balance - 1) / (budgetBurstSeconds - 1)
	return minUpdateBytes + int(fraction*(maxUpdateBytes-minUpdateBytes))
}

// mergeUpdates merges updates and returns the references without a record.
func (r *Roster) mergeUpdates(source claimSource, received updates) (unknown []reference) {
	for _, w := range received.Records {
		if full, ok := fromWire(w); ok {
			r.applyRecord(full, source)
		}
	}
	unknown = r.mergeStatuses(source, received.Statuses)
	for i := range received.Blocks {
		r.mergeBlock(source, &received.Blocks[i])
	}
	return unknown
}

// mergeBlock merges a block if this table has the same list of members.
func (r *Roster) mergeBlock(source claimSource, b *wireBlock) {
	newer, matches := r.table.decodeBlock(b)
	if !matches {
		r.metrics.blocksIgnored.Inc(1)
		return
	}
	for _, c := range newer {
		r.applyStatus(c.ref, c.status, source)
	}
}

// mergeStatuses merges statuses and returns the references without a record.
func (r *Roster) mergeStatuses(source claimSource, list []wireStatus) (unknown []reference) {
	for _, w := range list {
		s, ok := w.status()
		if !ok {
			continue
		}
		if !r.applyStatus(w.Reference, s, source) {
			unknown = append(unknown, w.Reference)
			r.metrics.unknownReferences.Inc(1)
		}
	}
	return unknown
}
