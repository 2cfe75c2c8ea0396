package contract

import (
	"errors"
	"math/rand/v2"
	"testing"

	"lagoonbarrow"
)

func testRecord(customer string, revision lagoonbarrow.Revision, hashes ...string) lagoonbarrow.ContractRecord {
	contract := testContract(customer, hashes...)
	return lagoonbarrow.ContractRecord{
		Customer: contract.Customer,
		Version:  lagoonbarrow.ContractVersion(revision),
		Revision: revision,
		Contract: &contract,
	}
}

// Guards against a revision that is reported although an earlier change is
// missing, and against older records that replace newer ones when batches arrive
// in any order.
func TestRegistryHasNoGaps(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		registry := NewRegistry(RegistryConfig{})
		registry.Load(nil, 0)
		received := map[lagoonbarrow.Revision]bool{}
		last := lagoonbarrow.Revision(0)
		for range 200 {
			start := lagoonbarrow.Revision(1 + random.IntN(60))
			var batch []lagoonbarrow.ContractRecord
			for revision := start; revision < start+5; revision++ {
				batch = append(batch, testRecord("acme", revision, testHash(int(revision))))
				received[revision] = true
			}
			registry.Apply(batch)
			revision := registry.Revision()
			if revision < last {
				t.Fatalf("seed %d: revision went from %d to %d", seed, last, revision)
			}
			for below := lagoonbarrow.Revision(1); below <= revision; below++ {
				if !received[below] {
					t.Fatalf("seed %d: revision %d is reported without change %d", seed, revision, below)
				}
			}
			last = revision
			if record, found := registry.Lookup("acme"); found && record.Revision != revision {
				t.Fatalf("seed %d: record %d at revision %d", seed, record.Revision, revision)
			}
		}
	}
}

// Guards against a key that is accepted after its contract was retired, and
// against a moved key that still identifies its former customer.
func TestRegistryKeys(t *testing.T) {
	registry := NewRegistry(RegistryConfig{})
	const hash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	if applied := registry.Apply([]lagoonbarrow.ContractRecord{testRecord("a", 1, hash)}); applied != nil {
		t.Fatal("a record was applied before the load")
	}
	registry.Load([]lagoonbarrow.ContractRecord{testRecord("a", 1, hash)}, 1)
	if record, err := registry.ByKey("foo"); err != nil || record.Customer != "a" {
		t.Fatalf("got %q, %v", record.Customer, err)
	}
	registry.Apply([]lagoonbarrow.ContractRecord{
		testRecord("a", 2, testHash(2)),
		testRecord("b", 3, hash),
	})
	if record, err := registry.ByKey("foo"); err != nil || record.Customer != "b" {
		t.Fatalf("after the move: got %q, %v", record.Customer, err)
	}
	tombstone := testRecord("b", 4)
	tombstone.Retired = true
	tombstone.Contract = nil
	registry.Apply([]lagoonbarrow.ContractRecord{tombstone})
	if _, err := registry.ByKey("foo"); !errors.Is(err, lagoonbarrow.ErrUnauthenticated) {
		t.Fatalf("after the retirement: %v", err)
	}
	registry.Load([]lagoonbarrow.ContractRecord{testRecord("b", 3, hash)}, 3)
	if record, _ := registry.Lookup("b"); !record.Retired {
		t.Fatal("an older state replaced a tombstone")
	}
}

// Guards against a match that ignores an earlier matching class.
func TestMatchReturnsFirstClass(t *testing.T) {
	record := testRecord("a", 1)
	lookup := record.Contract.Classes[0]
	lookup.PathPrefix = "/resolutions"
	file := lookup
	file.Name = "file"
	file.Method = "POST"
	record.Contract.Classes = []lagoonbarrow.Class{file, lookup}
	registry := NewRegistry(RegistryConfig{})
	for _, test := range [][3]string{
		{"POST", "/resolutions/1", "file"},
		{"GET", "/resolutions", "browse"},
		{"GET", "/other", ""},
	} {
		class, err := registry.Match(record, test[0], test[1])
		if string(class.Name) != test[2] || errors.Is(err, lagoonbarrow.ErrNotFound) != (test[2] == "") {
			t.Errorf("%s %s: got %q, %v", test[0], test[1], class.Name, err)
		}
	}
}

// Guards against lookups that become slower with the number of customers.
func BenchmarkByKey(b *testing.B) {
	registry := NewRegistry(RegistryConfig{})
	var records []lagoonbarrow.ContractRecord
	for number := range 10000 {
		records = append(records, testRecord(testHash(number), lagoonbarrow.Revision(number+1), testHash(number)))
	}
	registry.Load(records, 10000)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = registry.ByKey("foo")
	}
}
