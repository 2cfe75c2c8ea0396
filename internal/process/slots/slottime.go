package slots

import "time"

// releaseWeight is the weight of one release in the present slot time. A server that gets
// slower shows it within some tens of releases.
const releaseWeight = 1.0 / 16

// presentSlotTime measures how long requests hold a slot at present, as the slot time in use
// per release. Unlike an average over the released requests, it shows at once that a server
// has become slower, since the time of the requests that still run counts too.
type presentSlotTime struct {
	// used and releases are the slot seconds in use up to the last release, and the
	// releases, both decayed by releaseWeight with each release.
	used     float64
	releases float64
	// usedSince is the slot seconds in use since the last release.
	usedSince float64
	updatedAt time.Time
	// unused counts slots whose release doesn't count, as nothing is sent to the server.
	unused int
}

// advance adds the time since the last call, in which the given number of slots was in use.
func (p *presentSlotTime) advance(running int, now time.Time) {
	p.usedSince += float64(running) * max(0, now.Sub(p.updatedAt).Seconds())
	p.updatedAt = now
}

// release counts the release of a slot.
func (p *presentSlotTime) release() {
	if p.unused > 0 {
		p.unused--
		return
	}
	p.used += p.usedSince - releaseWeight*p.used
	p.releases += 1 - releaseWeight*p.releases
	p.usedSince = 0
}

// value returns the slot time, or 0 before the first release.
func (p *presentSlotTime) value() time.Duration {
	if p.releases == 0 {
		return 0
	}
	return time.Duration((p.used + p.usedSince) / p.releases * float64(time.Second))
}
