package contract

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"lagoonbarrow"
)

// registerInput is the input of one operation on a contract, a change or a read.
type registerInput struct {
	write    bool
	expected lagoonbarrow.ContractVersion
}

type registerOutput struct {
	version lagoonbarrow.ContractVersion
	err     error
}

// registerModel models a contract version that increases by one with each change
// whose expected version is the current one. An unknown outcome allows both the
// old and the new version.
func registerModel() porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Init: func() []any { return []any{lagoonbarrow.ContractVersion(0)} },
		Step: func(state, input, output any) []any {
			current := state.(lagoonbarrow.ContractVersion)
			in := input.(registerInput)
			out := output.(registerOutput)
			return stepRegister(current, in, out)
		},
	}).ToModel()
}

func stepRegister(current lagoonbarrow.ContractVersion, in registerInput, out registerOutput) []any {
	changed := in.write && in.expected == current
	switch {
	case out.err == nil && in.write && changed && out.version == current+1:
		return []any{current + 1}
	case out.err == nil && !in.write && out.version == current:
		return []any{current}
	case errors.Is(out.err, lagoonbarrow.ErrConflict) && !changed && out.version == current:
		return []any{current}
	case errors.Is(out.err, lagoonbarrow.ErrOutcomeUnknown) && changed:
		return []any{current, current + 1}
	case errors.Is(out.err, lagoonbarrow.ErrOutcomeUnknown):
		return []any{current}
	case errors.Is(out.err, lagoonbarrow.ErrUnavailable):
		return []any{current}
	default:
		return nil
	}
}

// Guards against a contract change that is applied twice, or whose reported
// outcome is wrong, when operators change it concurrently and the table loses
// answers, delays requests and fails.
func TestStoreHistoryIsLinearizable(t *testing.T) {
	for seed := range uint64(30) {
		table := newFakeTable()
		random := rand.New(rand.NewPCG(seed, 1))
		table.fault = func() fault {
			if kind := random.IntN(10); kind <= int(faultDelayed) {
				return fault(kind)
			}
			return faultNone
		}
		history := runOperators(table, seed)
		if !porcupine.CheckOperations(registerModel(), history) {
			t.Fatalf("seed %d: the history is not linearizable: %+v", seed, history)
		}
		checkChangeRows(t, table)
	}
}

func runOperators(table *fakeTable, seed uint64) []porcupine.Operation {
	var mutex sync.Mutex
	var history []porcupine.Operation
	var operators sync.WaitGroup
	start := time.Now()
	for client := range 4 {
		operators.Add(1)
		go func() {
			defer operators.Done()
			random := rand.New(rand.NewPCG(seed, uint64(client)+100))
			store := newTestStore(table)
			known := lagoonbarrow.ContractVersion(0)
			for range 8 {
				operation := runOperation(store, random, known, client, start)
				known = operation.Output.(registerOutput).version
				mutex.Lock()
				history = append(history, operation)
				mutex.Unlock()
			}
		}()
	}
	operators.Wait()
	return history
}

func runOperation(store *Store, random *rand.Rand, known lagoonbarrow.ContractVersion, client int, start time.Time) porcupine.Operation {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+random.IntN(60))*time.Millisecond)
	defer cancel()
	input := registerInput{
		write:    random.IntN(3) > 0,
		expected: known,
	}
	call := time.Since(start)
	var record lagoonbarrow.ContractRecord
	var err error
	if input.write {
		record, err = store.Apply(ctx, testContract("acme", testHash(random.IntN(3))), known)
	} else {
		record, err = store.Get(ctx, "acme")
	}
	if errors.Is(err, lagoonbarrow.ErrNotFound) {
		err = nil
	}
	operation := porcupine.Operation{
		ClientId: client,
		Input:    input,
		Call:     call.Nanoseconds(),
		Output: registerOutput{
			version: record.Version,
			err:     err,
		},
		Return: time.Since(start).Nanoseconds(),
	}
	if errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		// The change may take effect at any later time.
		operation.Return = time.Hour.Nanoseconds()
	}
	return operation
}

// checkChangeRows verifies that the change rows have no gaps and that each version
// of a contract was accepted once.
func checkChangeRows(t *testing.T, table *fakeTable) {
	t.Helper()
	head, _, err := readHead(context.Background(), table)
	if err != nil {
		t.Fatal(err)
	}
	changes, err := readChanges(context.Background(), table, 0)
	if err != nil {
		t.Fatal(err)
	}
	if lagoonbarrow.Revision(len(changes)) != head || len(table.rows[tableChanges]) != len(changes) {
		t.Fatalf("%d change rows for head %d", len(changes), head)
	}
	versions := map[lagoonbarrow.CustomerID]lagoonbarrow.ContractVersion{}
	for _, record := range changes {
		if record.Version != versions[record.Customer]+1 {
			t.Fatalf("version %d follows %d", record.Version, versions[record.Customer])
		}
		versions[record.Customer] = record.Version
	}
}

