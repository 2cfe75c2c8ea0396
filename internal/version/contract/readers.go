package contract

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"lagoonbarrow"
)

// readersPerZone is two, so that one frozen reader delays no change.
const readersPerZone = 2

// readerCache keeps the choice of one period; computing it passes over all
// instances.
type readerCache struct {
	period int64
	valid  bool
	self   bool
	live   int
}

// isReader reports whether this node reads the head row in the present period.
// Nodes whose clocks or rosters differ may choose different readers, which
// costs reads and never a change.
func (d *Distributor) isReader() bool {
	period := d.config.Now().UnixNano() / int64(d.config.ReaderPeriod)
	d.mutex.Lock()
	cache := d.readers
	d.mutex.Unlock()
	if cache.valid && cache.period == period {
		return cache.self
	}
	live := d.config.Roster.Live()
	cache = readerCache{
		period: period,
		valid:  true,
		self:   chosen(d.config.Roster.Self(), live, period),
		live:   len(live),
	}
	d.mutex.Lock()
	d.readers = cache
	d.mutex.Unlock()
	return cache.self
}

// chosen ranks the instances of the availability zone by rendezvous hashing.
func chosen(self lagoonbarrow.Instance, live []lagoonbarrow.Instance, period int64) bool {
	own := readerScore(self.ID, period)
	higher := 0
	for index := range live {
		other := &live[index]
		if other.Zone != self.Zone || other.ID == self.ID || !canRead(other.State) {
			continue
		}
		score := readerScore(other.ID, period)
		if score > own || score == own && other.ID > self.ID {
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
