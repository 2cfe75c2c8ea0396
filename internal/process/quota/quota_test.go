package quota

import (
	"context"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
)

// Guards against a first request that is refused because no share has arrived,
// also when it costs more than the floor's capacity.
func TestFirstRequestIsAdmitted(t *testing.T) {
	w := newWorld(200)
	if ok, _ := w.node(0).AllowLevel(w.contract, 40, lagoonbarrow.ImportanceNormal); !ok {
		t.Fatal("the first request was refused")
	}
	ok, wait := w.node(0).AllowLevel(w.contract, 40, lagoonbarrow.ImportanceNormal)
	if ok || wait <= 0 {
		t.Fatalf("the second request at once: admitted %v, wait %v", ok, wait)
	}
	select {
	case <-w.node(0).urgent:
	default:
		t.Fatal("no report was asked for")
	}
	w.node(0).round(context.Background(), w.node(0).due(true))
	if _, found := w.share(w.node(0)); !found {
		t.Fatal("no share after the urgent report")
	}
	if _, shorter := w.node(0).AllowLevel(w.contract, 40, lagoonbarrow.ImportanceNormal); shorter >= wait {
		t.Errorf("wait %v with a share, %v with the floor", shorter, wait)
	}
}

// Guards against refusals of a customer far below its rate: the first share
// that arrives raises the capacity, and the tokens follow only at its rate.
func TestGrowingShareRefusesNothing(t *testing.T) {
	w := newWorld(16)
	for second := range 3 {
		for step := range 20 {
			for _, level := range []lagoonbarrow.Importance{lagoonbarrow.ImportanceDeferrable, lagoonbarrow.ImportanceNormal} {
				if ok, wait := w.node(step%4).AllowLevel(w.contract, 1, level); !ok {
					t.Errorf("second %d, request %d: refused for %v", second, step, wait)
				}
			}
			w.now = w.now.Add(time.Second / 20)
			w.node(step%4).round(context.Background(), w.node(step%4).due(true))
		}
		for number := range 4 {
			w.node(number).tick(context.Background())
		}
	}
}

// Guards against customers held at the floor while their owner is down: the
// second instance in rank grants shares in the same round, and only without
// any owner does the floor apply.
func TestOwnerDoesNotAnswer(t *testing.T) {
	w := newWorld(8)
	w.second(30)
	owner, _ := w.node(0).reporter.owners.of(w.now, "acme")
	asking := 0
	if owner.ID == w.members[0].ID {
		asking = 1
	}
	demands := make([]int, asking+1)
	demands[asking] = 30
	w.silent[owner.Peer] = true
	w.second(demands...)
	if _, found := w.share(w.node(asking)); !found {
		t.Fatal("no share from the second owner")
	}
	for _, member := range w.members {
		w.silent[member.Peer] = true
		w.views[w.members[asking].ID] = []lagoonbarrow.Instance{owner, member}
	}
	for range 4 {
		w.second(demands...)
	}
	if _, found := w.share(w.node(asking)); found {
		t.Fatal("a share without any owner")
	}
	node := w.node(asking)
	if got := node.buckets["acme"].share(w.now, node.limitsOf(w.contract)); got != testRate/2 {
		t.Errorf("the floor of 2 live nodes is %v", got)
	}
}

// Guards against filings that are refused while browsing is admitted, when a
// customer asks for twice its rate: on one node, and when filings arrive at one
// node and browsing at others.
func TestCriticalWorkIsRefusedLast(t *testing.T) {
	const (
		filings     = 8
		filingUnits = 5
		browsing    = 160
	)
	for _, browsingNode := range []int{0, 1} {
		w := newWorld(4)
		refused := 0
		browsed := 0
		for second := range 20 {
			for step := range browsing {
				w.now = w.now.Add(time.Second / browsing)
				ok, _ := w.node(browsingNode).AllowLevel(w.contract, 1, lagoonbarrow.ImportanceDeferrable)
				if ok && second >= 5 {
					browsed++
				}
				if step%(browsing/filings) != 0 {
					continue
				}
				ok, _ = w.node(0).AllowLevel(w.contract, filingUnits, lagoonbarrow.ImportanceCritical)
				if !ok && second >= 5 {
					refused++
				}
			}
			w.node(0).tick(context.Background())
			w.node(1).tick(context.Background())
		}
		if refused > 0 {
			t.Errorf("browsing on node %d: %d filings were refused", browsingNode, refused)
		}
		if want := 15 * (testRate - filings*filingUnits); browsed < want*9/10 || browsed > want+testBurst {
			t.Errorf("browsing on node %d: %d work units, expected about %d", browsingNode, browsed, want)
		}
	}
}

// Guards against customers without a rate, and retired ones, that are let
// through or cause a division by zero.
func TestNoRate(t *testing.T) {
	w := newWorld(1)
	suspended := *w.contract.Contract
	suspended.WorkUnitsPerSecond = 0
	for _, contract := range []*lagoonbarrow.Contract{nil, &suspended} {
		record := w.contract
		record.Contract = contract
		if ok, wait := w.node(0).AllowLevel(record, 1, lagoonbarrow.ImportanceNormal); ok || wait != maxWait {
			t.Errorf("%+v: admitted %v, wait %v", contract, ok, wait)
		}
	}
}

