package roster

// recordBytes is the size of a full record in a message without its strings.
const (
	recordBytes = 29
	statusBytes = 21
)

// news picks gossip for one message. tell is the receiver, whose own status
// goes first if it is suspect or dead here, so that it can refute at once.
// The caller counts the returned keys as sent, or not if the message failed.
func (r *Roster) news(tell *record) (result news, keys []newsKey) {
	limit := r.newsLimit()
	if tell != nil && tell.Status.Verdict != verdictAlive {
		result.Statuses = append(result.Statuses, statusToWire(referenceOf(tell.Instance.ID), tell.Status))
	}
	entries := r.queue.pick()
	if len(entries) == 0 {
		return result, nil
	}
	r.table.mutex.Lock()
	defer r.table.mutex.Unlock()
	p := packer{
		table:   r.table,
		limit:   limit,
		waiting: r.table.waitingByPart(entries),
		blocks:  map[partKey]bool{},
	}
	for _, entry := range entries {
		p.add(entry, &result)
	}
	return result, p.taken
}

// waitingByPart groups the statuses that wait. The caller holds the mutex.
func (t *table) waitingByPart(entries []queued) map[partKey][]reference {
	groups := map[partKey][]reference{}
	if len(entries) < blockEntries {
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

// packer fills one message with news. The table's mutex is held meanwhile.
type packer struct {
	table   *table
	limit   int
	waiting map[partKey][]reference
	// blocks tells of the parts looked at whether a block covers them.
	blocks map[partKey]bool
	taken  []newsKey
}

// add puts an entry into the message if there is room. A part with many
// waiting statuses goes as one block.
func (p *packer) add(entry queued, into *news) {
	m, found := p.table.members[entry.ref]
	if !found {
		p.taken = append(p.taken, entry.newsKey)
		return
	}
	if entry.full {
		if p.room(sizeOf(m.record)) {
			into.Records = append(into.Records, toWire(m.record))
			p.taken = append(p.taken, entry.newsKey)
		}
		return
	}
	if p.inBlock(m, into) {
		return
	}
	if p.room(statusBytes) {
		into.Statuses = append(into.Statuses, statusToWire(m.ref, m.Status))
		p.taken = append(p.taken, entry.newsKey)
	}
}

// inBlock reports whether a block takes care of a status: it is in this
// message, or waits for the next one because this one is full. A block that
// fits no message leaves its statuses to be sent singly.
func (p *packer) inBlock(m *member, into *news) bool {
	key := partOf(m.Instance.Zone, m.ref)
	group := p.waiting[key]
	if m.Status.Phase == phaseLeft || len(group) < blockEntries {
		return false
	}
	if covered, decided := p.blocks[key]; decided {
		return covered
	}
	block, encoded := p.table.encodeBlock(key, group)
	p.blocks[key] = encoded && block.size() <= minNewsBytes
	if p.blocks[key] && p.room(block.size()) {
		into.Blocks = append(into.Blocks, block)
		for _, ref := range group {
			p.taken = append(p.taken, newsKey{
				ref: ref,
			})
		}
	}
	return p.blocks[key]
}

func (p *packer) room(size int) bool {
	if size > p.limit {
		return false
	}
	p.limit -= size
	return true
}

func sizeOf(r record) int {
	i := &r.Instance
	return recordBytes + len(i.ID) + len(i.Service) + len(i.Zone) + len(i.Region) + len(i.Peer) + len(i.Admin)
}

// newsLimit returns the bytes of news for the next message: more than the
// minimum while saved budget is left.
func (r *Roster) newsLimit() int {
	saved := r.budget.left()
	if saved <= 1 {
		return minNewsBytes
	}
	share := (saved - 1) / (budgetBurst - 1)
	return minNewsBytes + int(share*(maxNewsBytes-minNewsBytes))
}

// takeNews merges gossip and returns the references without a record.
func (r *Roster) takeNews(how evidence, n news) (unknown []reference) {
	for _, w := range n.Records {
		if full, ok := fromWire(w); ok {
			r.applyRecord(full, how)
		}
	}
	unknown = r.takeStatuses(how, n.Statuses)
	for i := range n.Blocks {
		r.takeBlock(how, &n.Blocks[i])
	}
	return unknown
}

// takeBlock merges a block if this table has the same list of members.
func (r *Roster) takeBlock(how evidence, b *wireBlock) {
	claims, agreed := r.table.decodeBlock(b)
	if !agreed {
		r.scope.blocksIgnored.Inc(1)
		return
	}
	for _, c := range claims {
		r.applyStatus(c.ref, c.status, how)
	}
}

// takeStatuses merges statuses and returns the references without a record.
func (r *Roster) takeStatuses(how evidence, list []wireStatus) (unknown []reference) {
	for _, w := range list {
		s, ok := w.status()
		if !ok {
			continue
		}
		if !r.applyStatus(w.Reference, s, how) {
			unknown = append(unknown, w.Reference)
			r.scope.unknownRefs.Inc(1)
		}
	}
	return unknown
}
