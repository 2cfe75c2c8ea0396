package history

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
)

// filing is one try at a filing and what its caller heard.
type filing struct {
	key    string
	answer fleet.Response
}

// filings collects tries from concurrent callers.
type filings struct {
	mu    sync.Mutex
	tries []filing
}

func (f *filings) add(try filing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tries = append(f.tries, try)
}

// Guards against filings that are doubled, refused as "not run" although they
// ran, or answered with another filing's answer: the same keys are sent again
// and again through several nodes while nodes are killed, frozen and cut off, and
// the platform is down, slow, or loses answers after the write took effect.
func TestPropertyFilingsRunAtMostOnce(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "",
			fleet.Service{
				Name:        "minutes",
				Cuttable:    true,
				Instances:   4,
				Slots:       20,
				ServiceTime: 20 * time.Millisecond,
				Downstream:  []lagoonbarrow.ServiceName{"registry"},
			},
			fleet.Service{
				Name:        "registry",
				Instances:   2,
				Slots:       10,
				ServiceTime: 5 * time.Millisecond,
			},
		)
		f.Apply(fleet.ContractFor("residents", fleet.APIKey))
		var history filings
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for caller := range 12 {
			callers.Add(1)
			picks := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
			go func() {
				defer callers.Done()
				f.fileUntil(stop, picks, &history)
			}()
		}
		f.disturb(random, 6*time.Second, f.Of("minutes"), nodeFaults, platformFaults, backendFaults)
		close(stop)
		callers.Wait()
		f.settle()
		f.checkFilings(history.tries)
	})
}

// fileUntil sends filings. A small set of keys, new each second, makes callers
// collide on keys that have not run yet.
func (f *testFleet) fileUntil(stop chan struct{}, random *rand.Rand, history *filings) {
	entries := f.Of("minutes")
	started := time.Now()
	for {
		select {
		case <-stop:
			return
		default:
		}
		key := fmt.Sprintf("resolution-%d-%d", int(time.Since(started).Seconds()), random.IntN(60))
		ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
		answer := entries[random.IntN(len(entries))].Do(ctx, fleet.Call{
			Method: "POST",
			Path:   "/filing/" + key,
			Key:    key,
			Body:   "signed " + key,
		})
		cancel()
		history.add(filing{
			key:    key,
			answer: answer,
		})
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// settle waits until runs that outlived their callers have ended.
func (f *testFleet) settle() {
	time.Sleep(3500 * time.Millisecond)
}

func (f *testFleet) checkFilings(tries []filing) {
	f.t.Helper()
	runsOfKey := map[string]int{}
	ranRequests := map[string]bool{}
	for _, node := range f.Of("minutes") {
		for _, run := range node.Backend.Runs() {
			runsOfKey[run.Key]++
			ranRequests[string(run.Request)] = true
		}
	}
	for key, count := range runsOfKey {
		if count > 1 {
			f.t.Errorf("%s ran %d times", key, count)
		}
	}
	outcomes := map[string]int{}
	bodies := map[string]string{}
	for _, try := range tries {
		outcomes[outcomeOf(try.answer)]++
		f.checkTry(try, ranRequests, bodies)
	}
	f.t.Logf("%d tries, %d keys ran, heard %v", len(tries), len(runsOfKey), outcomes)
	if outcomes["done"] == 0 {
		f.t.Error("no filing succeeded, so nothing was proved")
	}
}

func outcomeOf(answer fleet.Response) string {
	if answer.Err != nil {
		return "no answer"
	}
	return answer.Outcome
}

func (f *testFleet) checkTry(try filing, ranRequests map[string]bool, bodies map[string]string) {
	f.t.Helper()
	answer := try.answer
	if answer.Err != nil {
		return
	}
	if answer.Outcome == string(lagoonbarrow.OutcomeNotRun) && ranRequests[answer.Request] {
		f.t.Errorf("%s: request %s was told not run (%s) and ran", try.key, answer.Request, answer.Reason)
	}
	if answer.Outcome != string(lagoonbarrow.OutcomeDone) || answer.Status != 200 {
		return
	}
	if earlier, found := bodies[try.key]; found && earlier != string(answer.Body) {
		f.t.Errorf("%s got two different answers:\n%s\n%s", try.key, earlier, answer.Body)
	}
	bodies[try.key] = string(answer.Body)
}

// Guards against a key that stays blocked after its holder died, and against an
// operator who settles it while the holder may still run it.
func TestOperatorSettlesClaimOfDeadHolder(t *testing.T) {
	f := startFleet(t, "", chain(1, 2, fleet.Service{
		Slots:       10,
		ServiceTime: time.Millisecond,
	})...)
	f.Apply(fleet.ContractFor("residents", fleet.APIKey))
	f.switchAll(func(s *backend.Switches) { s.Hang = true })
	filing := fleet.Call{
		Method: "POST",
		Path:   "/filing/1",
		Key:    "resolution-1",
		Body:   "signed",
	}
	heard := make(chan fleet.Response, 1)
	entry := f.Nodes[0]
	go func() {
		heard <- entry.Do(context.Background(), filing)
	}()
	holder := f.holderOf("resolution-1")
	holder.Kill()
	answer := <-heard
	if answer.Err == nil && answer.Outcome != string(lagoonbarrow.OutcomeUnknown) {
		t.Errorf("the outcome of a filing whose holder died is told as %q", answer.Outcome)
	}
	f.switchAll(func(s *backend.Switches) { s.Hang = false })
	other := f.Nodes[0]
	if holder == other {
		other = f.Nodes[1]
	}
	again := other.Do(context.Background(), filing)
	if again.Status == 200 {
		t.Errorf("a claimed filing was run again: %s", again.Body)
	}
	f.Await("the claim is settled after its deadline", 30*time.Second, func() bool {
		return f.settleAsNotRun(other, "resolution-1")
	})
	if final := other.Do(context.Background(), filing); final.Status != 200 {
		t.Errorf("after the claim was settled as not run: %d %s", final.Status, final.Body)
	}
}

// claimRow is what the administration API tells of a key.
type claimRow struct {
	State    string `json:"state"`
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
}

func claimOf(node *fleet.Node, key string) claimRow {
	var row claimRow
	answer := node.Administer(http.MethodGet, "/v1/claims/residents/"+key, nil, nil)
	if answer.Err == nil && answer.Status == http.StatusOK {
		_ = json.Unmarshal(answer.Body, &row)
	}
	return row
}

// holderOf waits until a key is claimed and returns the node that claimed it.
func (f *testFleet) holderOf(key string) *fleet.Node {
	f.t.Helper()
	var holder *fleet.Node
	f.Await(key+" is claimed", 10*time.Second, func() bool {
		row := claimOf(f.Nodes[0], key)
		for _, node := range f.Nodes {
			if node.Name == row.Instance {
				holder = node
			}
		}
		return row.State == string(lagoonbarrow.ClaimHeld) && holder != nil
	})
	return holder
}

// settleAsNotRun asks to settle a key and reports whether that was accepted.
func (f *testFleet) settleAsNotRun(node *fleet.Node, key string) bool {
	row := claimOf(node, key)
	answer := node.Administer(http.MethodPost, "/v1/claims/residents/"+key, map[string]any{
		"expected": row.Version,
		"ran":      false,
	}, nil)
	return answer.Err == nil && answer.Status == http.StatusOK
}
