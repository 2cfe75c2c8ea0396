package history

import (
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow/internal/standin/fleet"
)

// Guards against nodes that start at the same time and do not all discover each
// other, so that some receive no calls. Starting the fleet waits until every node
// lists all the others.
func TestPropertyFleetsConverge(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, _ *rand.Rand) {
		startFleet(t, "", chain(3, 3, fleet.Service{
			Slots:       20,
			ServiceTime: time.Millisecond,
		})...)
	})
}
