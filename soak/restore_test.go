package soak

import (
	"math/rand/v2"
	"time"

	"lagoonbarrow/platform/standin"
)

const (
	// restoreStream selects the random sequence of the restores of a seed.
	restoreStream = 11
	// maxRestorePause bounds the time between two restores, and maxStoreAbsence the time for
	// which the store is away before one.
	maxRestorePause = 4 * time.Second
	maxStoreAbsence = time.Second
	// maxCopyAge bounds the age of the copy that a restore uses.
	maxCopyAge = 3 * time.Second
	// copyInterval is the time between two copies of the store.
	copyInterval = 100 * time.Millisecond
	// firstCopyShare is one in how many restores uses a copy from before the nodes started.
	firstCopyShare = 6
	// maxOtherWrites bounds the writes after a restore that are not of the nodes.
	maxOtherWrites = 20
)

// injectRestores restores the store from older copies, concurrently with the other faults.
// It has its own random sequence, as the link faults have.
func (f *fleet) injectRestores(end time.Time) {
	random := rand.New(rand.NewPCG(f.seed, restoreStream))
	copies := []standin.Copy{f.store.Copy()}
	next := time.Now().Add(time.Duration(random.Int64N(int64(maxRestorePause))))
	for time.Now().Before(end) {
		time.Sleep(copyInterval)
		if time.Now().Before(next) {
			copies = append(copies, f.store.Copy())
			continue
		}
		age := random.IntN(int(maxCopyAge / copyInterval))
		from := copies[max(0, len(copies)-1-age)]
		if random.IntN(firstCopyShare) == 0 {
			from = f.firstCopy
		}
		absence := time.Duration(random.Int64N(int64(maxStoreAbsence)))
		f.restore(from, absence, random.IntN(maxOtherWrites))
		copies = []standin.Copy{f.store.Copy()}
		next = time.Now().Add(time.Duration(random.Int64N(int64(maxRestorePause))))
	}
}

// restore takes the store away, and brings it back from a copy. The operator changes the
// configuration then. Other writes move the counter, below or above its last value.
func (f *fleet) restore(from standin.Copy, absence time.Duration, otherWrites int) {
	f.injectStoreFaults(standin.Faults{
		Failure: standin.FailBusy,
	}, absence)
	f.store.Restore(from)
	for range otherWrites {
		f.store.Put("other", "key", []byte("value"))
	}
	f.changeConfiguration()
}
