package contract

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
)

func mustApply(t *testing.T, table lagoonbarrow.Table, customer string, expected lagoonbarrow.ContractVersion, hashes ...string) lagoonbarrow.ContractRecord {
	t.Helper()
	record, err := newTestStore(table).Apply(context.Background(), testContract(customer, hashes...), expected)
	if err != nil {
		t.Fatal(err)
	}
	return record
}

// Guards against a change that reaches only some of the instances. The pushes of
// the readers and one gossip exchange per second must reach all instances within
// 7 rounds of 1 s. LAGOONBARROW_FLEET sets another number of instances.
func TestChangeReachesAllInstances(t *testing.T) {
	size := 200
	if text := os.Getenv("LAGOONBARROW_FLEET"); text != "" {
		size, _ = strconv.Atoi(text)
	}
	f := newFleet(t, newFakeTable(), size)
	f.tickAll()
	record := mustApply(t, f.table, "acme", 0, testHash(1))
	random := rand.New(rand.NewPCG(7, 7))
	for round := 1; round <= 7; round++ {
		f.now = f.now.Add(time.Second)
		reads := f.table.reads
		sent := f.sent
		f.tickAll()
		hops := f.runPendingPulls()
		pushed := len(f.members) - f.countBehind(record.Revision)
		for number := range f.members {
			f.gossip(number, random.IntN(len(f.members)))
		}
		t.Logf("round %d: in force on %d after the pushes (%d hops), %d behind after gossip, %d table reads, %d messages",
			round, pushed, hops, f.countBehind(record.Revision), f.table.reads-reads, f.sent-sent)
	}
	if behind := f.countBehind(record.Revision); behind > 0 {
		t.Fatalf("%d instances are behind after 7 rounds", behind)
	}
}

// Guards against an accepted change that waits for a reader's next poll, and
// against a lost push of a node that is not a reader.
func TestRefreshAppliesChange(t *testing.T) {
	f := newFleet(t, newFakeTable(), 3)
	f.tickAll()
	accepted := 0
	store := NewStore(StoreConfig{
		Table:      f.table,
		OnAccepted: func() { accepted++ },
	})
	record, err := store.Apply(context.Background(), testContract("acme", testHash(1)), 0)
	if err != nil || accepted != 1 {
		t.Fatalf("OnAccepted called %d times, %v", accepted, err)
	}
	if _, err := store.Apply(context.Background(), testContract("acme", testHash(1)), 0); err == nil || accepted != 1 {
		t.Fatalf("OnAccepted called %d times, %v", accepted, err)
	}
	f.node(0).Refresh()
	f.node(0).Refresh()
	<-f.node(0).refreshSignal
	f.node(0).refresh(context.Background())
	if behind := f.countBehind(record.Revision); behind > 0 {
		t.Errorf("%d nodes are behind", behind)
	}
}

// Guards against a restarted node that serves an older version than before,
// because it accepts the state of a peer that was frozen.
func TestRestartedNodeIgnoresFrozenPeer(t *testing.T) {
	f := newFleet(t, newFakeTable(), 3)
	mustApply(t, f.table, "acme", 0, testHash(1))
	f.tickAll()
	frozenRevision, frozenAge, known := f.node(2).Gossip()
	frozen := f.node(2).config.Registry
	f.isolated[f.members[2].Peer] = true
	second := mustApply(t, f.table, "acme", 1, testHash(2))
	f.now = f.now.Add(time.Second)
	f.tickAll()
	restarted := f.startNode(1)
	restarted.HandleGossip(f.members[2], frozenRevision, frozenAge, known)
	restarted.runPendingPull(context.Background())
	if restarted.config.Registry.Ready() {
		t.Fatal("the node is ready without the platform")
	}
	restarted.tick(context.Background())
	old, _ := frozen.Lookup("acme")
	restarted.config.Registry.Apply([]lagoonbarrow.ContractRecord{old})
	restarted.HandleGossip(f.members[2], frozenRevision, frozenAge, known)
	got, _ := restarted.config.Registry.Lookup("acme")
	if got.Version != second.Version {
		t.Fatalf("version %d is in force, not %d", got.Version, second.Version)
	}
	f.isolated[f.members[2].Peer] = false
	f.gossip(1, 2)
	if got, _ := frozen.Lookup("acme"); got.Version != second.Version {
		t.Fatal("the frozen node did not catch up")
	}
}

// Guards against a node that becomes ready without the platform, and against
// running nodes that lose their contracts during an outage.
func TestPlatformOutage(t *testing.T) {
	f := newFleet(t, newFakeTable(), 2)
	mustApply(t, f.table, "acme", 0, testHash(1))
	f.tickAll()
	f.table.setDown(true)
	restarted := f.startNode(1)
	for range 10 {
		f.now = f.now.Add(time.Second)
		f.tickAll()
		f.gossip(0, 1)
	}
	if restarted.config.Registry.Ready() {
		t.Error("the new node is ready during the outage")
	}
	if _, found := f.node(0).config.Registry.Lookup("acme"); !found {
		t.Error("the running node lost its contract")
	}
	f.table.setDown(false)
	f.tickAll()
	if !restarted.config.Registry.Ready() {
		t.Error("the new node is not ready after the outage")
	}
}

