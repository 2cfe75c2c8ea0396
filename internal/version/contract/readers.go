package contract

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// readersPerZone is 2 because one frozen reader must not delay changes.
const readersPerZone = 2

// readerCache holds the choice for one period, because computing it iterates
// over all instances.
type readerCache struct {
	period    int64
	valid     bool
	selected  bool
	liveCount int
}

// isReader reports whether this node reads the head row in the current period.
// Nodes whose clocks or rosters differ may choose different readers. This changes
// the number of reads, but no change is missed.
func (d *Distributor) isReader() bool {
	period := d.config.Now().UnixNano() / int64(d.config.ReaderPeriod)
	d.mutex.Lock()
	cache := d.readers
	d.mutex.Unlock()
	if cache.valid && cache.period == period {
		return cache.selected
	}
	live := d.config.Roster.Live()
	cache = readerCache{
		period:    period,
		valid:     true,
		selected:  isChosenReader(d.config.Roster.Self(), live, period),
		liveCount: len(live),
	}
	d.mutex.Lock()
	d.readers = cache
	d.mutex.Unlock()
	return cache.selected
}

// isChosenReader ranks the instances of the availability zone by rendezvous
// hashing and reports whether self is one of the first readersPerZone.
func isChosenReader(self lagoonbarrow.Instance, live []lagoonbarrow.Instance, period int64) bool {
	ownScore := readerScore(self.ID, period)
	higher := 0
	for index := range live {
		other := &live[index]
		if other.Zone != self.Zone || other.ID == self.ID || !canRead(other.State) {
			continue
		}
		score := readerScore(other.ID, period)
		if score > ownScore || score == ownScore && other.ID > self.ID {
			higher++
		}
	}
	return higher < readersPerZone
}

func canRead(state lagoonbarrow.InstanceState) bool {
	return state == lagoonbarrow.StateReady || state == lagoonbarrow.StateStarting
}

func readerScore(id lagoonbarrow.InstanceID, period int64) uint64 {
	return xxhash.Sum64String(strconv.FormatInt(period, 10) + "/" + string(id))
}
