package roster

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// buckets is the number of buckets into which digests divide the table.
const buckets = 64

// member is a record in the table with the local data of this node about it.
type member struct {
	record
	ref reference
	// changedAt is when the verdict or phase last changed in this table. An
	// extended suspicion moves it forward, and a join moves it back for dead members.
	changedAt time.Time
	// aliveSince is when the instance became known to this node or stopped being
	// dead.
	aliveSince time.Time
	// lastContact is when this node last exchanged a message with the instance.
	lastContact time.Time
	// failedProbes counts this node's own failed probes in a row.
	failedProbes int
	// suspectedLocally is set when this node's own probe started the suspicion.
	suspectedLocally bool
	// nextRowCheck is when this node checks the row of a dead instance again.
	nextRowCheck time.Time
}

// table is the member table. Writers hold the mutex. Reads on the request path
// use the copy-on-write service index and take no lock.
type table struct {
	mutex   sync.RWMutex
	members map[reference]*member
	// services holds the live members of each service.
	services map[lagoonbarrow.ServiceName][]*member
	hashes   [buckets]uint64
	live     int
	suspects map[reference]*member
	dead     map[reference]*member
	parts    map[partKey]*part

	index   atomic.Pointer[map[lagoonbarrow.ServiceName]*serviceIndex]
	version atomic.Uint64

	liveMutex   sync.Mutex
	liveVersion uint64
	liveBuilt   time.Time
	liveList    []lagoonbarrow.Instance
}

// serviceIndex holds the usable instances of one service. The slice is replaced
// as a whole when one of them changes.
type serviceIndex struct {
	instances atomic.Pointer[[]lagoonbarrow.Instance]
}

func newTable() *table {
	t := &table{
		members:  map[reference]*member{},
		services: map[lagoonbarrow.ServiceName][]*member{},
		suspects: map[reference]*member{},
		dead:     map[reference]*member{},
		parts:    map[partKey]*part{},
	}
	t.index.Store(&map[lagoonbarrow.ServiceName]*serviceIndex{})
	return t
}

func bucketOf(ref reference) int {
	return int(ref % buckets)
}

// hashOf returns a member's contribution to the hash of its bucket. Suspicions are
// left out, because they pass within seconds. Dead and left members are left out,
// because nodes remove them at different times.
func hashOf(ref reference, s status) uint64 {
	if !s.live() {
		return 0
	}
	var raw [17]byte
	binary.LittleEndian.PutUint64(raw[:], uint64(ref))
	binary.LittleEndian.PutUint64(raw[8:], uint64(s.Incarnation))
	raw[16] = byte(s.Phase)
	return xxhash.Sum64(raw[:])
}

// set replaces a member's record. The caller holds the mutex.
func (t *table) set(m *member, r record, now time.Time) {
	before := m.Status
	_, known := t.members[m.ref]
	wasLive := known && before.live()
	t.hashes[bucketOf(m.ref)] ^= hashIfLive(wasLive, m.ref, before) ^ hashOf(m.ref, r.Status)
	oldService := m.Instance.Service
	wasListed := known && before.Phase != phaseLeft
	isListed := r.Status.Phase != phaseLeft
	moved := m.Instance.Zone != r.Instance.Zone || epochOf(before.Incarnation) != epochOf(r.Status.Incarnation)
	if wasListed && (!isListed || moved) {
		t.removeFromPart(m)
	}
	m.record = r
	if isListed && (!wasListed || moved) {
		t.addToPart(m)
	}
	m.Instance.Incarnation = r.Status.Incarnation
	m.Instance.State = r.Status.state()
	if !known || before.Verdict != r.Status.Verdict || before.Phase != r.Status.Phase {
		m.changedAt = now
	}
	if !known || before.Verdict == verdictDead && r.Status.Verdict != verdictDead {
		m.aliveSince = now
	}
	if r.Status.Verdict != verdictSuspect {
		m.suspectedLocally = false
	}
	includeIf(t.suspects, m, r.Status.Verdict == verdictSuspect)
	includeIf(t.dead, m, r.Status.Verdict == verdictDead)
	t.members[m.ref] = m
	isLive := r.Status.live()
	t.adjustLiveCount(wasLive, isLive)
	if wasLive && (!isLive || oldService != r.Instance.Service) {
		t.removeFromService(oldService, m)
	}
	// A new process with the same id may belong to another service.
	if isLive && (!wasLive || oldService != r.Instance.Service) {
		t.services[r.Instance.Service] = append(t.services[r.Instance.Service], m)
	}
	t.publishService(r.Instance.Service)
	if oldService != r.Instance.Service && oldService != "" {
		t.publishService(oldService)
	}
	t.version.Add(1)
}

