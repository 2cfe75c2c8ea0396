package roster

import (
	"math/rand/v2"
	"time"
)

// liveOthers returns the references of all live members except one. It reuses the
// buffer.
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

// sample returns up to count random members for which match returns true.
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

// randomDead returns a random dead member.
func (t *table) randomDead() (record, bool) {
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

// exchangeCost returns the bytes of an exchange with an instance besides the
// message bodies.
func (t *table) exchangeCost(ref reference) int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	m, found := t.members[ref]
	if !found || m.lastContact.IsZero() || time.Since(m.lastContact) > connectionIdleTimeout {
		return newConnectionBytes
	}
	return openConnectionBytes
}