// Guards against an initial load that is inconsistent. It must include all changes
// made while the scan runs, to rows before and after its position, even if their
// change rows were trimmed.
func TestLoadIsConsistentUnderChanges(t *testing.T) {
	for _, trim := range []bool{false, true} {
		table := newFakeTable()
		for number := range 2 * scanPageSize {
			mustApply(t, table, fmt.Sprintf("c%04d", number), 0, testHash(number))
		}
		pages := 0
		table.beforeScan = func(name, _ string) {
			if name != tableContracts || pages == 5 {
				return
			}
			pages++
			version := lagoonbarrow.ContractVersion(pages)
			// A key moves from a row that has been scanned to one that has not.
			previous, _ := newTestStore(table).Get(context.Background(), "c0000")
			mustApply(t, table, "c0000", version, testHash(9000+pages))
			mustApply(t, table, "c0399", version, previous.Contract.KeyHashes...)
			mustApply(t, table, fmt.Sprintf("a-%d", pages), 0, testHash(9100+pages))
			if trim && pages == 2 {
				table.trim()
			}
		}
		f := newFleet(t, table, 1)
		f.tickAll()
		table.beforeScan = nil
		checkMatchesTable(t, f.node(0).config.Registry, table)
	}
}

func checkMatchesTable(t *testing.T, registry *Registry, table *fakeTable) {
	t.Helper()
	head, _, _ := readHead(context.Background(), table)
	if !registry.Ready() || registry.Revision() != head {
		t.Fatalf("ready %v at revision %d, the head is %d", registry.Ready(), registry.Revision(), head)
	}
	records, err := newTestStore(table).List(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range records {
		got, _ := registry.Lookup(want.Customer)
		if got.Revision != want.Revision {
			t.Errorf("%s has revision %d, not %d", want.Customer, got.Revision, want.Revision)
		}
		for _, text := range keyHashes(want) {
			hash, _ := parseKeyHash(text)
			if owner, _ := registry.current.Load().byKey(hash); owner.Customer != want.Customer {
				t.Errorf("key %s belongs to %q, not %q", text, owner.Customer, want.Customer)
			}
		}
	}
	if registry.Size() != len(records) {
		t.Errorf("%d records, not %d", registry.Size(), len(records))
	}
}

// Guards against a node that never catches up because the change rows that it
// needs were trimmed and no peer keeps them.
func TestTrimmedChangesAreRescanned(t *testing.T) {
	f := newFleet(t, newFakeTable(), 2)
	f.tickAll()
	f.isolated[f.members[1].Peer] = true
	for number := range maxHistoryRecords + 1 {
		mustApply(t, f.table, fmt.Sprintf("c%04d", number), 0, testHash(number))
	}
	f.tickAll()
	f.table.trim()
	f.isolated[f.members[1].Peer] = false
	f.gossip(0, 1)
	checkMatchesTable(t, f.node(1).config.Registry, f.table)
}

// Guards against a node without contact to the readers that never reads from the
// platform, and against such nodes all reading at the same time.
func TestStaleNodesPollWithinBound(t *testing.T) {
	const size = 2000
	f := newFleet(t, newFakeTable(), size)
	node := f.node(0)
	node.tick(context.Background())
	node.isReader()
	node.readers.selected = false
	node.config.ReaderPeriod = 1 << 62
	record := mustApply(t, f.table, "acme", 0, testHash(1))
	reads := f.table.reads
	seconds := 0
	for ; f.countBehind(record.Revision) == size && seconds < 100; seconds++ {
		f.now = f.now.Add(time.Second)
		node.readers.period = 0
		node.tick(context.Background())
	}
	interval := size / fallbackPollsPerSecond
	if seconds < 4 || seconds > 4+1+interval {
		t.Errorf("read after %d s, expected 4 s to %d s", seconds, 5+interval)
	}
	if f.table.reads-reads > 2 {
		t.Errorf("%d reads for one poll", f.table.reads-reads)
	}
}

// Guards against goroutines that outlive Stop.
func TestStopEndsAllGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	f := newFleet(t, newFakeTable(), 1)
	node := f.node(0)
	node.Start()
	node.requestPull(f.members[0].Peer, 5)
	node.Stop()
}

// Guards against a node that counts as up to date after a pull that returned only
// the first of the missing records.
func TestPartialPullDoesNotConfirm(t *testing.T) {
	f := newFleet(t, newFakeTable(), 2)
	f.tickAll()
	large := testContract("large", testHash(1))
	for number := 1; number < MaxClasses; number++ {
		class := large.Classes[0]
		class.Name = lagoonbarrow.ClassName(fmt.Sprintf("class-%d", number))
		class.PathPrefix = fmt.Sprintf("/%0*d", MaxPrefixBytes-1, number)
		large.Classes = append([]lagoonbarrow.Class{class}, large.Classes...)
	}
	f.now = f.now.Add(time.Second)
	const changes = 10
	for version := range lagoonbarrow.ContractVersion(changes) {
		if _, err := newTestStore(f.table).Apply(context.Background(), large, version); err != nil {
			t.Fatal(err)
		}
	}
	f.node(0).submit = func(func()) {}
	f.node(0).tick(context.Background())
	if _, err := f.node(1).pull(context.Background(), f.members[0].Peer); err != nil {
		t.Fatal(err)
	}
	revision, age, _ := f.node(1).Gossip()
	if revision == 0 || revision == changes || age != time.Second {
		t.Errorf("revision %d, confirmed %v ago", revision, age)
	}
	f.gossip(0, 1)
	if revision, age, _ := f.node(1).Gossip(); revision != changes || age != 0 {
		t.Errorf("after all pulls: revision %d, confirmed %v ago", revision, age)
	}
}
