package quota

import (
	"math"
	"time"

	"lagoonbarrow"
)

// growthFactor is the growth of demand from which it is reported early.
const growthFactor = 1.25

// minSignificantRequests is the number of expected requests from which a fall to
// less than half is not taken for chance. With 10 expected requests, chance causes
// such a fall once in 30 measurements.
const minSignificantRequests = 10

// recentTimeConstant is the time constant of the recent request rate. It is
// shorter than the 250 ms between reports, because a report must include most of
// a jump.
const recentTimeConstant = 100 * time.Millisecond

// jumpUp and jumpDown are the factors beyond which the recent request rate
// replaces the mean. With the 10 requests needed for it, one of them is 3 and the
// other 2 standard deviations from the mean.
const (
	jumpUp   = 1.8
	jumpDown = 0.3
)

// maxFollowUps bounds the early reports after demand has grown. A customer that
// stays over its rate is then reported once a second again.
const maxFollowUps = 4

// levelCount is the number of importance levels of demand.
const levelCount = 3

// byLevel holds work units per second, from critical to deferrable.
type byLevel [levelCount]lagoonbarrow.WorkUnits

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
		return levelCount - 1
	}
}

// demand measures the work that a customer requests on this node, admitted and
// refused.
type demand struct {
	// units and requests count since the last measurement.
	units         byLevel
	requests      float64
	measuredSince time.Time
	perSecond     byLevel
	// usualRate is the smoothed number of requests per second, and 0 before the
	// first measurement.
	usualRate float64
	// recentRate is the number of requests per second at recentAt, as a decaying
	// average with recentTimeConstant.
	recentRate float64
	recentAt   time.Time
	// followUps is the number of early reports left after demand has grown.
	followUps int
	// steadyReports is the number of successive reports of steady demand.
	steadyReports int
	// refused is set when a request was refused since the last measurement.
	refused bool
	// reportedAt is when the demand was last reported to an owner.
	reportedAt time.Time
}

func (d *demand) record(now time.Time, level lagoonbarrow.Importance, units lagoonbarrow.WorkUnits) {
	d.decay(now)
	d.recentRate += 1 / recentTimeConstant.Seconds()
	d.units[levelIndex(level)] += units
	d.requests++
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.recentAt); elapsed > 0 {
		d.recentRate *= math.Exp(-elapsed.Seconds() / recentTimeConstant.Seconds())
		d.recentAt = now
	}
}

// jumpFactor returns the factor by which the recent request rate differs from the
// mean of the current measurement, or 1 if that may be chance. Without it, a jump
// at the end of a measurement would count only in part.
func (d *demand) jumpFactor(mean float64) float64 {
	if mean <= 0 || max(d.recentRate, mean)*2*recentTimeConstant.Seconds() < minSignificantRequests {
		return 1
	}
	if d.recentRate > mean*jumpUp || d.recentRate < mean*jumpDown {
		return d.recentRate / mean
	}
	return 1
}

// measure ends a measurement, unless it is shorter than minInterval. Changes by
// more than half apply at once. Smaller ones are smoothed, because a share that
// moves between nodes is unusable meanwhile, and noise must not move it. A fall is
// also smoothed when few requests are usual, because a gap between them must not
// give up the share.
func (d *demand) measure(now time.Time, minInterval time.Duration) {
	elapsed := now.Sub(d.measuredSince)
	if d.usualRate > 0 && elapsed < minInterval {
		return
	}
	// The first requests count as if they had taken twice minInterval.
	if d.usualRate == 0 {
		elapsed = max(elapsed, 2*minInterval)
	}
	seconds := elapsed.Seconds()
	trustFall := d.usualRate*seconds >= minSignificantRequests
	trustRise := d.requests >= minSignificantRequests
	d.decay(now)
	jumpFactor := d.jumpFactor(d.requests / seconds)
	trustRise = trustRise || jumpFactor > 1
	trustFall = trustFall || jumpFactor < 1
	for index := range d.units {
		latest := d.units[index] / lagoonbarrow.WorkUnits(seconds) * lagoonbarrow.WorkUnits(jumpFactor)
		d.perSecond[index] = smooth(d.perSecond[index], latest, trustRise, trustFall)
		d.units[index] = 0
	}
	d.usualRate = (d.usualRate + d.requests/seconds) / 2
	if jumpFactor != 1 {
		d.usualRate = d.recentRate
	}
	d.requests = 0
	d.measuredSince = now
	d.refused = false
}

// smooth returns the new estimate of the demand. trustRise and trustFall report
// whether there are enough requests for a large change in that direction to be
// more than chance.
func smooth(before, latest lagoonbarrow.WorkUnits, trustRise, trustFall bool) lagoonbarrow.WorkUnits {
	switch {
	case before == 0:
		return latest
	case trustRise && latest > before*3/2:
		return latest
	case trustFall && latest < before/2:
		return latest
	default:
		return (before + latest) / 2
	}
}

// hasFallen reports whether far less work is requested than before.
func (d *demand) hasFallen(now time.Time) bool {
	d.decay(now)
	if d.usualRate*2*recentTimeConstant.Seconds() >= 2*minSignificantRequests && d.recentRate < d.usualRate*jumpDown {
		return true
	}
	elapsed := now.Sub(d.measuredSince).Seconds()
	expected := d.perSecond.sum() * lagoonbarrow.WorkUnits(elapsed)
	return d.usualRate*elapsed >= minSignificantRequests && d.units.sum() < expected/4
}

// countReport updates the counts of steady reports and of early reports left
// after a growth.
func (d *demand) countReport(now time.Time, early bool) {
	d.steadyReports++
	if !d.isSteady(now) {
		d.steadyReports = 0
	}
	switch {
	case d.hasGrown(now):
		d.followUps = maxFollowUps
	case early && d.followUps > 0:
		d.followUps--
	}
}

// isSteady reports whether no request was refused and the demand is about as
// high as usual.
func (d *demand) isSteady(now time.Time) bool {
	seconds := now.Sub(d.measuredSince).Seconds()
	expected := d.perSecond.sum() * lagoonbarrow.WorkUnits(seconds)
	return !d.refused && d.jumpFactor(d.usualRate) == 1 && d.units.sum() < expected*jumpUp && d.units.sum() > expected*jumpDown
}

// hasGrown reports whether requests have become more frequent, or more work was
// requested since the last measurement than in a full second at the measured
// rate, by a margin that steady demand does not reach.
func (d *demand) hasGrown(now time.Time) bool {
	d.decay(now)
	if d.recentRate*2*recentTimeConstant.Seconds() >= minSignificantRequests && d.recentRate > d.usualRate*jumpUp {
		return true
	}
	return d.units.sum() > d.perSecond.sum()*growthFactor
}
