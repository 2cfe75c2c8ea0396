package history

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
)

// Guards against answers that are incomplete or belong to another request.
// Backend servers cut answers of many sizes, nodes are killed, frozen and
// disconnected, and callers cancel requests in progress.
func TestPropertyAnswersAreWholeAndOwn(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(3, 3, fleet.Service{
			Slots:       30,
			ServiceTime: 3 * time.Millisecond,
			PeerProxy:   true,
		})...)
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		stop := make(chan struct{})
		var complete, refused, aborted atomic.Int64
		var callers sync.WaitGroup
		for caller := range 20 {
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
			callers.Add(1)
			go func() {
				defer callers.Done()
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					default:
					}
					f.fetchAndCheck(callerRandom, fmt.Sprintf("%d-%d", caller, number), &complete, &refused, &aborted)
				}
			}()
		}
		f.injectFaults(random, 5*time.Second, f.Nodes, nodeFaults, backendFaults)
		close(stop)
		callers.Wait()
		t.Logf("%d complete answers, %d refusals, %d requests cancelled or cut off", complete.Load(), refused.Load(), aborted.Load())
		if complete.Load() == 0 {
			t.Error("no complete answer arrived, so the test checked nothing")
		}
	})
}

// fetchAndCheck sends one look-up with a random answer size and timeout, and checks
// and counts its answer.
func (f *testFleet) fetchAndCheck(random *rand.Rand, id string, complete, refused, aborted *atomic.Int64) {
	sizes := []int{0, 10, 5000, 300_000, 1_500_000}
	size := sizes[random.IntN(len(sizes))]
	timeout := 3 * time.Second
	if random.IntN(4) == 0 {
		timeout = time.Duration(random.IntN(12)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	entries := f.NodesOf("hop1")
	path := "/lookup/" + id
	query := fmt.Sprintf("size=%d&own=%s", size, id)
	answer := entries[random.IntN(len(entries))].Do(ctx, fleet.Call{
		Method: "GET",
		Path:   path + "?" + query,
	})
	switch {
	case answer.Err != nil:
		aborted.Add(1)
	case answer.Outcome != string(lagoonbarrow.OutcomeDone):
		refused.Add(1)
	case answer.Status == 200:
		f.checkBody(answer, path, query, size)
		complete.Add(1)
	}
}

// checkBody checks that an answer is complete and belongs to its request.
func (f *testFleet) checkBody(answer fleet.Response, path, query string, size int) {
	f.t.Helper()
	var body backend.Body
	if err := json.Unmarshal(answer.Body, &body); err != nil {
		f.t.Errorf("%s: an answer of %d bytes is incomplete: %v", path, len(answer.Body), err)
		return
	}
	if body.Path != path || !strings.Contains(body.Query, query) || len(body.Padding) != size {
		f.t.Errorf("%s?%s got the answer for %s?%s with %d bytes of padding", path, query, body.Path, body.Query, len(body.Padding))
	}
	if string(body.Request) != answer.Request {
		f.t.Errorf("%s: the header has request id %s, the body %s", path, answer.Request, body.Request)
	}
}
