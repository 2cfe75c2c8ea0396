package quota

import (
	"time"

	"lagoonbarrow"
)

// growth is the factor by which demand has grown when it is reported early.
const growth = 1.25

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
	// units were asked for since the last measurement.
	units     byLevel
	since     time.Time
	perSecond byLevel
	// refused is set when a request was refused since the last measurement.
	refused bool
	// reported is when the demand was last sent to an owner.
	reported time.Time
}

func (d *demand) add(level lagoonbarrow.Importance, units lagoonbarrow.WorkUnits) {
	d.units[levelIndex(level)] += units
}

// measure ends a measurement. The result rises at once and falls by half, so
// that a gap of one interval between requests does not give the share away. The
// first requests of a customer count as if they had taken the shortest time.
func (d *demand) measure(now time.Time, shortest time.Duration) {
	elapsed := lagoonbarrow.WorkUnits(max(now.Sub(d.since), shortest).Seconds())
	for index := range d.units {
		latest := d.units[index] / elapsed
		d.perSecond[index] = max(latest, (d.perSecond[index]+latest)/2)
		d.units[index] = 0
	}
	d.since = now
	d.refused = false
}

// grown reports whether more was asked for since the last report than in a
// whole interval before it, by a margin that steady demand does not reach.
func (d *demand) grown() bool {
	return d.units.sum() > d.perSecond.sum()*growth
}
