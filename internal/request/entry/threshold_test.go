package entry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
)

// Guards against a threshold that is forgotten when few answers come back, and
// one that stays after the overload has ended. Time is injected: a class of
// normal work is offered at an even rate, first with a threshold below that
// refuses all of it, then with none.
func TestThresholdFollowsOverload(t *testing.T) {
	const below = lagoonbarrow.CriticalThreshold
	key := classKey{
		customer: "residents",
		class:    "lookup",
	}
	for _, perSecond := range []int{1, 10, 100, 1000} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(0, 0)
			remembered := newThresholds(customerMemory, func() time.Time { return now })
			// offer makes requests for a time and returns how many passed, and when
			// the last one was refused.
			offer := func(seconds int, threshold lagoonbarrow.Threshold) (passed int, refused time.Duration) {
				began := now
				for range seconds * perSecond {
					now = now.Add(time.Second / time.Duration(perSecond))
					priority := lagoonbarrow.NewPriority(lagoonbarrow.ImportanceNormal, random.Uint64())
					if !remembered.admits(key, priority) {
						refused = now.Sub(began)
						continue
					}
					passed++
					remembered.observe(key, threshold)
				}
				return passed, refused
			}
			offer(5, below)
			passed, _ := offer(20, below)
			leak := float64(passed) / 20
			_, refused := offer(5, 0)
			t.Logf("%.1f/s pass during the overload, the last refusal comes %s after its end", leak, refused)
			if leak > 10+float64(perSecond)/probeInterval {
				t.Errorf("%.1f requests/s pass", leak)
			}
			if refused >= 2*time.Second {
				t.Errorf("requests are refused until %s after the overload", refused)
			}
		})
	}
}

// Guards against classes of ended contracts that are remembered for ever, and
// against a threshold that takes 2 s or longer to fade without answers.
func TestThresholdsFade(t *testing.T) {
	now := time.Unix(0, 0)
	remembered := newThresholds(customerMemory, func() time.Time { return now })
	for i := range 1000 {
		key := classKey{
			class: lagoonbarrow.ClassName(fmt.Sprint(i)),
		}
		for range 50 {
			remembered.observe(key, highestThreshold(lagoonbarrow.ImportanceDeferrable))
		}
		now = now.Add(1990 * time.Millisecond)
		if !remembered.admits(key, lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, 0)) {
			t.Fatal("deferrable work is refused without answers")
		}
	}
	if kept := len(remembered.classes); kept > 20 {
		t.Errorf("%d of 1000 classes are remembered after half an hour", kept)
	}
}
