package history

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow/internal/standin/fleet"
)

// Guards against look-ups that wait for a frozen instance until their deadline of
// 3 s although other instances could serve them.
func TestPropertyFreezesCostNoLookups(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 4, fleet.Service{
			Slots:       30,
			ServiceTime: 5 * time.Millisecond,
		})...)
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		load := f.startLoad(random, 12)
		time.Sleep(300 * time.Millisecond)
		for range 2 {
			frozen := f.NodesOf("hop2")[random.IntN(4)]
			frozen.Freeze()
			time.Sleep(4 * time.Second)
			frozen.Unfreeze()
			time.Sleep(500 * time.Millisecond)
		}
		load.stop()
		t.Logf("%d requests, %d failed", load.requests.Load(), load.failed.Load())
		if load.failed.Load() > 0 {
			t.Errorf("%d of %d requests failed; the first: %s", load.failed.Load(), load.requests.Load(), load.firstFailure())
		}
	})
}
