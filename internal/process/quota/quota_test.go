package quota

import (
	"context"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
	"lagoonbarrow/internal/connection/frame"
)

// Guards against a first request that is refused because no share has arrived yet,
// even if it costs more than the floor's capacity.
func TestFirstRequestIsAdmitted(t *testing.T) {
	c := newCluster(200)
	if ok, _ := c.node(0).Allow(c.contract, 40, lagoonbarrow.ImportanceNormal); !ok {
		t.Fatal("the first request was refused")
	}
	ok, wait := c.node(0).Allow(c.contract, 40, lagoonbarrow.ImportanceNormal)
	if ok || wait <= 0 {
		t.Fatalf("the second request at once: admitted %v, wait %v", ok, wait)
	}
	select {
	case <-c.node(0).urgent:
	default:
		t.Fatal("no urgent report was requested")
	}
	c.node(0).sendReports(context.Background(), c.node(0).dueEntries(true))
	if _, found := c.validShare(c.node(0)); !found {
		t.Fatal("no share after the urgent report")
	}
	if _, shorter := c.node(0).Allow(c.contract, 40, lagoonbarrow.ImportanceNormal); shorter >= wait {
		t.Errorf("wait %v with a share, %v with the floor", shorter, wait)
	}
}

// Guards against refusals of a customer far below its rate. The first share raises
// the capacity at once, but the tokens rise only at the rate of the share.
func TestGrowingShareRefusesNothing(t *testing.T) {
	c := newCluster(16)
	for second := range 3 {
		for step := range 20 {
			for _, level := range []lagoonbarrow.Importance{lagoonbarrow.ImportanceDeferrable, lagoonbarrow.ImportanceNormal} {
				if ok, wait := c.node(step%4).Allow(c.contract, 1, level); !ok {
					t.Errorf("second %d, request %d: refused for %v", second, step, wait)
				}
			}
			c.now = c.now.Add(time.Second / 20)
			c.node(step%4).sendReports(context.Background(), c.node(step%4).dueEntries(true))
		}
		for number := range 4 {
			c.node(number).endInterval(context.Background())
		}
	}
}

// Guards against customers that are limited to the floor while their owner is down.
// The second instance in rank must grant shares in the same round, and the floor
// must apply only when no owner answers.
func TestOwnerDoesNotAnswer(t *testing.T) {
	c := newCluster(8)
	c.runSecond(30)
	owner, _ := c.node(0).reporter.owners.ownerOf(c.now, "acme")
	tested := 0
	if owner.ID == c.members[0].ID {
		tested = 1
	}
	demands := make([]int, tested+1)
	demands[tested] = 30
	c.unreachable[owner.Peer] = true
	c.runSecond(demands...)
	if _, found := c.validShare(c.node(tested)); !found {
		t.Fatal("no share from the second owner")
	}
	for _, member := range c.members {
		c.unreachable[member.Peer] = true
		c.rosters[c.members[tested].ID] = []lagoonbarrow.Instance{owner, member}
	}
	for range 4 {
		c.runSecond(demands...)
	}
	if _, found := c.validShare(c.node(tested)); found {
		t.Fatal("a share without any owner")
	}
	node := c.node(tested)
	if got := node.buckets["acme"].share(c.now, node.limitsOf(c.contract)); got != testRate/2 {
		t.Errorf("the floor of 2 live nodes is %v", got)
	}
}

// Guards against filings that are refused while browsing is admitted, when a
// customer requests twice its rate. Filings and browsing arrive at the same node
// or at different ones.
func TestCriticalWorkIsRefusedLast(t *testing.T) {
	const (
		filings     = 8
		filingUnits = 5
		browsing    = 160
	)
	for _, browsingNode := range []int{0, 1} {
		c := newCluster(4)
		refused := 0
		browsed := 0
		for second := range 20 {
			for step := range browsing {
				c.now = c.now.Add(time.Second / browsing)
				ok, _ := c.node(browsingNode).Allow(c.contract, 1, lagoonbarrow.ImportanceDeferrable)
				if ok && second >= 5 {
					browsed++
				}
				if step%(browsing/filings) != 0 {
					continue
				}
				ok, _ = c.node(0).Allow(c.contract, filingUnits, lagoonbarrow.ImportanceCritical)
				if !ok && second >= 5 {
					refused++
				}
			}
			c.node(0).endInterval(context.Background())
			c.node(1).endInterval(context.Background())
		}
		if refused > 0 {
			t.Errorf("browsing on node %d: %d filings were refused", browsingNode, refused)
		}
		if expected := 15 * (testRate - filings*filingUnits); browsed < expected*9/10 || browsed > expected+testBurst {
			t.Errorf("browsing on node %d: %d work units, expected about %d", browsingNode, browsed, expected)
		}
	}
}

