package roster

import (
	"encoding/binary"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// A block states the status of many members of one availability zone in a few
// bits each. The members of a zone are divided into partsPerZone parts by
// their references; a block covers one part, with the members in the order of
// their references. It names the list of members by a hash, and a receiver
// with another list ignores it.
//
// This makes the loss of a whole availability zone fit the budget. 1,560
// members are 8 parts of 195; a part takes at most 120 bytes with two planes of
// counters and one bitmap of verdicts, so a zone takes at most 960 bytes and
// goes out whole in 4 messages with 280 bytes of news. As single statuses it
// would be 1,560 x 21 = 32,760 bytes, or 117 messages.
const (
	partsPerZone = 8
	// maxPlanes bounds the bits of a member's counter in a block.
	maxPlanes = 4
	// blockEntries is how many statuses of a part must wait for a block to
	// replace them; six statuses take as many bytes as a block.
	blockEntries = 6
	// maxBlockMembers bounds the lists that are encoded and accepted.
	maxBlockMembers = 4096
)

// partKey names a part of an availability zone.
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

// part is the list of members that a block refers to: all but those that left.
type part struct {
	members []*member
	hash    uint32
	sorted  bool
}

// wireBlock is a block in a message. Bitmaps without a set bit are left empty.
type wireBlock struct {
	_msgpack struct{} `msgpack:",as_array"`
	Zone     uint32
	Part     uint8
	Members  uint32
	// Base is the lowest counter; Planes holds one bitmap for each bit of the
	// difference to it, the lowest bit first.
	Base   uint64
	Planes []byte
	// Skip marks members whose counter does not fit the planes.
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

// bit reads a bitmap, which may be empty.
func bit(bitmap []byte, i int) bool {
	return i/8 < len(bitmap) && bitmap[i/8]&(1<<(i%8)) != 0
}

// enterPart adds a member to its part's list. The caller holds the mutex.
func (t *table) enterPart(m *member) {
	key := partOf(m.Instance.Zone, m.ref)
	p, found := t.parts[key]
	if !found {
		p = &part{}
		t.parts[key] = p
	}
	p.members = append(p.members, m)
	p.sorted = false
}

// leavePart takes a member off its part's list. The caller holds the mutex.
func (t *table) leavePart(m *member) {
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

// sortedPart returns a part with its members in order and its hash up to date.
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

// encodeBlock states the status of a part. The counters of the given members
// decide which range the planes cover. The caller holds the mutex.
func (t *table) encodeBlock(key partKey, waiting []reference) (wireBlock, bool) {
	p, found := t.sortedPart(key)
	if !found || len(waiting) == 0 {
		return wireBlock{}, false
	}
	low, high := t.counterRange(waiting)
	planes := min(bits.Len64(high-low), maxPlanes)
	size := bitmapBytes(len(p.members))
	maps := newBlockMaps(size, planes)
	for i, m := range p.members {
		offset := counterOf(m.Status.Incarnation) - low
		if counterOf(m.Status.Incarnation) < low || offset >= 1<<planes {
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
		Base:     low,
		Planes:   maps.planes,
		Skip:     used(maps.skip),
		Starting: used(maps.starting),
		Leaving:  used(maps.leaving),
		Suspect:  used(maps.suspect),
		Dead:     used(maps.dead),
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

// used returns a bitmap if any bit is set.
func used(bitmap []byte) []byte {
	for _, b := range bitmap {
		if b != 0 {
			return bitmap
		}
	}
	return nil
}

// counterRange returns the lowest and highest counter of the given members.
func (t *table) counterRange(refs []reference) (low, high uint64) {
	low = ^uint64(0)
	for _, ref := range refs {
		m, found := t.members[ref]
		if !found {
			continue
		}
		counter := counterOf(m.Status.Incarnation)
		low = min(low, counter)
		high = max(high, counter)
	}
	if low > high {
		low = high
	}
	return low, high
}

// claim is a status that a block states of a member.
type claim struct {
	ref    reference
	status status
}

// decodeBlock returns the claims of a block that are greater than what this
// table holds. agreed is false if the lists differ or the block is damaged.
func (t *table) decodeBlock(b *wireBlock) (claims []claim, agreed bool) {
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
			claims = append(claims, claim{
				ref:    m.ref,
				status: s,
			})
		}
	}
	return claims, true
}

// status reads the status of one member.
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

// size estimates the bytes of a block in a message.
func (b *wireBlock) size() int {
	const fixed = 36
	return fixed + len(b.Planes) + len(b.Skip) + len(b.Starting) + len(b.Leaving) + len(b.Suspect) + len(b.Dead)
}
