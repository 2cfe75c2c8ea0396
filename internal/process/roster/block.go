package roster

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// A block encodes the statuses of many members of one availability zone in a few
// bits each. The members of a zone are divided into partsPerZone parts by their
// references. A block covers one part, with the members in the order of their
// references. It identifies the list of members by a hash, and a receiver whose
// list differs ignores the block.
//
// With blocks the loss of a whole availability zone fits the budget. 1,560
// members are 8 parts of 195. A part takes at most 120 bytes with two planes of
// counters and one bitmap of verdicts, so a zone takes at most 960 bytes, which
// is 4 messages with 280 bytes of updates. Sent as single statuses it would be
// 1,560 x 21 = 32,760 bytes, or 117 messages.
const (
	partsPerZone = 8
	// maxPlanes bounds the bits of a member's counter in a block.
	maxPlanes = 4
	// minBlockStatuses is how many statuses of a part must be pending before a
	// block replaces them. Six statuses take as many bytes as a block.
	minBlockStatuses = 6
	// maxBlockMembers bounds the member lists that are encoded and accepted.
	maxBlockMembers = 4096
)

// partKey identifies a part of an availability zone.
type partKey struct {
	zone uint32
	part uint8
}

func partOf(zone lagoonbarrow.Zone, ref reference) partKey {
	return partKey{
		zone: uint32(xxhash.Sum64String(string(zone))),
		part: uint8(uint64(ref) >> 32 % partsPerZone),
	}
}

// part is the list of members that a block refers to. It includes dead members,
// but not those that have left.
type part struct {
	members []*member
	hash    uint32
	sorted  bool
}

// wireBlock is a block in a message. Bitmaps without a set bit are empty.
type wireBlock struct {
	_msgpack struct{} `msgpack:",as_array"`
	Zone     uint32
	Part     uint8
	Members  uint32
	// Base is the lowest counter. Planes holds one bitmap for each bit of the
	// difference to it, lowest bit first.
	Base   uint64
	Planes []byte
	// Skip marks members whose counter is outside the range of the planes.
	Skip     []byte
	Starting []byte
	Leaving  []byte
	Suspect  []byte
	Dead     []byte
}

func bitmapBytes(members int) int {
	return (members + 7) / 8
}

func setBit(bitmap []byte, i int) {
	bitmap[i/8] |= 1 << (i % 8)
}

// bit returns one bit of a bitmap. All bits of an empty bitmap are 0.
func bit(bitmap []byte, i int) bool {
	return i/8 < len(bitmap) && bitmap[i/8]&(1<<(i%8)) != 0
}

// addToPart adds a member to the list of its part. The caller holds the mutex.
func (t *table) addToPart(m *member) {
	key := partOf(m.Instance.Zone, m.ref)
	p, found := t.parts[key]
	if !found {
		p = &part{}
		t.parts[key] = p
	}
	p.members = append(p.members, m)
	p.sorted = false
}

// removeFromPart removes a member from the list of its part. The caller holds the
// mutex.
func (t *table) removeFromPart(m *member) {
	p, found := t.parts[partOf(m.Instance.Zone, m.ref)]
	if !found {
		return
	}
	i := slices.Index(p.members, m)
	if i < 0 {
		return
	}
	p.members = slices.Delete(p.members, i, i+1)
	p.sorted = false
}

// sortedPart returns a part with its members sorted and its hash up to date.
// The caller holds the mutex.
func (t *table) sortedPart(key partKey) (*part, bool) {
	p, found := t.parts[key]
	if !found || len(p.members) > maxBlockMembers {
		return nil, false
	}
	if p.sorted {
		return p, true
	}
	slices.SortFunc(p.members, func(a, b *member) int {
		if a.ref < b.ref {
			return -1
		}
		return 1
	})
	raw := make([]byte, 0, 16*len(p.members))
	for _, m := range p.members {
		raw = binary.LittleEndian.AppendUint64(raw, uint64(m.ref))
		raw = binary.LittleEndian.AppendUint64(raw, epochOf(m.Status.Incarnation))
	}
	p.hash = uint32(xxhash.Sum64(raw))
	p.sorted = true
	return p, true
}

