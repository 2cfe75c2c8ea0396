package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

const (
	scenarioKeys     = 3
	scenarioRequests = 4
	scenarioAttempts = 3
	scenarioDeadline = 120 * time.Millisecond
	scenarioCustomer = "cooperative"
)

// scenario runs requests for a few keys over several nodes. Connections break,
// frames arrive twice, holders freeze or die and backend servers refuse. The
// seed determines all choices.
type scenario struct {
	t       *testing.T
	nodes   []*Claims
	history *history
	running sync.WaitGroup
}

// attemptResult is what an entry node receives for an attempt.
type attemptResult struct {
	outcome lagoonbarrow.Outcome
	// voidedVersion is the version at which another attempt may be made, or 0.
	voidedVersion lagoonbarrow.RowVersion
}

var (
	resultDone = attemptResult{
		outcome: lagoonbarrow.OutcomeDone,
	}
	resultNotRun = attemptResult{
		outcome: lagoonbarrow.OutcomeNotRun,
	}
	resultUnknown = attemptResult{
		outcome: lagoonbarrow.OutcomeUnknown,
	}
)

func runScenario(t *testing.T, seed uint64, tables []lagoonbarrow.Table) {
	s := &scenario{
		t:       t,
		history: newHistory(),
	}
	for i, table := range tables {
		node := New(Config{
			Table:           table,
			Self:            lagoonbarrow.InstanceID(fmt.Sprintf("node-%d", i)),
			CompleteTimeout: 100 * time.Millisecond,
			SettleMargin:    time.Millisecond,
			RetryDelay:      5 * time.Millisecond,
			RetryDelayMax:   20 * time.Millisecond,
			StopTimeout:     5 * time.Second,
		})
		rng := newSeededRand(seed, uint64(1000+i))
		node.random = rng.int64n
		if err := node.Start(); err != nil {
			t.Fatal(err)
		}
		s.nodes = append(s.nodes, node)
	}
	for k := range scenarioKeys {
		key := fmt.Sprintf("key-%d", k)
		for r := range scenarioRequests {
			rng := newSeededRand(seed, uint64(k*scenarioRequests+r))
			s.running.Go(func() {
				sleepUpTo(rng, 60*time.Millisecond)
				s.request(key, fmt.Sprintf("%s-r%d", key, r), rng)
			})
		}
	}
	s.running.Wait()
	s.settleDeadHolders()
	for _, node := range s.nodes {
		_ = node.Stop()
	}
	s.history.check(t)
}

// seededRand is a seeded random source that is safe for concurrent use.
type seededRand struct {
	mutex  sync.Mutex
	source *rand.Rand
}

func newSeededRand(seed, stream uint64) *seededRand {
	return &seededRand{
		source: rand.New(rand.NewPCG(seed, stream)),
	}
}

func (r *seededRand) int64n(limit int64) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.source.Int64N(limit)
}

func (r *seededRand) chance(percent int64) bool {
	return r.int64n(100) < percent
}

func sleepUpTo(rng *seededRand, limit time.Duration) {
	time.Sleep(time.Duration(rng.int64n(int64(limit))))
}

// request acts as the entry node: it makes attempts until the outcome is known
// or can no longer be determined.
func (s *scenario) request(key, name string, rng *seededRand) {
	expected := lagoonbarrow.RowVersion(0)
	for try := range scenarioAttempts {
		call := &lagoonbarrow.Call{
			Customer:        scenarioCustomer,
			Key:             key,
			Attempt:         lagoonbarrow.AttemptID(fmt.Sprintf("%s-a%d", name, try)),
			ExpectedVersion: expected,
			Method:          "POST",
			Path:            "/filings",
			Body:            []byte(key),
		}
		result := s.attempt(call, rng)
		if result.outcome == lagoonbarrow.OutcomeNotRun {
			s.history.addNotRun(call.Attempt)
		}
		if result.voidedVersion == 0 {
			return
		}
		expected = result.voidedVersion
	}
}