// Guards against buckets that are kept for ever, or dropped in debt so that a
// new one forgives it.
func TestIdleBucketsAreDropped(t *testing.T) {
	w := newWorld(100)
	w.node(0).AllowLevel(w.contract, 40, lagoonbarrow.ImportanceNormal)
	w.node(0).buckets["acme"].tokens = -1000
	w.now = w.now.Add(2 * idleAfter)
	w.node(0).dropIdle()
	if len(w.node(0).buckets) != 1 {
		t.Fatal("a bucket in debt was dropped")
	}
	w.now = w.now.Add(20 * idleAfter)
	w.node(0).dropIdle()
	if len(w.node(0).buckets) != 0 {
		t.Fatal("an idle bucket was kept")
	}
}

// Guards against goroutines that outlive Stop.
func TestStop(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	w := newWorld(1)
	node := w.node(0)
	node.Start()
	node.AllowLevel(w.contract, 1, lagoonbarrow.ImportanceNormal)
	node.Stop()
}

// Guards against messages of faulty peers that crash a node or grant work
// without limit.
func FuzzMessages(f *testing.F) {
	first := reportEntry{
		Customer: "acme",
		Demand:   byLevel{5, 0, 1},
	}
	second := reportEntry{
		Customer: "acme",
		Demand:   byLevel{1e308, 1e307, 1e307},
	}
	request, _ := encode(KindRequest, report{
		Sequence: 1,
		Entries:  reportEntries{first, second},
	})
	share := answerEntry{
		Customer: "acme",
		Share:    1e308,
	}
	reply, _ := encode(KindAnswer, answer{
		Entries: answerEntries{share},
	})
	f.Add(request.Body)
	f.Add(reply.Body)
	// An array of 3 billion entries, of which none follows.
	f.Add([]byte("\x81\xa7entries\xdd\xbd\xbd\xbd\xbd"))
	f.Fuzz(func(t *testing.T, body []byte) {
		w := newWorld(2)
		node := w.node(0)
		message := lagoonbarrow.Message{
			Kind: KindRequest,
			Body: body,
		}
		_, _ = node.HandleMessage(context.Background(), "node-1", message)
		if sum := node.ledger.account("acme").outstanding; !(sum <= testRate*(1+1e-9)) {
			t.Fatalf("granted %v", sum)
		}
		node.AllowLevel(w.contract, 1, lagoonbarrow.ImportanceNormal)
		for _, batch := range node.prepare(node.due(false)) {
			if got, err := decodeAnswer(message); err == nil {
				node.accept(batch, got)
			}
		}
		if share := node.buckets["acme"].share(w.now, node.limitsOf(w.contract)); !(share <= testRate) {
			t.Fatalf("share %v", share)
		}
		if given := node.buckets["acme"].credit(); !(given <= testBurst) {
			t.Fatalf("credit %v", given)
		}
	})
}

// Guards against a report whose cost grows with the number of holders: 7,800
// nodes report one customer to one owner each second.
func BenchmarkGrant(b *testing.B) {
	table := newLedger(DefaultShareLife, time.Time{})
	now := time.Unix(1000, 0)
	for number := 0; b.Loop(); number++ {
		now = now.Add(time.Second / 7800)
		from := holder{
			process: processID(number % 7800),
		}
		table.grant(now, from, uint64(number+1), reportEntry{
			Customer: "acme",
			Demand:   byLevel{1, 1, 1},
		}, lagoonbarrow.Contract{
			WorkUnitsPerSecond: testRate,
		})
	}
}

// Guards against reports whose cost is dominated by the choice of owners: each
// customer with demand ranks 7,800 instances once a second.
func BenchmarkOwner(b *testing.B) {
	var live []lagoonbarrow.Instance
	for number := range 7800 {
		live = append(live, lagoonbarrow.Instance{
			ID: lagoonbarrow.InstanceID(strconv.Itoa(number)),
		})
	}
	ranked := newReporter().owners
	ranked.update(live)
	for b.Loop() {
		ranked.of(time.Unix(1000, 0), "acme")
	}
}

// Guards against a burst that is given anew to a customer that pauses until its
// holders are forgotten, when the burst takes longer than that to fill.
func TestUsedBurstIsRemembered(t *testing.T) {
	table := newLedger(DefaultShareLife, time.Time{})
	terms := lagoonbarrow.Contract{
		WorkUnitsPerSecond: 1,
		BurstWorkUnits:     1000,
	}
	now := time.Unix(1000, 0)
	account := table.account("acme")
	account.refill(now, time.Time{}, terms)
	account.takeCredit(1000)
	table.clean(now.Add(time.Minute))
	if table.account("acme") != account {
		t.Error("a pool that is not full was dropped")
	}
	table.clean(now.Add(time.Hour))
	if table.account("acme") == account {
		t.Error("a full pool was kept")
	}
}
