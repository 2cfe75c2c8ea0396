package claim

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"lagoonbarrow"
	client "lagoonbarrow/internal/process/platform"
	standin "lagoonbarrow/internal/standin/platform"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(
		m,
		// fasthttp's cleaners sleep up to 10 s before they notice the end, and
		// its clock runs as long as the process.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// seeds returns the seeds to run: the one in LAGOONBARROW_SEED, or as many as
// LAGOONBARROW_SEEDS says.
func seeds(standard int) []uint64 {
	if one, err := strconv.ParseUint(os.Getenv("LAGOONBARROW_SEED"), 10, 64); err == nil {
		return []uint64{one}
	}
	count, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil {
		count = standard
	}
	all := make([]uint64, 0, count)
	for i := range count {
		all = append(all, uint64(i+1))
	}
	return all
}

// Guards against every order of claims, voids, lost answers and late writes in
// which a key runs twice or an attempt runs that was declared not run. Time is
// simulated, so that a seed gives the same schedule again.
func TestHistorySimulated(t *testing.T) {
	for _, seed := range seeds(150) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newFaultTable(seed)
				runScenario(t, seed, []lagoonbarrow.Table{table, table, table})
				// Late writes must not outlive the simulated time.
				time.Sleep(faultDelay)
			})
		})
	}
}

// Guards against the same faults with the real client and stand-in: group
// commit, lost connections, late batches and outages.
func TestHistoryPlatform(t *testing.T) {
	for _, seed := range seeds(12) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			runPlatformScenario(t, seed)
		})
	}
}

func runPlatformScenario(t *testing.T, seed uint64) {
	faults := standin.Faults{
		LoseAnswers:      0.15,
		LoseReads:        0.1,
		DelayWrites:      lagoonbarrow.Duration(60 * time.Millisecond),
		DelayProbability: 0.2,
		Seed:             seed,
	}
	server := standin.New(standin.Config{
		Address: "127.0.0.1:0",
		Faults:  faults,
	})
	address, err := server.Start()
	if err != nil {
		t.Fatal(err)
	}
	tables := make([]lagoonbarrow.Table, 0, 3)
	for range 3 {
		table := client.New(client.Config{
			Address:       address,
			Timeout:       25 * time.Millisecond,
			ProbeInterval: 20 * time.Millisecond,
		})
		if err := table.Start(); err != nil {
			t.Fatal(err)
		}
		defer func() { _ = table.Stop() }()
		tables = append(tables, table)
	}
	draws := newDraws(seed, 500)
	outage := time.AfterFunc(time.Duration(draws.int64n(int64(150*time.Millisecond))), func() {
		server.SetFaults(standin.Faults{
			Down: []string{standin.DownRefuse, standin.DownHang}[seed%2],
		})
		time.Sleep(50 * time.Millisecond)
		server.SetFaults(faults)
	})
	defer outage.Stop()
	runScenario(t, seed, tables)
	if err := server.Stop(); err != nil {
		t.Error(err)
	}
}