// attempt sends a call to an executing node and may lose the connection.
func (s *scenario) attempt(call *lagoonbarrow.Call, rng *seededRand) attemptResult {
	executor := s.nodes[rng.int64n(int64(len(s.nodes)))]
	deadline := time.Now().Add(scenarioDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answers := make(chan attemptResult, 1)
	s.send(ctx, executor, call, deadline, rng, answers)
	if rng.chance(15) {
		s.send(ctx, executor, call, deadline, rng, make(chan attemptResult, 1))
	}
	if !rng.chance(40) {
		return <-answers
	}
	sleepUpTo(rng, 30*time.Millisecond)
	if rng.chance(50) {
		cancel()
	}
	return s.voidAttempt(call, rng)
}

// send makes an executing node handle a call after the frame's transit time.
func (s *scenario) send(ctx context.Context, executor *Claims, call *lagoonbarrow.Call, deadline time.Time, rng *seededRand, answers chan<- attemptResult) {
	sendRNG := newSeededRand(uint64(rng.int64n(1<<62)), 0)
	s.running.Go(func() {
		sleepUpTo(sendRNG, 15*time.Millisecond)
		result := s.execute(ctx, executor, call, deadline, sendRNG)
		if result.outcome == lagoonbarrow.OutcomeNotRun {
			s.history.addNotRun(call.Attempt)
		}
		answers <- result
	})
}

func (s *scenario) execute(ctx context.Context, node *Claims, call *lagoonbarrow.Call, deadline time.Time, rng *seededRand) attemptResult {
	began := s.history.now()
	claim, err := node.Acquire(ctx, call, deadline)
	ended := s.history.now()
	op := operation{
		kind:     opAcquire,
		attempt:  call.Attempt,
		expected: call.ExpectedVersion,
	}
	if err == nil {
		s.history.add(call.Key, began, ended, op)
		return s.serve(node, call, claim, deadline, rng)
	}
	if errors.Is(err, lagoonbarrow.ErrUnavailable) || errors.Is(err, lagoonbarrow.ErrDeadline) {
		op.kind = opMaybeClaim
		s.history.addPossible(call.Key, began, op)
		op.kind = opMaybeVoid
		s.history.addPossible(call.Key, began, op)
		return resultNotRun
	}
	return s.blockedResult(call, claim, err, began, ended)
}

// blockedResult returns the result of an attempt whose key has another row.
func (s *scenario) blockedResult(call *lagoonbarrow.Call, found lagoonbarrow.Claim, err error, began, ended int64) attemptResult {
	if found.Version == 0 {
		return resultUnknown
	}
	s.history.add(call.Key, began, ended, operation{
		kind: opBlocked,
		observed: keyState{
			version: found.Version,
			state:   found.State,
			attempt: found.Attempt,
		},
	})
	switch {
	case errors.Is(err, lagoonbarrow.ErrVoided):
		return attemptResult{
			outcome:       lagoonbarrow.OutcomeNotRun,
			voidedVersion: found.Version,
		}
	case errors.Is(err, lagoonbarrow.ErrClaimed) && found.Answer != nil:
		s.history.addAnswer(call.Key, string(found.Answer.Body))
		return resultDone
	case errors.Is(err, lagoonbarrow.ErrClaimed):
		return resultUnknown
	default:
		s.t.Errorf("attempt %s: unexpected error %v", call.Attempt, err)
		return attemptResult{}
	}
}

// serve acts as an executing node that holds a claim.
func (s *scenario) serve(node *Claims, call *lagoonbarrow.Call, claim lagoonbarrow.Claim, deadline time.Time, rng *seededRand) attemptResult {
	if rng.chance(10) {
		// The process is frozen, possibly past the deadline.
		sleepUpTo(rng, 2*scenarioDeadline)
	}
	if rng.chance(5) {
		// The process dies before the backend server is called.
		return resultUnknown
	}
	if !time.Now().Before(deadline) || rng.chance(15) {
		s.end(node, claim, lagoonbarrow.ClaimVoided)
		return resultNotRun
	}
	s.history.addRun(call.Key, call.Attempt)
	sleepUpTo(rng, 10*time.Millisecond)
	if rng.chance(5) {
		// The process dies before it stores the answer.
		return resultUnknown
	}
	s.end(node, claim, lagoonbarrow.ClaimCompleted)
	return resultDone
}

func (s *scenario) end(node *Claims, claim lagoonbarrow.Claim, state lagoonbarrow.ClaimState) {
	op := operation{
		kind:     opVoid,
		attempt:  claim.Attempt,
		expected: claim.Version,
		state:    state,
	}
	began := s.history.now()
	var err error
	if state == lagoonbarrow.ClaimVoided {
		err = node.Void(context.Background(), claim)
	} else {
		op.kind = opComplete
		err = node.Complete(context.Background(), claim, &lagoonbarrow.Answer{
			Outcome: lagoonbarrow.OutcomeDone,
			Status:  201,
			Body:    []byte(claim.Attempt),
		})
	}
	if err != nil {
		op.kind = opMaybeEnd
		s.history.addPossible(claim.Key, began, op)
		return
	}
	s.history.add(claim.Key, began, s.history.now(), op)
}

func (s *scenario) voidAttempt(call *lagoonbarrow.Call, rng *seededRand) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(50+rng.int64n(200))*time.Millisecond)
	defer cancel()
	entry := s.nodes[rng.int64n(int64(len(s.nodes)))]
	began := s.history.now()
	found, err := entry.VoidAttempt(ctx, call)
	ended := s.history.now()
	op := operation{
		kind:     opMaybeVoid,
		attempt:  call.Attempt,
		expected: call.ExpectedVersion,
	}
	s.history.addPossible(call.Key, began, op)
	switch {
	case err == nil:
		op.kind = opVoidAttempt
		s.history.add(call.Key, began, ended, op)
		return attemptResult{
			outcome:       lagoonbarrow.OutcomeNotRun,
			voidedVersion: found.Version,
		}
	case errors.Is(err, lagoonbarrow.ErrOutcomeUnknown):
		return resultUnknown
	default:
		return s.blockedResult(call, found, err, began, ended)
	}
}

// settleDeadHolders acts as the operator: it settles each claim whose holder
// died by whether the request actually ran.
func (s *scenario) settleDeadHolders() {
	time.Sleep(scenarioDeadline)
	for k := range scenarioKeys {
		s.settleKey(fmt.Sprintf("key-%d", k))
	}
}

func (s *scenario) settleKey(key string) {
	ctx := context.Background()
	for range 200 {
		found, err := s.nodes[0].Lookup(ctx, scenarioCustomer, key)
		if errors.Is(err, lagoonbarrow.ErrNotFound) || (err == nil && found.State != lagoonbarrow.ClaimHeld) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		ran := s.history.ranAttempt(key)
		_, err = s.nodes[0].Settle(ctx, scenarioCustomer, key, found.Version, ran == found.Attempt)
		if err == nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
	s.t.Errorf("key %s could not be settled", key)
}