// encodeBlock encodes the statuses of a part. The counters of the pending members
// determine the range that the planes cover. The caller holds the mutex.
func (t *table) encodeBlock(key partKey, pending []reference) (wireBlock, bool) {
	p, found := t.sortedPart(key)
	if !found || len(pending) == 0 {
		return wireBlock{}, false
	}
	base, highest := t.counterRange(pending)
	planes := min(bits.Len64(highest-base), maxPlanes)
	size := bitmapBytes(len(p.members))
	maps := newBlockMaps(size, planes)
	for i, m := range p.members {
		offset := counterOf(m.Status.Incarnation) - base
		if counterOf(m.Status.Incarnation) < base || offset >= 1<<planes {
			setBit(maps.skip, i)
			continue
		}
		for plane := range planes {
			if offset&(1<<plane) != 0 {
				setBit(maps.planes[plane*size:], i)
			}
		}
		maps.setStatus(m.Status, i)
	}
	return wireBlock{
		Zone:     key.zone,
		Part:     key.part,
		Members:  p.hash,
		Base:     base,
		Planes:   maps.planes,
		Skip:     nilIfZero(maps.skip),
		Starting: nilIfZero(maps.starting),
		Leaving:  nilIfZero(maps.leaving),
		Suspect:  nilIfZero(maps.suspect),
		Dead:     nilIfZero(maps.dead),
	}, true
}

type blockMaps struct {
	planes, skip, starting, leaving, suspect, dead []byte
}

func newBlockMaps(size, planes int) blockMaps {
	return blockMaps{
		planes:   make([]byte, size*planes),
		skip:     make([]byte, size),
		starting: make([]byte, size),
		leaving:  make([]byte, size),
		suspect:  make([]byte, size),
		dead:     make([]byte, size),
	}
}

func (b *blockMaps) setStatus(s status, i int) {
	switch s.Phase {
	case phaseStarting:
		setBit(b.starting, i)
	case phaseLeaving:
		setBit(b.leaving, i)
	default:
	}
	switch s.Verdict {
	case verdictSuspect:
		setBit(b.suspect, i)
	case verdictDead:
		setBit(b.dead, i)
	default:
	}
}

// nilIfZero returns the bitmap, or nil if no bit is set.
func nilIfZero(bitmap []byte) []byte {
	for _, b := range bitmap {
		if b != 0 {
			return bitmap
		}
	}
	return nil
}

// counterRange returns the lowest and highest counter of the given members. The
// caller holds the mutex.
func (t *table) counterRange(refs []reference) (lowest, highest uint64) {
	lowest = ^uint64(0)
	for _, ref := range refs {
		m, found := t.members[ref]
		if !found {
			continue
		}
		counter := counterOf(m.Status.Incarnation)
		lowest = min(lowest, counter)
		highest = max(highest, counter)
	}
	if lowest > highest {
		lowest = highest
	}
	return lowest, highest
}

// memberStatus is the status of one member as a block states it.
type memberStatus struct {
	ref    reference
	status status
}

// decodeBlock returns the statuses of a block that are greater than those in this
// table. matches is false if the member lists differ or the block is damaged.
func (t *table) decodeBlock(b *wireBlock) (newer []memberStatus, matches bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	key := partKey{
		zone: b.Zone,
		part: b.Part,
	}
	p, found := t.sortedPart(key)
	if !found || p.hash != b.Members {
		return nil, false
	}
	size := bitmapBytes(len(p.members))
	if size == 0 || len(b.Planes)%size != 0 || len(b.Planes) > maxPlanes*size || b.Base >= 1<<counterBits {
		return nil, false
	}
	for i, m := range p.members {
		if bit(b.Skip, i) {
			continue
		}
		s := b.status(i, size, epochOf(m.Status.Incarnation))
		if s.compare(m.Status) > 0 {
			newer = append(newer, memberStatus{
				ref:    m.ref,
				status: s,
			})
		}
	}
	return newer, true
}

// status returns the status of the member at index i.
func (b *wireBlock) status(i, size int, epoch uint64) status {
	counter := b.Base
	for plane := range len(b.Planes) / size {
		if bit(b.Planes[plane*size:(plane+1)*size], i) {
			counter += 1 << plane
		}
	}
	s := status{
		Incarnation: firstIncarnation(epoch) + lagoonbarrow.Incarnation(counter),
		Phase:       phaseReady,
	}
	switch {
	case bit(b.Starting, i):
		s.Phase = phaseStarting
	case bit(b.Leaving, i):
		s.Phase = phaseLeaving
	default:
	}
	switch {
	case bit(b.Dead, i):
		s.Verdict = verdictDead
	case bit(b.Suspect, i):
		s.Verdict = verdictSuspect
	default:
	}
	return s
}

// size estimates the encoded size of a block in bytes.
func (b *wireBlock) size() int {
	const fixed = 36
	return fixed + len(b.Planes) + len(b.Skip) + len(b.Starting) + len(b.Leaving) + len(b.Suspect) + len(b.Dead)
}