// Guards against an applied change that is reported as a conflict because its
// answer was lost and another operator changed the contract before the row was
// read. Without the change rows, the outcome must be reported as unknown.
func TestStoreResolvesLostAnswerAfterLaterChange(t *testing.T) {
	for _, trimmed := range []bool{false, true} {
		checkLostAnswerAfterLaterChange(t, trimmed)
	}
}

func checkLostAnswerAfterLaterChange(t *testing.T, trimmed bool) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	table := newFakeTable()
	first := true
	table.fault = func() fault {
		if !first {
			return faultNone
		}
		first = false
		return faultLostAnswer
	}
	store := NewStore(StoreConfig{
		Table: table,
		Pause: func(context.Context, time.Duration) {
			if trimmed && len(table.rows[tableChanges]) == 0 {
				cancel()
				return
			}
			if _, err := newTestStore(table).Apply(ctx, testContract("acme", testHash(2)), 1); err != nil {
				t.Error(err)
			}
			if trimmed {
				table.trim()
			}
		},
	})
	record, err := store.Apply(ctx, testContract("acme", testHash(1)), 0)
	if trimmed && !errors.Is(err, lagoonbarrow.ErrOutcomeUnknown) {
		t.Fatalf("without change rows: %v", err)
	}
	if !trimmed && (err != nil || record.Version != 1) {
		t.Fatalf("got version %d and error %v", record.Version, err)
	}
}

// Guards against a report that nothing was accepted when the answer was lost and
// the platform then became unavailable.
func TestStoreReportsUnknownAndUnavailable(t *testing.T) {
	cases := []struct {
		name  string
		fault fault
		want  error
	}{
		{
			name:  "down at once",
			fault: faultDown,
			want:  lagoonbarrow.ErrUnavailable,
		},
		{
			name:  "answer lost, then down",
			fault: faultLostAnswer,
			want:  lagoonbarrow.ErrOutcomeUnknown,
		},
		{
			name:  "request lost, then down",
			fault: faultLostRequest,
			want:  lagoonbarrow.ErrOutcomeUnknown,
		},
	}
	for _, test := range cases {
		table := newFakeTable()
		table.fault = func() fault { return test.fault }
		ctx, cancel := context.WithCancel(context.Background())
		store := NewStore(StoreConfig{
			Table: table,
			Pause: func(context.Context, time.Duration) {
				table.setDown(true)
				cancel()
			},
		})
		_, err := store.Apply(ctx, testContract("acme", testHash(1)), 0)
		if !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
		cancel()
	}
}

// Guards against an API key that identifies two customers, and against a key that
// cannot be used again after it was removed or its contract was retired.
func TestStoreKeyHashBelongsToOneCustomer(t *testing.T) {
	table := newFakeTable()
	ctx := context.Background()
	results := make(chan error, 8)
	for number := range 8 {
		go func() {
			_, err := newTestStore(table).Apply(ctx, testContract(fmt.Sprintf("customer-%d", number), testHash(7)), 0)
			results <- err
		}()
	}
	accepted := 0
	for range 8 {
		err := <-results
		if err == nil {
			accepted++
		} else if !errors.Is(err, lagoonbarrow.ErrInvalid) {
			t.Errorf("unexpected error %v", err)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d customers got the key", accepted)
	}
	checkKeyReuse(t, newTestStore(newFakeTable()))
}

func checkKeyReuse(t *testing.T, store *Store) {
	t.Helper()
	ctx := context.Background()
	apply := func(customer string, expected lagoonbarrow.ContractVersion, hashes ...string) error {
		_, err := store.Apply(ctx, testContract(customer, hashes...), expected)
		return err
	}
	retire := func(customer lagoonbarrow.CustomerID, expected lagoonbarrow.ContractVersion) error {
		_, err := store.Retire(ctx, customer, expected)
		return err
	}
	one, two := testHash(1), testHash(2)
	for _, step := range []struct {
		name string
		got  error
		want error
	}{
		{
			name: "create a",
			got:  apply("a", 0, one, two),
		},
		{
			name: "a drops key 1",
			got:  apply("a", 1, two),
		},
		{
			name: "b takes key 1",
			got:  apply("b", 0, one),
		},
		{
			name: "b can't take key 2",
			got:  apply("b", 1, one, two),
			want: lagoonbarrow.ErrInvalid,
		},
		{
			name: "retire a",
			got:  retire("a", 2),
		},
		{
			name: "a can't be created over its tombstone",
			got:  apply("a", 0, testHash(3)),
			want: lagoonbarrow.ErrConflict,
		},
		{
			name: "b takes key 2",
			got:  apply("b", 1, one, two),
		},
		{
			name: "a returns above its tombstone",
			got:  apply("a", 3, testHash(3)),
		},
		{
			name: "retire of an unknown customer",
			got:  retire("c", 1),
			want: lagoonbarrow.ErrNotFound,
		},
	} {
		if !errors.Is(step.got, step.want) {
			t.Errorf("%s: got %v, want %v", step.name, step.got, step.want)
		}
	}
}
