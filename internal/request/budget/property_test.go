package budget

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lagoonbarrow"
)

const (
	maxDepth = 24
	// maxAttempts is far above the bounds of all cases.
	maxAttempts = 10_000
	// parameterSeed makes the generated cases reproducible.
	parameterSeed = 20261204
)

// seedMultiplier returns LAGOONBARROW_SEEDS, which multiplies the number of cases, or 1.
func seedMultiplier() int {
	set, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil || set < 1 {
		return 1
	}
	return set
}

func checkProperty(t *testing.T, name string, condition any, gens ...gopter.Gen) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(parameterSeed)
	parameters.MinSuccessfulTests = 300 * seedMultiplier()
	t.Logf("seed %d, %d cases", parameterSeed, parameters.MinSuccessfulTests)
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(condition, gens...))
	properties.TestingRun(t)
}

// intendedCall is a call that the application intends to make, with the calls that
// the callee makes for it.
type intendedCall struct {
	service  lagoonbarrow.ServiceName
	path     string
	parallel bool
	calls    []*intendedCall
}

// randomTree returns a random call tree with at least one branch of the given depth.
func randomTree(rng *rand.Rand, depth int, extraCalls *int) *intendedCall {
	node := &intendedCall{
		service:  lagoonbarrow.ServiceName(fmt.Sprintf("service-%d", depth)),
		path:     fmt.Sprintf("/%d", *extraCalls),
		parallel: rng.IntN(2) == 0,
	}
	if depth == 1 {
		return node
	}
	node.calls = append(node.calls, randomTree(rng, depth-1, extraCalls))
	for *extraCalls > 0 && rng.IntN(4) == 0 {
		*extraCalls--
		node.calls = append(node.calls, randomTree(rng, 1+rng.IntN(depth-1), extraCalls))
	}
	return node
}

// simulation runs call trees with one ledger per service.
type simulation struct {
	rng     *rand.Rand
	failure float64
	loss    float64
	// repeats is the number of times the application repeats a failed call.
	repeats  int
	ledgers  map[lagoonbarrow.ServiceName]*Ledger
	attempts map[lagoonbarrow.ServiceName]int
	intended map[lagoonbarrow.ServiceName]int
	spent    lagoonbarrow.Tokens
	lost     lagoonbarrow.Tokens
}

func newSimulation(seed uint64, failure, loss float64, repeats int) *simulation {
	return &simulation{
		rng:      rand.New(rand.NewPCG(seed, 0)),
		failure:  failure,
		loss:     loss,
		repeats:  repeats,
		ledgers:  map[lagoonbarrow.ServiceName]*Ledger{},
		attempts: map[lagoonbarrow.ServiceName]int{},
		intended: map[lagoonbarrow.ServiceName]int{},
	}
}

// run runs one attempt and returns the tokens left and whether it failed.
func (s *simulation) run(intended *intendedCall, tokens lagoonbarrow.Tokens) (lagoonbarrow.Tokens, bool) {
	s.attempts[intended.service]++
	if s.attempts[intended.service] > maxAttempts {
		// Without a bound, attempts double at every hop and the case would not end.
		return 0, false
	}
	ledger := s.ledgers[intended.service]
	if ledger == nil {
		ledger = New(Config{})
		s.ledgers[intended.service] = ledger
	}
	account := ledger.Open(&lagoonbarrow.Call{
		ID:     lagoonbarrow.NewCallID(),
		Tokens: tokens,
	}, time.Time{})
	failed := s.makeCalls(account, intended)
	failed = failed || s.rng.Float64() < s.failure
	return account.Close(), failed
}

// makeCalls makes the downstream calls of a parent and reports whether one failed
// after all retries. Parallel calls all take their tokens before any are returned.
func (s *simulation) makeCalls(account lagoonbarrow.Account, parent *intendedCall) bool {
	shares := make([]lagoonbarrow.Tokens, len(parent.calls))
	handles := make([]lagoonbarrow.DownstreamCall, len(parent.calls))
	failed := false
	begin := func(i int) bool {
		started, err := account.Begin(&lagoonbarrow.Call{
			Service: parent.calls[i].service,
			Method:  "GET",
			Path:    parent.calls[i].path,
		})
		handles[i] = started
		if err == nil {
			shares[i] = account.Share()
		}
		return err == nil
	}
	for i, child := range parent.calls {
		s.intended[child.service]++
		if parent.parallel {
			begin(i)
		}
	}
	for i, child := range parent.calls {
		if !parent.parallel {
			begin(i)
		}
		ok := s.callWithRetries(account, child, shares[i])
		handles[i].End(lagoonbarrow.OutcomeDone, !ok)
		for repeat := 0; !ok && repeat < s.repeats; repeat++ {
			if !begin(i) {
				break
			}
			s.spent++
			ok = s.callWithRetries(account, child, shares[i])
			handles[i].End(lagoonbarrow.OutcomeDone, !ok)
		}
		failed = failed || !ok
	}
	return failed
}

