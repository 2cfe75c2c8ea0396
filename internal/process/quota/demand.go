package quota

import (
	"time"

	"lagoonbarrow"
)

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
	// reported is when the demand was last sent to an owner.
	reported time.Time
}

func (d *demand) add(level lagoonbarrow.Importance, units lagoonbarrow.WorkUnits) {
	d.units[levelIndex(level)] += units
}

// measure ends a measurement. The result rises at once and falls by half, so
// that a gap of one interval between requests does not give the share away.
func (d *demand) measure(now time.Time, interval time.Duration) {
	elapsed := lagoonbarrow.WorkUnits(max(now.Sub(d.since), interval).Seconds())
	for index := range d.units {
		latest := d.units[index] / elapsed
		d.perSecond[index] = max(latest, (d.perSecond[index]+latest)/2)
		d.units[index] = 0
	}
	d.since = now
}
