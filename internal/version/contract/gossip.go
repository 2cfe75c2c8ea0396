package contract

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// fallbackPollsPerSecond limits the reads of all stale nodes together to a tenth
// of the platform's 2,000 reads per second.
const fallbackPollsPerSecond = 200

// confirmation states that all changes accepted before a time on this node's
// clock are in force on this node.
type confirmation struct {
	valid bool
	at    time.Time
}

// Gossip returns the values that membership messages carry: the applied revision
// and the time since it was confirmed to be the platform's head. known is false
// until the contracts have been read from the platform.
func (d *Distributor) Gossip() (revision lagoonbarrow.Revision, age time.Duration, known bool) {
	if !d.config.Registry.Ready() {
		return 0, 0, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// Reading the revision under the lock that confirm uses prevents an age from
	// being returned with a revision from before its confirmation.
	revision = d.config.Registry.Revision()
	if !d.confirmed.valid {
		return revision, 0, false
	}
	return revision, max(0, d.config.Now().Sub(d.confirmed.at)), true
}

// HandleGossip processes the values of a peer's membership message. A higher revision
// is pulled from the peer in the background. An equal or lower one confirms that
// this node had all changes at that time. The delay of the message is not added
// to its age. Timeouts of membership messages limit this error to half a second.
func (d *Distributor) HandleGossip(from lagoonbarrow.Instance, revision lagoonbarrow.Revision, age time.Duration, known bool) {
	if !known || !d.config.Registry.Ready() {
		return
	}
	if revision > d.config.Registry.Revision() {
		d.requestPull(from.Peer, revision)
		return
	}
	if age >= 0 {
		d.confirm(revision, d.config.Now().Add(-age))
	}
}

// confirm records that the platform's head had the revision at a time. It has no
// effect until the registry has reached that revision, because only then are all
// changes accepted before that time in force on this node.
func (d *Distributor) confirm(revision lagoonbarrow.Revision, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.config.Registry.Revision() < revision {
		return
	}
	if d.confirmed.valid && !at.After(d.confirmed.at) {
		return
	}
	d.confirmed = confirmation{
		valid: true,
		at:    at,
	}
}

func (d *Distributor) confirmedAge() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.config.Now().Sub(d.confirmed.at)
}

// updateAge updates the metrics and the staleness. It records an event when the
// age first exceeds ReportAfter.
func (d *Distributor) updateAge() {
	age := d.confirmedAge()
	d.metrics.age.Update(age.Seconds())
	d.metrics.revision.Update(float64(d.config.Registry.Revision()))
	if d.updateStaleness(age) {
		d.recordEvent(event.ContractsStale, event.Fields{
			Detail: "not confirmed for " + age.Round(time.Millisecond).String(),
		})
	}
}

// updateStaleness returns whether to record an event for the age. It schedules
// the first fallback read at a random time, because many nodes become stale at
// once when the readers cannot reach the platform.
func (d *Distributor) updateStaleness(age time.Duration) (report bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stale := age > d.config.StaleAfter
	if stale && !d.stale {
		d.nextPoll = d.config.Now().Add(rand.N(d.fallbackInterval()))
	}
	d.stale = stale
	overdue := age > d.config.ReportAfter
	report = overdue && !d.reported
	d.reported = overdue
	return report
}

// fallbackDue reports whether a stale node may read the head now, and if so
// schedules the next read. The interval grows with the number of instances.
func (d *Distributor) fallbackDue() bool {
	now := d.config.Now()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.stale || now.Before(d.nextPoll) {
		return false
	}
	d.nextPoll = now.Add(d.fallbackInterval())
	return true
}

func (d *Distributor) fallbackInterval() time.Duration {
	perNode := time.Second * time.Duration(d.readers.liveCount) / fallbackPollsPerSecond
	return max(perNode, d.config.HeadInterval)
}

func (d *Distributor) recordEvent(kind event.Kind, fields event.Fields) {
	if d.config.Recorder != nil {
		d.config.Recorder.Record(kind, fields)
	}
}

func jitter(interval time.Duration) time.Duration {
	return interval*9/10 + rand.N(interval/5+1)
}
