package roster

import (
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// buckets is the number of parts of the table that digests compare.
const buckets = 64

// member is a record in the table with what this node alone knows about it.
type member struct {
	record
	ref reference
	// changed is when the verdict or phase last changed here.
	changed time.Time
	// returned is when the instance became known or stopped being dead here.
	returned time.Time
	// contact is when the instance last answered this node.
	contact time.Time
	// failures counts this node's own failed probes in a row.
	failures int
	// suspectedHere is set when this node's own probe started the suspicion.
	suspectedHere bool
	// rowCheck is when this node looks at a dead instance's row next.
	rowCheck time.Time
}

// table is the member table. Its writes hold the mutex; reads on the request
// path use the copy-on-write service index and take no lock.
type table struct {
	mutex   sync.RWMutex
	members map[reference]*member
	// services holds the members of a service, dead and left ones excluded.
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

// serviceIndex is replaced as a whole when an instance of its service changes.
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

// hashOf is a member's part of its bucket's hash. Suspicions are left out,
// because they pass within seconds, and dead and left members, because nodes
// forget them at different times.
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
	t.hashes[bucketOf(m.ref)] ^= hashWhen(wasLive, m.ref, before) ^ hashOf(m.ref, r.Status)
	oldService := m.Instance.Service
	listed := known && before.Phase != phaseLeft
	listAgain := r.Status.Phase != phaseLeft
	moved := m.Instance.Zone != r.Instance.Zone || epochOf(before.Incarnation) != epochOf(r.Status.Incarnation)
	if listed && (!listAgain || moved) {
		t.leavePart(m)
	}
	m.record = r
	if listAgain && (!listed || moved) {
		t.enterPart(m)
	}
	m.Instance.Incarnation = r.Status.Incarnation
	m.Instance.State = r.Status.state()
	if !known || before.Verdict != r.Status.Verdict || before.Phase != r.Status.Phase {
		m.changed = now
	}
	if !known || before.Verdict == verdictDead && r.Status.Verdict != verdictDead {
		m.returned = now
	}
	if r.Status.Verdict != verdictSuspect {
		m.suspectedHere = false
	}
	keep(t.suspects, m, r.Status.Verdict == verdictSuspect)
	keep(t.dead, m, r.Status.Verdict == verdictDead)
	t.members[m.ref] = m
	isLive := r.Status.live()
	t.count(wasLive, isLive)
	if wasLive && (!isLive || oldService != r.Instance.Service) {
		t.removeFromService(oldService, m)
	}
	// A service may change with a new process of the same id.
	if isLive && (!wasLive || oldService != r.Instance.Service) {
		t.services[r.Instance.Service] = append(t.services[r.Instance.Service], m)
	}
	t.rebuild(r.Instance.Service)
	if oldService != r.Instance.Service && oldService != "" {
		t.rebuild(oldService)
	}
	t.version.Add(1)
}

func keep(set map[reference]*member, m *member, wanted bool) {
	if wanted {
		set[m.ref] = m
		return
	}
	delete(set, m.ref)
}

func hashWhen(live bool, ref reference, s status) uint64 {
	if !live {
		return 0
	}
	return hashOf(ref, s)
}

func (t *table) count(wasLive, isLive bool) {
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

// remove forgets a dead or left member. The caller holds the mutex.
func (t *table) remove(m *member) {
	if m.Status.live() {
		return
	}
	t.leavePart(m)
	delete(t.members, m.ref)
	delete(t.suspects, m.ref)
	delete(t.dead, m.ref)
	t.version.Add(1)
}

// rebuild publishes a service's usable instances. The caller holds the mutex.
func (t *table) rebuild(service lagoonbarrow.ServiceName) {
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

// liveListAge bounds how often a list of a large fleet is copied: 7,800
// records are about 1 MB, and an availability zone that fails changes
// hundreds of them a second.
const (
	liveListAge   = 50 * time.Millisecond
	liveListSmall = 500
)

func (t *table) liveInstances() []lagoonbarrow.Instance {
	t.liveMutex.Lock()
	defer t.liveMutex.Unlock()
	version := t.version.Load()
	if t.liveList != nil && version == t.liveVersion {
		return t.liveList
	}
	if len(t.liveList) > liveListSmall && time.Since(t.liveBuilt) < liveListAge {
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

// size returns the number of live members.
func (t *table) size() int {
	t.mutex.RLock()
	defer t.mutex.RUnlock()
	return t.live
}
