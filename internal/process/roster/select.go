package roster

import (
	"math/rand/v2"
	"time"
)

// liveOthers returns the references of all live members but one.
func (t *table) liveOthers(buffer []reference, except reference) []reference {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	buffer = buffer[:0]
	for ref, m := range t.members {
		if ref != except && m.Status.live() {
			buffer = append(buffer, ref)
		}
	}
	return buffer
}

// sample returns up to count random members that match.
func (t *table) sample(count int, match func(*member) bool) []record {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	chosen := make([]record, 0, count)
	seen := 0
	for _, m := range t.members {
		if !match(m) {
			continue
		}
		seen++
		if len(chosen) < count {
			chosen = append(chosen, m.record)
			continue
		}
		if i := rand.IntN(seen); i < count {
			chosen[i] = m.record
		}
	}
	return chosen
}

// anyDead returns a random dead member.
func (t *table) anyDead() (record, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	skip := rand.IntN(len(t.dead) + 1)
	var last *member
	for _, m := range t.dead {
		last = m
		if skip == 0 {
			break
		}
		skip--
	}
	if last == nil {
		return record{}, false
	}
	return last.record, true
}

// connectionCost returns the cost of an exchange with an instance beyond the
// message bodies.
func (t *table) connectionCost(ref reference) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	m, found := t.members[ref]
	if !found || m.contact.IsZero() || time.Since(m.contact) > connectionIdle {
		return connectionBytes
	}
	return exchangeBytes
}
