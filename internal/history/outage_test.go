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
	outage = 4 * time.Second
	// burstLimit bounds the platform's requests in the first second after an
	// outage, for 6 nodes: what each node asks for in a normal second, and one
	// probe and one registration more.
	burstLimit = 60
)

// Guards against an outage of the platform that stops work under known
// contracts, lets filings run without a claim, or ends in a burst of requests.
func TestPropertyPlatformOutage(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 3, fleet.Service{
			Slots:       30,
			ServiceTime: 5 * time.Millisecond,
		})...)
		f.Apply(fleet.ContractFor("residents", fleet.APIKey))
		down := []string{platform.DownRefuse, platform.DownHang}[random.IntN(2)]
		t.Logf("the platform's requests: %s", down)
		f.Platform.SetFaults(platform.Faults{
			Down: down,
		})
		load := f.startLoad(random, 8)
		// The first requests that fail open the breakers.
		f.fileAll(0)
		began := time.Now()
		refusals := 0
		for number := 1; time.Since(began) < outage; number++ {
			refusals += f.fileAll(number)
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
		t.Logf("%d look-ups went on, %d filings were refused as not run, %d requests in the first second after the outage", load.requests.Load(), refusals, requests)
		if requests > burstLimit {
			t.Errorf("%d requests reached the platform in the first second after the outage", requests)
		}
		f.await200("filings run again", "after-outage")
	})
}

// fileAll sends a filing to each entry node and checks that it is refused as not run.
func (f *testFleet) fileAll(number int) int {
	f.t.Helper()
	refusals := 0
	for _, node := range f.Of("hop1") {
		key := fmt.Sprintf("%s-%d", node.Name, number)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		answer := node.Do(ctx, fleet.Call{
			Method: "POST",
			Path:   "/filing/" + key,
			Key:    key,
		})
		cancel()
		if answer.Err != nil || answer.Outcome != string(lagoonbarrow.OutcomeNotRun) {
			f.t.Errorf("a filing during the outage was answered %v %d %s %s", answer.Err, answer.Status, answer.Outcome, answer.Body)
			continue
		}
		refusals++
	}
	for _, node := range f.Of("hop1") {
		for _, run := range node.Backend.Runs() {
			if run.Method == "POST" {
				f.t.Errorf("%s ran although it was refused", run.Path)
			}
		}
	}
	return refusals
}

// await200 waits until a filing is served by every entry node.
func (f *testFleet) await200(what, prefix string) {
	f.t.Helper()
	for _, node := range f.Of("hop1") {
		attempt := 0
		f.Await(what+" at "+node.Name, 10*time.Second, func() bool {
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
