package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// injector holds the current faults and makes the random choices.
type injector struct {
	mutex  sync.Mutex
	faults Faults
	random *rand.Rand
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	// stopped is closed when the server stops.
	stopped chan struct{}
}

func newInjector(faults Faults) *injector {
	in := &injector{
		changed: make(chan struct{}),
		stopped: make(chan struct{}),
	}
	in.set(faults)
	return in
}

// set replaces the faults, restarts the random sequence and ends the wait of
// hanging requests.
func (in *injector) set(faults Faults) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.faults = faults
	in.random = rand.New(rand.NewPCG(faults.Seed, 0))
	close(in.changed)
	in.changed = make(chan struct{})
}

// get returns the faults and a channel that is closed when they change.
func (in *injector) get() (Faults, <-chan struct{}) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.faults, in.changed
}

// chance returns true with the given probability.
func (in *injector) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.random.Float64() < probability
}

// sleep waits for the duration or until the server stops.
func (in *injector) sleep(duration time.Duration) {
	if duration <= 0 {
		return
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-in.stopped:
	}
}

// waitOutage reports whether the request is rejected because the platform is down.
// It first waits while the platform hangs.
func (in *injector) waitOutage() bool {
	faults, changed := in.get()
	switch faults.Down {
	case DownRefuse:
		return true
	case DownHang:
		select {
		case <-changed:
		case <-in.stopped:
		}
		return true
	default:
		return false
	}
}

// delayWrite waits if this write is to be delayed.
func (in *injector) delayWrite() {
	faults, _ := in.get()
	if faults.DelayWrites <= 0 {
		return
	}
	if faults.DelayProbability > 0 && !in.chance(faults.DelayProbability) {
		return
	}
	in.sleep(time.Duration(faults.DelayWrites))
}
