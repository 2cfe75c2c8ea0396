package platform

import (
	"math/rand/v2"
	"sync"
	"time"
)

// injector holds the faults in force and draws the random choices.
type injector struct {
	mutex   sync.Mutex
	faults  Faults
	random  *rand.Rand
	changed chan struct{}
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

// set replaces the faults, restarts the random sequence and wakes the requests
// that hang.
func (in *injector) set(faults Faults) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	in.faults = faults
	in.random = rand.New(rand.NewPCG(faults.Seed, 0))
	close(in.changed)
	in.changed = make(chan struct{})
}

func (in *injector) get() (Faults, <-chan struct{}) {
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.faults, in.changed
}

func (in *injector) draw(probability float64) bool {
	if probability <= 0 {
		return false
	}
	in.mutex.Lock()
	defer in.mutex.Unlock()
	return in.random.Float64() < probability
}

// sleep waits for the duration or the end of the server.
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

// down waits while the platform hangs and reports whether the request is refused.
func (in *injector) down() bool {
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

// delayWrite waits for the time that this write is delayed.
func (in *injector) delayWrite() {
	faults, _ := in.get()
	if faults.DelayWrites <= 0 {
		return
	}
	if faults.DelayProbability > 0 && !in.draw(faults.DelayProbability) {
		return
	}
	in.sleep(time.Duration(faults.DelayWrites))
}
