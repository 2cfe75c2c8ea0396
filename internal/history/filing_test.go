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

// filingAttempt is one request for a filing and its answer.
type filingAttempt struct {
	key    string
	answer fleet.Response
}

// filingLog collects the attempts of concurrent callers.
type filingLog struct {
	mu       sync.Mutex
	attempts []filingAttempt
}

func (l *filingLog) add(attempt filingAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, attempt)
}

// Guards against filings that run twice, are refused as "not run" although they
// ran, or receive another filing's answer. Callers send the same keys repeatedly
// through several nodes while nodes are killed, frozen and disconnected, and the
// platform is down, slow, or loses answers after the write took effect.
func TestPropertyFilingsRunAtMostOnce(t *testing.T) {
	forSeeds(t, 3, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "",
			fleet.Service{
				Name:        "minutes",
				PeerProxy:   true,
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
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		var history filingLog
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for caller := range 12 {
			callers.Add(1)
			callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
			go func() {
				defer callers.Done()
				f.sendFilings(stop, callerRandom, &history)
			}()
		}
		f.injectFaults(random, 6*time.Second, f.NodesOf("minutes"), nodeFaults, platformFaults, backendFaults)
		close(stop)
		callers.Wait()
		f.waitForRuns()
		f.checkFilings(history.attempts)
	})
}

// sendFilings sends filings until stop is closed. It chooses from 60 keys, new each
// second, so that callers collide on keys that have not run yet.
func (f *testFleet) sendFilings(stop chan struct{}, random *rand.Rand, history *filingLog) {
	entries := f.NodesOf("minutes")
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
		history.add(filingAttempt{
			key:    key,
			answer: answer,
		})
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// waitForRuns waits until runs that continue without their callers have ended. The
// deadline of a filing is 3 s.
func (f *testFleet) waitForRuns() {
	time.Sleep(3500 * time.Millisecond)
}

// checkFilings checks that no key ran twice, that no filing refused as not run has
// run, and that all successful answers for a key are equal.
func (f *testFleet) checkFilings(attempts []filingAttempt) {
	f.t.Helper()
	runsOfKey := map[string]int{}
	ranRequests := map[string]bool{}
	for _, node := range f.NodesOf("minutes") {
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
	for _, attempt := range attempts {
		outcomes[outcomeOf(attempt.answer)]++
		f.checkAttempt(attempt, ranRequests, bodies)
	}
	f.t.Logf("%d attempts, %d keys ran, outcomes %v", len(attempts), len(runsOfKey), outcomes)
	if outcomes["done"] == 0 {
		f.t.Error("no filing succeeded, so the test checked nothing")
	}
}

func outcomeOf(answer fleet.Response) string {
	if answer.Err != nil {
		return "no answer"
	}
	return answer.Outcome
}

func (f *testFleet) checkAttempt(attempt filingAttempt, ranRequests map[string]bool, bodies map[string]string) {
	f.t.Helper()
	answer := attempt.answer
	if answer.Err != nil {
		return
	}
	if answer.Outcome == string(lagoonbarrow.OutcomeNotRun) && ranRequests[answer.Request] {
		f.t.Errorf("%s: request %s was refused as not run (%s) and ran", attempt.key, answer.Request, answer.Reason)
	}
	if answer.Outcome != string(lagoonbarrow.OutcomeDone) || answer.Status != 200 {
		return
	}
	if earlier, found := bodies[attempt.key]; found && earlier != string(answer.Body) {
		f.t.Errorf("%s got two different answers:\n%s\n%s", attempt.key, earlier, answer.Body)
	}
	bodies[attempt.key] = string(answer.Body)
}

// Guards against a key that stays blocked after the node that claimed it died, and
// against a claim that an operator settles while that node may still run it.
func TestOperatorSettlesClaimOfDeadHolder(t *testing.T) {
	f := startFleet(t, "", chain(1, 2, fleet.Service{
		Slots:       10,
		ServiceTime: time.Millisecond,
	})...)
	f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
	f.updateSwitches(func(s *backend.Switches) { s.Hang = true })
	filing := fleet.Call{
		Method: "POST",
		Path:   "/filing/1",
		Key:    "resolution-1",
		Body:   "signed",
	}
	answers := make(chan fleet.Response, 1)
	entry := f.Nodes[0]
	go func() {
		answers <- entry.Do(context.Background(), filing)
	}()
	holder := f.holderOf("resolution-1")
	holder.Kill()
	answer := <-answers
	if answer.Err == nil && answer.Outcome != string(lagoonbarrow.OutcomeUnknown) {
		t.Errorf("a filing whose holder died has the outcome %q", answer.Outcome)
	}
	f.updateSwitches(func(s *backend.Switches) { s.Hang = false })
	other := f.Nodes[0]
	if holder == other {
		other = f.Nodes[1]
	}
	repeated := other.Do(context.Background(), filing)
	if repeated.Status == 200 {
		t.Errorf("a claimed filing was run again: %s", repeated.Body)
	}
	f.Await("the claim is settled after its deadline", 30*time.Second, func() bool {
		return f.settleAsNotRun(other, "resolution-1")
	})
	if final := other.Do(context.Background(), filing); final.Status != 200 {
		t.Errorf("filing after its claim was settled as not run: %d %s", final.Status, final.Body)
	}
}

// claimRow is the administration API's description of a claim.
type claimRow struct {
	State    string `json:"state"`
	Instance string `json:"instance"`
	Version  uint64 `json:"version"`
}

func claimOf(node *fleet.Node, key string) claimRow {
	var row claimRow
	answer := node.AdminRequest(http.MethodGet, "/v1/claims/residents/"+key, nil, nil)
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

// settleAsNotRun settles a claim as not run and returns whether the node accepted it.
func (f *testFleet) settleAsNotRun(node *fleet.Node, key string) bool {
	row := claimOf(node, key)
	answer := node.AdminRequest(http.MethodPost, "/v1/claims/residents/"+key, map[string]any{
		"expected": row.Version,
		"ran":      false,
	}, nil)
	return answer.Err == nil && answer.Status == http.StatusOK
}
