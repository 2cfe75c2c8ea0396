package slots

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lagoonbarrow"
)

// callTime is how long each call holds its slot.
const callTime = 20 * time.Millisecond

// overload sends calls at twice the capacity of the gate for the given time and waits
// until all have ended. It returns the threshold at the end of that time.
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
	reached := gate.Threshold()
	calls.Wait()
	return reached
}

// Guards against a threshold that stays down while calls queue, excludes critical
// calls, or stays up after the overload has ended.
func TestThresholdFollowsTheOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(20)
		during := overload(gate, time.Second)
		lowest := lagoonbarrow.Threshold(lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0))
		if during <= lowest || during > lagoonbarrow.CriticalThreshold {
			t.Errorf("threshold %d while twice as many calls arrive as can be served", during)
		}
		// A few calls still arrive and get a slot at once.
		for range 20 {
			time.Sleep(thresholdWindow)
			mustAcquire(t, gate, Demand{})()
		}
		if after := gate.Threshold(); after != 0 {
			t.Errorf("threshold %d after the overload", after)
		}
	})
}

// Guards against a threshold that stays in force long after an overload.
func TestThresholdIsResetWithoutCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(20)
		overload(gate, time.Second)
		time.Sleep(2 * idleTime)
		if got := gate.Threshold(); got != 0 {
			t.Errorf("threshold %d after a time without calls", got)
		}
	})
}
