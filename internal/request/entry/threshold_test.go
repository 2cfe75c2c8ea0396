package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against a threshold that decays during an overload because there are few
// answers, and one that stays after the overload. Requests of normal importance arrive
// at an even rate, first with a downstream threshold that refuses them all and then
// with none.
func TestThresholdFollowsOverload(t *testing.T) {
	const downstream = lagoonbarrow.CriticalThreshold
	key := classKey{
		customer: "residents",
		class:    "lookup",
	}
	for _, perSecond := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(0, 0)
			thresholds := newThresholds(customerDecay, func() time.Time { return now })
			// offer sends requests for some seconds. It returns how many passed and when
			// the last one was refused.
			offer := func(seconds int, threshold lagoonbarrow.Threshold) (passed int, lastRefused time.Duration) {
				began := now
				for range seconds * perSecond {
					now = now.Add(time.Second / time.Duration(perSecond))
					priority := lagoonbarrow.NewPriority(lagoonbarrow.ImportanceNormal, random.Uint64())
					if !thresholds.admits(key, priority) {
						lastRefused = now.Sub(began)
						continue
					}
					passed++
					thresholds.observe(key, threshold)
				}
				return passed, lastRefused
			}
			offer(5, downstream)
			passed, _ := offer(20, downstream)
			passedPerSecond := float64(passed) / 20
			_, lastRefused := offer(5, 0)
			t.Logf("%.1f/s pass during the overload, the last refusal is %s after its end", passedPerSecond, lastRefused)
			if passedPerSecond > 10+float64(perSecond)/probeInterval {
				t.Errorf("%.1f requests/s pass", passedPerSecond)
			}
			if lastRefused >= 2*time.Second {
				t.Errorf("requests are refused until %s after the overload", lastRefused)
			}
		})
	}
}

// Guards against classes of ended contracts that are never removed, and against a
// threshold that takes 2 s or longer to decay without answers.
func TestThresholdsDecay(t *testing.T) {
	now := time.Unix(0, 0)
	thresholds := newThresholds(customerDecay, func() time.Time { return now })
	for i := range 1000 {
		key := classKey{
			class: lagoonbarrow.ClassName(fmt.Sprint(i)),
		}
		for range 50 {
			thresholds.observe(key, refuseAllThreshold(lagoonbarrow.ImportanceDeferrable))
		}
		now = now.Add(1990 * time.Millisecond)
		if !thresholds.admits(key, lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0)) {
			t.Fatal("deferrable work is refused without answers")
		}
	}
	if kept := len(thresholds.classes); kept > 20 {
		t.Errorf("%d of 1000 classes are kept after half an hour", kept)
	}
}
