package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
	"lagoonbarrow/internal/standin/platform"
)

const (
	outageDuration = 4 * time.Second
	// burstLimit bounds the requests that 6 nodes send to the platform in the first
	// second after an outage: each node sends those of a normal second, one probe
	// and one registration.
	burstLimit = 60
)

// Guards against a platform outage that stops calls under contracts already in
// force, lets filings run without a claim, or is followed by a burst of requests.
func TestPropertyPlatformOutage(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 3, fleet.Service{
			Slots:       30,
			ServiceTime: 5 * time.Millisecond,
		})...)
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		down := []string{platform.DownRefuse, platform.DownHang}[random.IntN(2)]
		t.Logf("the platform's fault: %s", down)
		f.Platform.SetFaults(platform.Faults{
			Down: down,
		})
		load := f.startLoad(random, 8)
		// The first failed requests open the circuit breakers.
		f.checkFilingsRefused(0)
		began := time.Now()
		refusals := 0
		for number := 1; time.Since(began) < outageDuration; number++ {
			refusals += f.checkFilingsRefused(number)
		}
		load.stop()
		if load.failed.Load() > 0 {
			t.Errorf("%d of %d look-ups failed during the outage; the first: %s", load.failed.Load(), load.requests.Load(), load.firstFailure())
		}
		before := f.Platform.Stats()
		f.Platform.SetFaults(platform.Faults{})
		time.Sleep(time.Second)
		after := f.Platform.Stats()
		requests := after.Reads - before.Reads + after.Batches - before.Batches
		t.Logf("%d look-ups during the outage, %d filings were refused as not run, %d requests in the first second after the outage", load.requests.Load(), refusals, requests)
		if requests > burstLimit {
			t.Errorf("%d requests reached the platform in the first second after the outage", requests)
		}
		f.awaitFilings("filings run again", "after-outage")
	})
}

// checkFilingsRefused sends a filing to each entry node and checks that it is refused
// as not run and has not run. It returns the number of refusals.
func (f *testFleet) checkFilingsRefused(number int) int {
	f.t.Helper()
	refusals := 0
	for _, node := range f.NodesOf("hop1") {
		key := fmt.Sprintf("%s-%d", node.Name, number)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer := node.Do(ctx, fleet.Call{
			Method: "POST",
			Path:   "/filing/" + key,
			Key:    key,
		})
		cancel()
		if answer.Err != nil || answer.Outcome != string(lagoonbarrow.OutcomeNotRun) {
			f.t.Errorf("a filing during the outage got %v %d %s %s", answer.Err, answer.Status, answer.Outcome, answer.Body)
			continue
		}
		refusals++
	}
	for _, node := range f.NodesOf("hop1") {
		for _, run := range node.Backend.Runs() {
			if run.Method == "POST" {
				f.t.Errorf("%s ran although it was refused", run.Path)
			}
		}
	}
	return refusals
}

// awaitFilings waits until every entry node serves a filing.
func (f *testFleet) awaitFilings(description, prefix string) {
	f.t.Helper()
	for _, node := range f.NodesOf("hop1") {
		attempt := 0
		f.Await(description+" at "+node.Name, 10*time.Second, func() bool {
			attempt++
			key := fmt.Sprintf("%s-%s-%d", prefix, node.Name, attempt)
			answer := node.Do(context.Background(), fleet.Call{
				Method: "POST",
				Path:   "/filing/" + key,
				Key:    key,
			})
			return answer.Status == 200
		})
	}
}
