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
	deepest = 24
	// mostAttempts is far above all bounds of the cases.
	mostAttempts = 10_000
	// parameterSeed makes the properties repeatable.
	parameterSeed = 20261204
)

// rounds is LAGOONBARROW_SEEDS, which multiplies the number of cases, or 1.
func rounds() int {
	set, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil || set < 1 {
		return 1
	}
	return set
}

func checkProperty(t *testing.T, name string, condition any, gens ...gopter.Gen) {
	t.Helper()
	parameters := gopter.DefaultTestParametersWithSeed(parameterSeed)
	parameters.MinSuccessfulTests = 300 * rounds()
	t.Logf("seed %d, %d cases", parameterSeed, parameters.MinSuccessfulTests)
	properties := gopter.NewProperties(parameters)
	properties.Property(name, prop.ForAll(condition, gens...))
	properties.TestingRun(t)
}

// meantCall is a call that the application means to make, with those it leads to.
type meantCall struct {
	service  lagoonbarrow.ServiceName
	path     string
	parallel bool
	calls    []*meantCall
}

// growTree makes a random tree with at least one branch of the given depth.
func growTree(random *rand.Rand, depth int, spare *int) *meantCall {
	grown := &meantCall{
		service:  lagoonbarrow.ServiceName(fmt.Sprintf("service-%d", depth)),
		path:     fmt.Sprintf("/%d", *spare),
		parallel: random.IntN(2) == 0,
	}
	if depth == 1 {
		return grown
	}
	grown.calls = append(grown.calls, growTree(random, depth-1, spare))
	for *spare > 0 && random.IntN(4) == 0 {
		*spare--
		grown.calls = append(grown.calls, growTree(random, 1+random.IntN(depth-1), spare))
	}
	return grown
}

// world runs call trees over one ledger per service.
type world struct {
	random  *rand.Rand
	failure float64
	loss    float64
	// repeats is how often the application repeats a failed call.
	repeats  int
	ledgers  map[lagoonbarrow.ServiceName]*Ledger
	attempts map[lagoonbarrow.ServiceName]int
	meant    map[lagoonbarrow.ServiceName]int
	spent    lagoonbarrow.Tokens
	lost     lagoonbarrow.Tokens
}

func newWorld(seed uint64, failure, loss float64, repeats int) *world {
	return &world{
		random:   rand.New(rand.NewPCG(seed, 0)),
		failure:  failure,
		loss:     loss,
		repeats:  repeats,
		ledgers:  map[lagoonbarrow.ServiceName]*Ledger{},
		attempts: map[lagoonbarrow.ServiceName]int{},
		meant:    map[lagoonbarrow.ServiceName]int{},
	}
}

// run runs one attempt and returns the tokens left and whether it failed.
func (w *world) run(meant *meantCall, tokens lagoonbarrow.Tokens) (lagoonbarrow.Tokens, bool) {
	w.attempts[meant.service]++
	if w.attempts[meant.service] > mostAttempts {
		// Without a bound, attempts double at every hop and the case would not end.
		return 0, false
	}
	ledger := w.ledgers[meant.service]
	if ledger == nil {
		ledger = New(Config{})
		w.ledgers[meant.service] = ledger
	}
	account := ledger.Open(&lagoonbarrow.Call{
		ID:     lagoonbarrow.NewCallID(),
		Tokens: tokens,
	}, time.Time{})
	failed := w.makeCalls(account, meant)
	failed = failed || w.random.Float64() < w.failure
	return account.Close(), failed
}

// makeCalls makes the calls of one application and reports whether one failed for good.
// Parallel calls all take their tokens before the first one returns any.
func (w *world) makeCalls(account lagoonbarrow.Account, parent *meantCall) bool {
	shares := make([]lagoonbarrow.Tokens, len(parent.calls))
	begun := make([]lagoonbarrow.Meant, len(parent.calls))
	failed := false
	begin := func(i int) bool {
		started, err := account.Begin(&lagoonbarrow.Call{
			Service: parent.calls[i].service,
			Method:  "GET",
			Path:    parent.calls[i].path,
		})
		begun[i] = started
		if err == nil {
			shares[i] = account.Share()
		}
		return err == nil
	}
	for i, child := range parent.calls {
		w.meant[child.service]++
		if parent.parallel {
			begin(i)
		}
	}
	for i, child := range parent.calls {
		if !parent.parallel {
			begin(i)
		}
		ok := w.do(account, child, shares[i])
		begun[i].End(lagoonbarrow.OutcomeDone, !ok)
		for repeat := 0; !ok && repeat < w.repeats; repeat++ {
			if !begin(i) {
				break
			}
			w.spent++
			ok = w.do(account, child, shares[i])
			begun[i].End(lagoonbarrow.OutcomeDone, !ok)
		}
		failed = failed || !ok
	}
	return failed
}

