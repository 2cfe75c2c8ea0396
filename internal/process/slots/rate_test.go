package slots

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
	"lagoonbarrow/platform/standin"
)

// grants sends requests at a steady rate through a gate and returns when each was granted.
// Each holds its slot for callTime.
func grants(gate *Gate, perSecond int, length, maxWait time.Duration) []standin.Arrival {
	var mu sync.Mutex
	var granted []standin.Arrival
	var requests sync.WaitGroup
	for i := range int(length.Seconds() * float64(perSecond)) {
		requests.Go(func() {
			release, err := gate.Acquire(context.Background(), Demand{
				Priority: lagoonbarrow.NewPriority(lagoonbarrow.ImportanceNormal, uint64(i)),
				MaxWait:  maxWait,
			})
			if err != nil {
				return
			}
			mu.Lock()
			granted = append(granted, standin.Arrival{
				At: time.Now(),
			})
			mu.Unlock()
			time.Sleep(callTime)
			release()
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
	return granted
}

// Guards against a server that gets more requests than the limit that it names, and against
// a limit that isn't used.
func TestRateLimitBoundsEachWindow(t *testing.T) {
	const window = 4 * time.Second
	tests := []struct {
		name    string
		limit   lagoonbarrow.RequestsPerSecond
		offered int
		// least is the number of requests that the fullest window should have.
		least int
	}{
		{
			name:    "low",
			limit:   2,
			offered: 50,
			least:   4 * 2,
		},
		{
			name:    "usual",
			limit:   15,
			offered: 50,
			least:   4 * 15,
		},
		{
			name:    "high",
			limit:   70,
			offered: 200,
			least:   4 * 70,
		},
		{
			name:    "above the load",
			limit:   70,
			offered: 50,
			least:   4 * 50,
		},
		{
			name:    "none accepted",
			limit:   0,
			offered: 50,
			least:   3,
		},
		{
			name:    "below one in ten seconds",
			limit:   0.05,
			offered: 50,
			least:   3,
		},
		{
			name:    "huge",
			limit:   math.MaxFloat64,
			offered: 50,
			least:   4 * 50,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate := newGate(72)
				gate.SetRateLimit(true, test.limit)
				granted := grants(gate, test.offered, 10*time.Second, 500*time.Millisecond)
				allowed := 1.5*float64(test.limit)*window.Seconds() + 5
				if got := standin.MostArrivals(granted, window); float64(got) > allowed || got < test.least {
					t.Errorf("%d requests in %s, want %d to %g", got, window, test.least, allowed)
				}
			})
		})
	}
}

// Guards against requests that wait for the limit longer than their sender allows, and
// against a refusal without a time to come back.
func TestRateLimitRefusesWhatWouldWaitTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(72)
		gate.SetRateLimit(true, 10)
		mustAcquire(t, gate, Demand{})()
		_, err := gate.Acquire(context.Background(), Demand{
			MaxWait: 50 * time.Millisecond,
		})
		var refusal *Refusal
		if !errors.As(err, &refusal) || refusal.RetryAfter != 100*time.Millisecond {
			t.Fatalf("error %v, %+v", err, refusal)
		}
		began := time.Now()
		mustAcquire(t, gate, Demand{
			MaxWait: 150 * time.Millisecond,
		})()
		if waited := time.Since(began); waited != 100*time.Millisecond {
			t.Errorf("waited %s", waited)
		}
	})
}

// Guards against less important requests that are sent before more important ones.
func TestRateLimitIsUsedInOrderOfImportance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(72)
		gate.SetRateLimit(true, 10)
		mustAcquire(t, gate, Demand{})()
		var mu sync.Mutex
		var order []lagoonbarrow.Importance
		var requests sync.WaitGroup
		for _, importance := range []lagoonbarrow.Importance{lagoonbarrow.ImportanceDeferrable, lagoonbarrow.ImportanceCritical, lagoonbarrow.ImportanceNormal} {
			requests.Go(func() {
				release := mustAcquire(t, gate, Demand{
					Priority: lagoonbarrow.NewPriority(importance, 0),
					MaxWait:  time.Second,
				})
				mu.Lock()
				order = append(order, importance)
				mu.Unlock()
				release()
			})
			synctest.Wait()
		}
		requests.Wait()
		want := []lagoonbarrow.Importance{lagoonbarrow.ImportanceCritical, lagoonbarrow.ImportanceNormal, lagoonbarrow.ImportanceDeferrable}
		for i, importance := range want {
			if order[i] != importance {
				t.Fatalf("order %v, want %v", order, want)
			}
		}
	})
}

// Guards against requests that still wait for a limit that is no longer named.
func TestRequestsAreSentWhenTheLimitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(72)
		gate.SetRateLimit(true, 0)
		mustAcquire(t, gate, Demand{})()
		began := time.Now()
		var requests sync.WaitGroup
		for range 20 {
			requests.Go(func() {
				mustAcquire(t, gate, Demand{
					MaxWait: time.Minute,
				})()
			})
		}
		synctest.Wait()
		gate.SetRateLimit(false, 0)
		requests.Wait()
		if waited := time.Since(began); waited != 0 {
			t.Errorf("waited %s", waited)
		}
	})
}

// Guards against requests that use up the limit and are not sent.
func TestUnusedRequestsDoNotUseTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(72)
		gate.SetRateLimit(true, 10)
		for range 20 {
			release := mustAcquire(t, gate, Demand{})
			gate.Unused()
			release()
		}
		if usage := gate.RateUsage(); usage != 0 {
			t.Errorf("usage %g", usage)
		}
	})
}

// Guards against a threshold that stays down while calls wait for the rate limit, and that
// stays up afterwards.
func TestThresholdFollowsTheRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate(72)
		gate.SetRateLimit(true, 50)
		grants(gate, 100, 2*time.Second, 300*time.Millisecond)
		if got := gate.Threshold(); got == 0 || got > lagoonbarrow.CriticalThreshold {
			t.Errorf("threshold %d at twice the limit", got)
		}
		if usage := gate.RateUsage(); usage < 0.8 {
			t.Errorf("usage %g at twice the limit", usage)
		}
		grants(gate, 20, 2*time.Second, 300*time.Millisecond)
		if got := gate.Threshold(); got != 0 {
			t.Errorf("threshold %d below the limit", got)
		}
	})
}
