package contract

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/pkg/event"
)

// fallbackPollsPerSecond bounds the reads of all stale nodes together to a
// tenth of the platform's 2,000 reads per second.
const fallbackPollsPerSecond = 200

// confirmation tells that all changes accepted before a time on this node's
// clock are in force here.
type confirmation struct {
	known bool
	at    time.Time
}

// Gossip returns what membership messages carry: the applied revision and the
// time since it was confirmed to be the platform's head. known is false before
// the contracts were read from the platform.
func (d *Distributor) Gossip() (revision lagoonbarrow.Revision, age time.Duration, known bool) {
	if !d.config.Registry.Ready() {
		return 0, 0, false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	// The revision is read under the lock that confirm takes, so that an age
	// never goes with a revision from before its confirmation.
	revision = d.config.Registry.Revision()
	if !d.confirmed.known {
		return revision, 0, false
	}
	return revision, max(0, d.config.Now().Sub(d.confirmed.at)), true
}

// Observe takes what a peer's membership message carried. A higher revision is
// pulled from the peer in the background. An equal or lower one confirms that
// this node missed no change until then. A message that was delayed on its way
// counts as younger than it is; the timeouts of membership messages bound that
// to half a second.
func (d *Distributor) Observe(from lagoonbarrow.Instance, revision lagoonbarrow.Revision, age time.Duration, known bool) {
	if !known || !d.config.Registry.Ready() {
		return
	}
	if revision > d.config.Registry.Revision() {
		d.want(from.Peer, revision)
		return
	}
	if age >= 0 {
		d.confirm(revision, d.config.Now().Add(-age))
	}
}

// confirm notes that the platform's head was at the revision at a time. It
// counts once the registry has reached that revision: then all changes that
// were accepted before that time are in force here.
func (d *Distributor) confirm(revision lagoonbarrow.Revision, at time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.config.Registry.Revision() < revision {
		return
	}
	if d.confirmed.known && !at.After(d.confirmed.at) {
		return
	}
	d.confirmed = confirmation{
		known: true,
		at:    at,
	}
}

func (d *Distributor) sinceConfirmed() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.config.Now().Sub(d.confirmed.at)
}

// watchAge notes when the node becomes stale, and reports once when it stays so.
func (d *Distributor) watchAge() {
	age := d.sinceConfirmed()
	d.metrics.age.Update(age.Seconds())
	d.metrics.revision.Update(float64(d.config.Registry.Revision()))
	if d.noteAge(age) {
		d.recordEvent(event.ContractsStale, event.Fields{
			Detail: "not confirmed for " + age.Round(time.Millisecond).String(),
		})
	}
}

// noteAge returns whether to report the age. It places the first fall-back
// read at random, because many nodes become stale at the same time when the
// readers lose the platform.
func (d *Distributor) noteAge(age time.Duration) (report bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	stale := age > d.config.StaleAfter
	if stale && !d.stale {
		d.nextPoll = d.config.Now().Add(rand.N(d.fallbackInterval()))
	}
	d.stale = stale
	long := age > d.config.ReportAfter
	report = long && !d.reported
	d.reported = long
	return report
}

// fallbackDue reports whether a stale node may read the head now. The wait
// between two such reads grows with the number of instances.
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
	perNode := time.Second * time.Duration(d.readers.live) / fallbackPollsPerSecond
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