// do makes one call with retries by the node.
func (w *world) do(account lagoonbarrow.Account, child *meantCall, share lagoonbarrow.Tokens) bool {
	for {
		left, failed := w.run(child, share)
		if w.random.Float64() < w.loss {
			w.lost += left
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
		w.spent++
		share = account.Share()
	}
}

// Guards against attempts that multiply over the hops: every attempt beyond the
// calls that the applications meant costs a token, and no token is spent twice.
func TestPropertyAttemptsAreBounded(t *testing.T) {
	condition := func(seed uint64, depth, tokens, spare, repeats int, failure, loss float64) (bool, error) {
		w := newWorld(seed, failure, loss, repeats)
		tree := growTree(w.random, depth, &spare)
		root := New(Config{}).Open(&lagoonbarrow.Call{
			Tokens: lagoonbarrow.Tokens(tokens),
		}, time.Time{})
		w.makeCalls(root, &meantCall{
			calls: []*meantCall{tree},
		})
		left := root.Close()
		if left+w.spent+w.lost != lagoonbarrow.Tokens(tokens) {
			return false, fmt.Errorf("%d tokens: %d left, %d spent, %d lost", tokens, left, w.spent, w.lost)
		}
		for service, attempts := range w.attempts {
			if attempts > w.meant[service]+tokens {
				return false, fmt.Errorf("%s: %d attempts, %d meant, %d tokens", service, attempts, w.meant[service], tokens)
			}
			if len(tree.calls) > 0 && chain(tree) && attempts > 1+tokens {
				return false, fmt.Errorf("chain, %s: %d attempts with %d tokens", service, attempts, tokens)
			}
		}
		return true, nil
	}
	checkProperty(t, "attempts <= meant + tokens", condition,
		gen.UInt64(), gen.IntRange(1, deepest), gen.IntRange(0, 8), gen.IntRange(0, 6), gen.IntRange(0, 3),
		gen.Float64Range(0, 1), gen.Float64Range(0, 1))
}

func chain(tree *meantCall) bool {
	for ; len(tree.calls) > 0; tree = tree.calls[0] {
		if len(tree.calls) > 1 {
			return false
		}
	}
	return true
}

// Guards against re-sends that get new tokens, against an eviction of a running
// request, and against a table that outgrows its bound.
func TestPropertyKeyedRequestsShareTokens(t *testing.T) {
	condition := func(seed uint64, tokens, bound, keys int) (bool, error) {
		random := rand.New(rand.NewPCG(seed, 0))
		clock := &manualClock{}
		ledger := New(Config{
			Keyed:     bound,
			KeepKeyed: 10 * time.Second,
			Clock:     clock,
		})
		running := map[string][]lagoonbarrow.Account{}
		runs := map[string]int{}
		endedAt := map[string]time.Time{}
		for range 200 {
			key := strconv.Itoa(random.IntN(keys))
			if random.IntN(2) == 0 && len(running[key]) > 0 {
				running[key][0].Close()
				running[key] = running[key][1:]
				endedAt[key] = clock.now
				continue
			}
			clock.now = clock.now.Add(time.Duration(random.IntN(2000)) * time.Millisecond)
			opened, err := ledger.OpenKeyed(&lagoonbarrow.Call{
				ID:      lagoonbarrow.NewCallID(),
				Request: lagoonbarrow.NewRequestID(),
				Key:     key,
				Tokens:  lagoonbarrow.Tokens(tokens),
			}, clock.now)
			if _, remembered := ledger.Len(); remembered > bound {
				return false, fmt.Errorf("%d keyed requests, bound %d", remembered, bound)
			}
			if err != nil {
				continue
			}
			// Without a running call the request may have been forgotten, by time or for room.
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
