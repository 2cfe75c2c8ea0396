package roster

// recordBytes is the size of a full record in a message without its strings.
const (
	recordBytes = 28
	statusBytes = 21
)

// news picks gossip for one message. tell is the receiver, whose own status
// goes first if it is suspect or dead here, so that it can refute at once.
func (r *Roster) news(tell *record) news {
	limit := r.newsLimit()
	var result news
	if tell != nil && tell.Status.Verdict != verdictAlive {
		result.Statuses = append(result.Statuses, statusToWire(referenceOf(tell.Instance.ID), tell.Status))
	}
	entries := r.queue.pick()
	if len(entries) == 0 {
		return result
	}
	taken := make([]reference, 0, len(entries))
	r.table.mutex.RLock()
	for _, entry := range entries {
		m, found := r.table.members[entry.ref]
		if !found {
			taken = append(taken, entry.ref)
			continue
		}
		size := statusBytes
		if entry.full {
			size = sizeOf(m.record)
		}
		if size > limit {
			break
		}
		limit -= size
		taken = append(taken, entry.ref)
		if entry.full {
			result.Records = append(result.Records, toWire(m.record))
		} else {
			result.Statuses = append(result.Statuses, statusToWire(m.ref, m.Status))
		}
	}
	fleet := r.table.live
	r.table.mutex.RUnlock()
	r.queue.sent(taken, fleet)
	return result
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

// takeNews merges gossip.
func (r *Roster) takeNews(how evidence, n news) {
	for _, w := range n.Records {
		if full, ok := fromWire(w); ok {
			r.applyRecord(full, how)
		}
	}
	r.takeStatuses(how, n.Statuses)
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
