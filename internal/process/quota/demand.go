package quota

import (
	"time"

	"lagoonbarrow"
)

// growth is the factor by which demand has grown when it is reported early.
const growth = 1.25

// manyRequests is the number of requests of a measurement above which less than
// half of them is not chance: with 10 expected, it happens once in 30 times.
const manyRequests = 10

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
	// refused is set when a request was refused since the last measurement.
	refused bool
	// reported is when the demand was last sent to an owner.
	reported time.Time
}

func (d *demand) add(level lagoonbarrow.Importance, units lagoonbarrow.WorkUnits) {
	d.units[levelIndex(level)] += units
	d.requests++
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
	for index := range d.units {
		latest := d.units[index] / lagoonbarrow.WorkUnits(seconds)
		d.perSecond[index] = follow(d.perSecond[index], latest, rise, fall)
		d.units[index] = 0
	}
	d.usual = (d.usual + d.requests/seconds) / 2
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
	elapsed := now.Sub(d.since).Seconds()
	expected := d.perSecond.sum() * lagoonbarrow.WorkUnits(elapsed)
	return d.usual*elapsed >= manyRequests && d.units.sum() < expected/4
}

// grown reports whether more was asked for since the last report than in a
// whole interval before it, by a margin that steady demand does not reach.
func (d *demand) grown() bool {
	return d.units.sum() > d.perSecond.sum()*growth
}