// Guards against requests of retired customers and of customers without a rate that
// are admitted or cause a division by zero.
func TestNoRate(t *testing.T) {
	c := newCluster(1)
	suspended := *c.contract.Contract
	suspended.WorkUnitsPerSecond = 0
	for _, contract := range []*lagoonbarrow.Contract{nil, &suspended} {
		record := c.contract
		record.Contract = contract
		if ok, wait := c.node(0).Allow(record, 1, lagoonbarrow.ImportanceNormal); ok || wait != maxWait {
			t.Errorf("%+v: admitted %v, wait %v", contract, ok, wait)
		}
	}
}

// Guards against idle buckets that are never dropped, and against dropped buckets in
// debt, whose replacements would cancel the debt.
func TestIdleBucketsAreDropped(t *testing.T) {
	c := newCluster(100)
	c.node(0).Allow(c.contract, 40, lagoonbarrow.ImportanceNormal)
	c.node(0).buckets["acme"].tokens = -1000
	c.now = c.now.Add(2 * idleAfter)
	c.node(0).dropIdleBuckets()
	if len(c.node(0).buckets) != 1 {
		t.Fatal("a bucket in debt was dropped")
	}
	c.now = c.now.Add(20 * idleAfter)
	c.node(0).dropIdleBuckets()
	if len(c.node(0).buckets) != 0 {
		t.Fatal("an idle bucket was kept")
	}
}

// Guards against goroutines that outlive Stop.
func TestStop(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	c := newCluster(1)
	node := c.node(0)
	node.Start()
	node.Allow(c.contract, 1, lagoonbarrow.ImportanceNormal)
	node.Stop()
}

// Guards against messages of faulty peers that crash a node or cause unlimited
// grants.
func FuzzMessages(f *testing.F) {
	first := reportEntry{
		Customer: "acme",
		Demand:   byLevel{5, 0, 1},
	}
	second := reportEntry{
		Customer: "acme",
		Demand:   byLevel{1e308, 1e307, 1e307},
	}
	request, _ := frame.EncodeMessage(KindShareRequest, report{
		Sequence: 1,
		Entries:  reportEntries{first, second},
	})
	share := answerEntry{
		Customer: "acme",
		Share:    1e308,
	}
	reply, _ := frame.EncodeMessage(KindShareAnswer, answer{
		Entries: answerEntries{share},
	})
	f.Add(request.Body)
	f.Add(reply.Body)
	// The header of an array of 3 billion entries without the entries.
	f.Add([]byte("\x81\xa7entries\xdd\xbd\xbd\xbd\xbd"))
	f.Fuzz(func(t *testing.T, body []byte) {
		c := newCluster(2)
		node := c.node(0)
		message := lagoonbarrow.Message{
			Kind: KindShareRequest,
			Body: body,
		}
		_, _ = node.HandleMessage(context.Background(), "node-1", message)
		if sum := node.ledger.account("acme").outstanding; !(sum <= testRate*(1+1e-9)) {
			t.Fatalf("granted %v", sum)
		}
		node.Allow(c.contract, 1, lagoonbarrow.ImportanceNormal)
		for _, batch := range node.buildBatches(node.dueEntries(false)) {
			if got, err := decodeAnswer(message); err == nil {
				node.applyAnswer(batch, got)
			}
		}
		if share := node.buckets["acme"].share(c.now, node.limitsOf(c.contract)); !(share <= testRate) {
			t.Fatalf("share %v", share)
		}
		if credit := node.buckets["acme"].credit(); !(credit <= testBurst) {
			t.Fatalf("credit %v", credit)
		}
	})
}

// Guards against a cost of reports that grows with the number of holders. 7,800
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

// Guards against reports whose cost is dominated by the choice of owners. 7,800
// instances are ranked once a second for each customer with demand.
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
		ranked.ownerOf(time.Unix(1000, 0), "acme")
	}
}

// Guards against a burst that is granted again to a customer that pauses until its
// holders expire, when the pool takes longer than that to fill.
func TestUsedBurstIsRemembered(t *testing.T) {
	table := newLedger(DefaultShareLife, time.Time{})
	contract := lagoonbarrow.Contract{
		WorkUnitsPerSecond: 1,
		BurstWorkUnits:     1000,
	}
	now := time.Unix(1000, 0)
	account := table.account("acme")
	account.updatePool(now, time.Time{}, contract)
	account.grantCredit(1000)
	table.dropUnused(now.Add(time.Minute))
	if table.account("acme") != account {
		t.Error("a pool that is not full was dropped")
	}
	table.dropUnused(now.Add(time.Hour))
	if table.account("acme") == account {
		t.Error("a full pool was kept")
	}
}
