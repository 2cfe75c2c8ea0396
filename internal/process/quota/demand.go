package quota

import (
	"time"

	"lagoonbarrow"
)

// demand measures the work that a customer asks for on this node, admitted
// and refused.
type demand struct {
	// units were asked for since the last measurement.
	units     lagoonbarrow.WorkUnits
	since     time.Time
	perSecond lagoonbarrow.WorkUnits
	// reported is when the demand was last sent to an owner.
	reported time.Time
}

// measure ends a measurement. The result rises at once and falls by half, so
// that a gap of one interval between requests does not give the share away.
func (d *demand) measure(now time.Time, interval time.Duration) {
	elapsed := max(now.Sub(d.since), interval)
	latest := d.units / lagoonbarrow.WorkUnits(elapsed.Seconds())
	d.perSecond = max(latest, (d.perSecond+latest)/2)
	d.units = 0
	d.since = now
}
