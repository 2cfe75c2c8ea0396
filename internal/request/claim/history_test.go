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
		// fasthttp's cleaners sleep up to 10 s before they check for the end, and
		// its clock runs until the process exits.
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
}

// seeds returns the seed in LAGOONBARROW_SEED, or else as many seeds as
// LAGOONBARROW_SEEDS sets, by default defaultCount.
func seeds(defaultCount int) []uint64 {
	if seed, err := strconv.ParseUint(os.Getenv("LAGOONBARROW_SEED"), 10, 64); err == nil {
		return []uint64{seed}
	}
	count, err := strconv.Atoi(os.Getenv("LAGOONBARROW_SEEDS"))
	if err != nil {
		count = defaultCount
	}
	all := make([]uint64, 0, count)
	for i := range count {
		all = append(all, uint64(i+1))
	}
	return all
}

// Guards against a key that runs twice and an attempt that runs after it was
// declared not run, under any order of claims, voids, lost answers and late
// writes. Time is simulated, so a seed reproduces its schedule.
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
	rng := newSeededRand(seed, 500)
	outage := time.AfterFunc(time.Duration(rng.int64n(int64(150*time.Millisecond))), func() {
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
