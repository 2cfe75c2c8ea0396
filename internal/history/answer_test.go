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
)

// Guards against answers that are partial or belong to another request:
// answers of many sizes are cut by backend servers, nodes are killed and
// frozen, and callers go away in the middle.
func TestPropertyAnswersAreWholeAndOwn(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(3, 3, serviceSpec{
			slots:       30,
			serviceTime: 3 * time.Millisecond,
		})...)
		f.apply(contractFor("residents", apiKey))
		stop := make(chan struct{})
		var whole, refused, aborted atomic.Int64
		var callers sync.WaitGroup
		for caller := range 20 {
			picks := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
			callers.Add(1)
			go func() {
				defer callers.Done()
				for number := 0; ; number++ {
					select {
					case <-stop:
						return
					default:
					}
					f.fetchAndCheck(picks, fmt.Sprintf("%d-%d", caller, number), &whole, &refused, &aborted)
				}
			}()
		}
		f.disturbAnswers(random, 5*time.Second)
		close(stop)
		callers.Wait()
		t.Logf("%d whole answers, %d refusals, %d callers went away or lost their node", whole.Load(), refused.Load(), aborted.Load())
		if whole.Load() == 0 {
			t.Error("no answer arrived, so nothing was proved")
		}
	})
}

func (f *fleet) fetchAndCheck(random *rand.Rand, id string, whole, refused, aborted *atomic.Int64) {
	sizes := []int{0, 10, 5000, 300_000, 1_500_000}
	size := sizes[random.IntN(len(sizes))]
	patience := 3 * time.Second
	if random.IntN(4) == 0 {
		patience = time.Duration(random.IntN(12)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	entries := f.of("hop1")
	path := "/lookup/" + id
	query := fmt.Sprintf("size=%d&own=%s", size, id)
	answer := entries[random.IntN(len(entries))].do(ctx, call{
		method: "GET",
		path:   path + "?" + query,
	})
	switch {
	case answer.err != nil:
		aborted.Add(1)
	case answer.outcome != string(lagoonbarrow.OutcomeDone):
		refused.Add(1)
	case answer.status == 200:
		f.checkBody(answer, path, query, size)
		whole.Add(1)
	}
}

func (f *fleet) checkBody(answer response, path, query string, size int) {
	f.t.Helper()
	var body backend.Body
	if err := json.Unmarshal(answer.body, &body); err != nil {
		f.t.Errorf("%s: an answer of %d bytes is not whole: %v", path, len(answer.body), err)
		return
	}
	if body.Path != path || !strings.Contains(body.Query, query) || len(body.Padding) != size {
		f.t.Errorf("%s?%s got the answer for %s?%s with %d bytes of padding", path, query, body.Path, body.Query, len(body.Padding))
	}
	if string(body.Request) != answer.request {
		f.t.Errorf("%s: the header names request %s, the body %s", path, answer.request, body.Request)
	}
}

func (f *fleet) disturbAnswers(random *rand.Rand, duration time.Duration) {
	end := time.Now().Add(duration)
	for time.Now().Before(end) {
		node := f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(4) {
		case 0:
			node.kill()
			time.Sleep(100 * time.Millisecond)
			node.start()
		case 1:
			node.freeze()
			time.Sleep(time.Duration(100+random.IntN(1200)) * time.Millisecond)
			node.thaw()
		case 2:
			f.switchAll(func(s *backend.Switches) { s.Cut = 0.3 })
			time.Sleep(400 * time.Millisecond)
			f.switchAll(func(s *backend.Switches) { s.Cut = 0 })
		case 3:
			f.switchAll(func(s *backend.Switches) { s.Slow = 30 })
			time.Sleep(400 * time.Millisecond)
			f.switchAll(func(s *backend.Switches) { s.Slow = 0 })
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

func (f *fleet) switchAll(change func(*backend.Switches)) {
	for _, node := range f.nodes {
		node.backend.Switch(change)
	}
}