func includeIf(set map[reference]*member, m *member, included bool) {
	if included {
		set[m.ref] = m
		return
	}
	delete(set, m.ref)
}

func hashIfLive(live bool, ref reference, s status) uint64 {
	if !live {
		return 0
	}
	return hashOf(ref, s)
}

func (t *table) adjustLiveCount(wasLive, isLive bool) {
	if wasLive {
		t.live--
	}
	if isLive {
		t.live++
	}
}

func (t *table) removeFromService(service lagoonbarrow.ServiceName, m *member) {
	list := t.services[service]
	for i, other := range list {
		if other == m {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			t.services[service] = list[:len(list)-1]
			return
		}
	}
}

// remove deletes a dead or left member. The caller holds the mutex.
func (t *table) remove(m *member) {
	if m.Status.live() {
		return
	}
	t.removeFromPart(m)
	delete(t.members, m.ref)
	delete(t.suspects, m.ref)
	delete(t.dead, m.ref)
	t.version.Add(1)
}

// publishService replaces a service's usable instances in the index. The caller
// holds the mutex.
func (t *table) publishService(service lagoonbarrow.ServiceName) {
	usable := make([]lagoonbarrow.Instance, 0, len(t.services[service]))
	for _, m := range t.services[service] {
		if m.Status.Phase == phaseReady {
			usable = append(usable, m.Instance)
		}
	}
	current := *t.index.Load()
	entry, found := current[service]
	if !found {
		entry = &serviceIndex{}
		next := make(map[lagoonbarrow.ServiceName]*serviceIndex, len(current)+1)
		for name, value := range current {
			next[name] = value
		}
		next[service] = entry
		entry.instances.Store(&usable)
		t.index.Store(&next)
		return
	}
	entry.instances.Store(&usable)
}

func (t *table) instances(service lagoonbarrow.ServiceName) []lagoonbarrow.Instance {
	entry, found := (*t.index.Load())[service]
	if !found {
		return nil
	}
	return *entry.instances.Load()
}

// maxLiveListAge limits how often the list of a large fleet is copied. 7,800
// records are about 1 MB, and the failure of an availability zone changes hundreds
// of them a second. Lists of up to smallLiveList instances are always current.
const (
	maxLiveListAge = 50 * time.Millisecond
	smallLiveList  = 500
)

func (t *table) liveInstances() []lagoonbarrow.Instance {
	t.liveMutex.Lock()
	defer t.liveMutex.Unlock()
	version := t.version.Load()
	if t.liveList != nil && version == t.liveVersion {
		return t.liveList
	}
	if len(t.liveList) > smallLiveList && time.Since(t.liveBuilt) < maxLiveListAge {
		return t.liveList
	}
	t.mutex.RLock()
	list := make([]lagoonbarrow.Instance, 0, t.live)
	for _, m := range t.members {
		if m.Status.live() {
			list = append(list, m.Instance)
		}
	}
	t.mutex.RUnlock()
	t.liveList = list
	t.liveVersion = version
	t.liveBuilt = time.Now()
	return list
}

func (t *table) lookup(ref reference) (record, bool) {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	m, found := t.members[ref]
	if !found {
		return record{}, false
	}
	return m.record, true
}

// liveCount returns the number of live members.
func (t *table) liveCount() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.live
}