// callWithRetries makes one call, which the node retries while it has tokens.
func (s *simulation) callWithRetries(account lagoonbarrow.Account, child *intendedCall, share lagoonbarrow.Tokens) bool {
	for {
		left, failed := s.run(child, share)
		if s.rng.Float64() < s.loss {
			s.lost += left
			failed = true
		} else {
			account.Return(left)
		}
		if !failed {
			return true
		}
		if !account.Spend() {
			return false
		}
		s.spent++
		share = account.Share()
	}
}

// Guards against attempts that multiply from hop to hop. Every attempt beyond the
// intended calls of the applications costs a token, and no token is spent twice.
func TestPropertyAttemptsAreBounded(t *testing.T) {
	condition := func(seed uint64, depth, tokens, extraCalls, repeats int, failure, loss float64) (bool, error) {
		s := newSimulation(seed, failure, loss, repeats)
		tree := randomTree(s.rng, depth, &extraCalls)
		root := New(Config{}).Open(&lagoonbarrow.Call{
			Tokens: lagoonbarrow.Tokens(tokens),
		}, time.Time{})
		s.makeCalls(root, &intendedCall{
			calls: []*intendedCall{tree},
		})
		left := root.Close()
		if left+s.spent+s.lost != lagoonbarrow.Tokens(tokens) {
			return false, fmt.Errorf("%d tokens: %d left, %d spent, %d lost", tokens, left, s.spent, s.lost)
		}
		for service, attempts := range s.attempts {
			if attempts > s.intended[service]+tokens {
				return false, fmt.Errorf("%s: %d attempts, %d intended, %d tokens", service, attempts, s.intended[service], tokens)
			}
			if len(tree.calls) > 0 && isChain(tree) && attempts > 1+tokens {
				return false, fmt.Errorf("chain, %s: %d attempts with %d tokens", service, attempts, tokens)
			}
		}
		return true, nil
	}
	checkProperty(t, "attempts <= intended + tokens", condition,
		gen.UInt64(), gen.IntRange(1, maxDepth), gen.IntRange(0, 8), gen.IntRange(0, 6), gen.IntRange(0, 3),
		gen.Float64Range(0, 1), gen.Float64Range(0, 1))
}

func isChain(tree *intendedCall) bool {
	for ; len(tree.calls) > 0; tree = tree.calls[0] {
		if len(tree.calls) > 1 {
			return false
		}
	}
	return true
}

// Guards against re-sends that get new tokens, against eviction of a running
// request, and against a table that exceeds its bound.
func TestPropertyKeyedRequestsShareTokens(t *testing.T) {
	condition := func(seed uint64, tokens, bound, keys int) (bool, error) {
		rng := rand.New(rand.NewPCG(seed, 0))
		clock := &fakeClock{}
		ledger := New(Config{
			Keyed:          bound,
			KeyedRetention: 10 * time.Second,
			Clock:          clock,
		})
		running := map[string][]lagoonbarrow.Account{}
		runs := map[string]int{}
		endedAt := map[string]time.Time{}
		for range 200 {
			key := strconv.Itoa(rng.IntN(keys))
			if rng.IntN(2) == 0 && len(running[key]) > 0 {
				running[key][0].Close()
				running[key] = running[key][1:]
				endedAt[key] = clock.now
				continue
			}
			clock.now = clock.now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
			opened, err := ledger.OpenKeyed(&lagoonbarrow.Call{
				ID:      lagoonbarrow.NewCallID(),
				Request: lagoonbarrow.NewRequestID(),
				Key:     key,
				Tokens:  lagoonbarrow.Tokens(tokens),
			}, clock.now)
			if _, keyed := ledger.Len(); keyed > bound {
				return false, fmt.Errorf("%d keyed requests, bound %d", keyed, bound)
			}
			if err != nil {
				continue
			}
			// Without a running call the request may have expired or been evicted.
			if len(running[key]) == 0 && (bound < keys || clock.now.Sub(endedAt[key]) >= 10*time.Second) {
				runs[key] = 0
			}
			running[key] = append(running[key], opened)
			runs[key]++
			if runs[key] > 1+tokens {
				return false, fmt.Errorf("key %s: %d runs with %d tokens", key, runs[key], tokens)
			}
		}
		return true, nil
	}
	checkProperty(t, "runs of a keyed request <= 1 + tokens", condition,
		gen.UInt64(), gen.IntRange(0, 5), gen.IntRange(1, 8), gen.IntRange(1, 8))
}
