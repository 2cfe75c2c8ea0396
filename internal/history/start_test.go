package history

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow/internal/standin/fleet"
)

// Guards against members that stay unknown to each other after a common start,
// which leaves parts of the fleet without work.
func TestPropertyFleetsConverge(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, _ *rand.Rand) {
		startFleet(t, "", chain(3, 3, fleet.Service{
			Slots:       20,
			ServiceTime: time.Millisecond,
		})...)
	})
}
