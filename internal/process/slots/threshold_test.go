package slots

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonbarrow"
)

// callTime is how long calls hold their slot.
const callTime = 20 * time.Millisecond

// overload asks for twice as many slots as the gate has, for the given time, and
// waits until all calls have ended. It returns the threshold at the end of the time.
func overload(gate *Gate, length time.Duration) lagoonbarrow.Threshold {
	interval := callTime / time.Duration(2*gate.Load().Limit)
	var calls sync.WaitGroup
	for i := range int(length / interval) {
		calls.Go(func() {
			release, err := gate.Acquire(context.Background(), Demand{
				Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, uint64(i)),
				Nested:   true,
				MaxWait:  300 * time.Millisecond,
			})
			if err != nil {
				return
			}
			time.Sleep(callTime)
			release()
		})
		time.Sleep(interval)
	}
	met := gate.Threshold()
	calls.Wait()
	return met
}

// Guards against a threshold that stays down while calls queue, that closes the
// service to critical work, or that stays up when the overload has ended.
func TestThresholdFollowsTheOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(20)
		during := overload(gate, time.Second)
		least := lagoonbarrow.Threshold(lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0))
		if during <= least || during > lagoonbarrow.CriticalThreshold {
			t.Errorf("threshold %d while twice as many calls come as can be served", during)
		}
		// A few calls still come and find slots.
		for range 20 {
			time.Sleep(thresholdWindow)
			acquire(t, gate, Demand{})()
		}
		if after := gate.Threshold(); after != 0 {
			t.Errorf("threshold %d after the overload", after)
		}
	})
}

// Guards against a threshold that is kept from an overload long ago.
func TestThresholdIsForgottenWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(20)
		overload(gate, time.Second)
		time.Sleep(2 * idleTime)
		if got := gate.Threshold(); got != 0 {
			t.Errorf("threshold %d after a time without calls", got)
		}
	})
}
