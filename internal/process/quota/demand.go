package quota

import (
	"math"
	"time"

	"lagoonbarrow"
)

// growth is the factor by which demand has grown when it is reported early.
const growth = 1.25

// manyRequests is the number of requests of a measurement above which less than
// half of them is not chance: with 10 expected, it happens once in 30 times.
const manyRequests = 10

// recentTime is the time constant of the recent request rate. It is shorter than
// the 250 ms between reports, so that a report sees most of a jump.
const recentTime = 100 * time.Millisecond

// jumpUp and jumpDown are the factors beyond which the recent request rate
// replaces the mean: with the 10 requests needed for it, one is 3 and the other
// 2 standard deviations away.
const (
	jumpUp   = 1.8
	jumpDown = 0.3
)

// followUps bounds the early reports after a growth, so that a customer that
// stays over its rate reports once a second again.
const followUps = 4

// levels is the number of importance levels that demand is told apart by.
const levels = 3

// byLevel holds work units per second, from critical to deferrable.
type byLevel [levels]lagoonbarrow.WorkUnits

func (l byLevel) sum() lagoonbarrow.WorkUnits {
	total := lagoonbarrow.WorkUnits(0)
	for _, units := range l {
		total += units
	}
	return total
}

func levelIndex(level lagoonbarrow.Importance) int {
	switch level {
	case lagoonbarrow.ImportanceCritical:
		return 0
	case lagoonbarrow.ImportanceNormal:
		return 1
	default:
		return levels - 1
	}
}

// demand measures the work that a customer asks for on this node, admitted
// and refused.
type demand struct {
	// units and requests were asked for since the last measurement.
	units     byLevel
	requests  float64
	since     time.Time
	perSecond byLevel
	// usual is the smoothed number of requests per second; 0 before the first
	// measurement.
	usual float64
	// recent is the number of requests per second, averaged over about
	// recentTime before recentAt.
	recent   float64
	recentAt time.Time
	// followUps is the number of early reports left after demand has grown.
	followUps int
	// calm is the number of successive reports of steady demand.
	calm int
	// refused is set when a request was refused since the last measurement.
	refused bool
	// reported is when the demand was last sent to an owner.
	reported time.Time
}

func (d *demand) add(now time.Time, level lagoonbarrow.Importance, units lagoonbarrow.WorkUnits) {
	d.decay(now)
	d.recent += 1 / recentTime.Seconds()
	d.units[levelIndex(level)] += units
	d.requests++
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.recentAt); elapsed > 0 {
		d.recent *= math.Exp(-elapsed.Seconds() / recentTime.Seconds())
		d.recentAt = now
	}
}

// jump returns the factor by which the recent requests differ from the mean of
// the present measurement, or 1 if that may be chance. Without it, a jump at the
// end of a measurement would count for a part only.
func (d *demand) jump(mean float64) float64 {
	if mean <= 0 || max(d.recent, mean)*2*recentTime.Seconds() < manyRequests {
		return 1
	}
	if d.recent > mean*jumpUp || d.recent < mean*jumpDown {
		return d.recent / mean
	}
	return 1
}

// measure ends a measurement, unless it is shorter than the shortest time.
// Changes by more than half are taken at once and smaller ones are smoothed,
// because shares that follow noise are lost on the way from one node to the
// other. A fall is smoothed as well where few requests are usual: then a gap
// says nothing, and would give the share away.
func (d *demand) measure(now time.Time, shortest time.Duration) {
	elapsed := now.Sub(d.since)
	if d.usual > 0 && elapsed < shortest {
		return
	}
	// The first requests count as if they had taken twice the shortest time.
	if d.usual == 0 {
		elapsed = max(elapsed, 2*shortest)
	}
	seconds := elapsed.Seconds()
	fall := d.usual*seconds >= manyRequests
	rise := d.requests >= manyRequests
	d.decay(now)
	jump := d.jump(d.requests / seconds)
	rise = rise || jump > 1
	fall = fall || jump < 1
	for index := range d.units {
		latest := d.units[index] / lagoonbarrow.WorkUnits(seconds) * lagoonbarrow.WorkUnits(jump)
		d.perSecond[index] = follow(d.perSecond[index], latest, rise, fall)
		d.units[index] = 0
	}
	d.usual = (d.usual + d.requests/seconds) / 2
	if jump != 1 {
		d.usual = d.recent
	}
	d.requests = 0
	d.since = now
	d.refused = false
}

// follow returns the new estimate; rise and fall tell whether there are enough
// requests for a large change in that direction to be more than chance.
func follow(before, latest lagoonbarrow.WorkUnits, rise, fall bool) lagoonbarrow.WorkUnits {
	switch {
	case before == 0:
		return latest
	case rise && latest > before*3/2:
		return latest
	case fall && latest < before/2:
		return latest
	default:
		return (before + latest) / 2
	}
}

// fallen reports whether far less is asked for than before.
func (d *demand) fallen(now time.Time) bool {
	d.decay(now)
	if d.usual*2*recentTime.Seconds() >= 2*manyRequests && d.recent < d.usual*jumpDown {
		return true
	}
	elapsed := now.Sub(d.since).Seconds()
	expected := d.perSecond.sum() * lagoonbarrow.WorkUnits(elapsed)
	return d.usual*elapsed >= manyRequests && d.units.sum() < expected/4
}

// plan counts the reports of steady demand and the early ones after a growth.
func (d *demand) plan(now time.Time, early bool) {
	d.calm++
	if !d.steady(now) {
		d.calm = 0
	}
	switch {
	case d.grown(now):
		d.followUps = followUps
	case early && d.followUps > 0:
		d.followUps--
	}
}

// steady reports whether the requests are as frequent as usual.
func (d *demand) steady(now time.Time) bool {
	seconds := now.Sub(d.since).Seconds()
	expected := d.perSecond.sum() * lagoonbarrow.WorkUnits(seconds)
	return !d.refused && d.jump(d.usual) == 1 && d.units.sum() < expected*jumpUp && d.units.sum() > expected*jumpDown
}

// grown reports whether requests have become more frequent, or more was asked
// for since the last report than in a whole interval before it, by a margin that steady demand does not reach.
func (d *demand) grown(now time.Time) bool {
	d.decay(now)
	if d.recent*2*recentTime.Seconds() >= manyRequests && d.recent > d.usual*jumpUp {
		return true
	}
	return d.units.sum() > d.perSecond.sum()*growth
}
