package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"github.com/alitto/pond/v2"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
)

const (
	// changeLimit is the users' limit for the time from the acceptance of a change
	// until it is in force on all nodes.
	changeLimit = 7 * time.Second
	// changeRounds is the number of contract changes that are measured.
	changeRounds = 30
	// settleTime is the wait before the cost of an idle fleet is measured. The
	// members join and exchange the first digests in this time.
	settleTime = 15 * time.Second
	// costSpan is the time over which the cost of an idle fleet is measured.
	costSpan = 20 * time.Second
	// clockTicks is the number of units of CPU time per second in /proc on Linux.
	clockTicks = 100
)

// contractChange measures the time until a contract change is in force on all live
// nodes, while one node at a time is killed or frozen.
func contractChange(r *runner) []Row {
	services := serviceChain(4)
	var slowest, total time.Duration
	r.measureFleet(false, services, func(f *fleet.Fleet) {
		record := f.Nodes[0].ContractInForce("residents")
		for round := range changeRounds {
			disturbed := f.Nodes[1+round%(len(f.Nodes)-1)]
			if round%3 == 0 {
				disturbed.Kill()
			} else {
				disturbed.Freeze()
			}
			contract := fleet.ContractFor("residents", fleet.APIKey)
			contract.BurstWorkUnits = lagoonbarrow.WorkUnits(1000 + round)
			answer := f.Nodes[0].PutContract(contract, record.Version)
			if answer.Err != nil || answer.Status >= 300 {
				r.Fatalf("change not accepted: %v %d %s", answer.Err, answer.Status, answer.Body)
			}
			accepted := time.Now()
			record.Version++
			for _, node := range f.Nodes {
				if node == disturbed {
					continue
				}
				f.Await(node.Name+" has the change in force", changeLimit, func() bool {
					return node.ContractInForce("residents").Version >= record.Version
				})
			}
			took := time.Since(accepted)
			slowest = max(slowest, took)
			total += took
			if round%3 == 0 {
				disturbed.Start()
			} else {
				disturbed.Unfreeze()
			}
		}
	})
	return []Row{
		{
			Measure:  "contract change in force on all live nodes, 16 nodes, kills and freezes going on",
			Baseline: "each of 7,800 nodes polling within 2,000 reads/s: 3.9 s for one round, by calculation",
			Result:   fmt.Sprintf("mean %s, slowest of %d %s", milliseconds(total/changeRounds), changeRounds, milliseconds(slowest)),
			Target:   "<= 7 s",
			Met:      slowest <= changeLimit,
		},
	}
}

// cost holds the measured costs of one fleet size. CPU time, memory, bytes and
// writes are per node. Reads are those of the whole fleet.
type cost struct {
	nodes          int
	cpuPercent     float64
	residentMiB    float64
	bytesPerSecond float64
	readsPerSecond float64
	writesPerNode  float64
	changeTime     time.Duration
	leaveTime      time.Duration
	failureTime    time.Duration
}

// controlCost measures idle fleets of increasing size.
func controlCost(r *runner) []Row {
	var costs []cost
	for _, size := range []int{25, 50, 100, 200} {
		c := r.fleetCost(size)
		costs = append(costs, c)
		r.Logf(
			"%d nodes: %.2f %% of a core, %.1f MiB, %.0f control bytes/s a node; platform %.1f reads/s in all, %.1f writes a start; change %s, leave %s, a fifth killed %s",
			c.nodes, c.cpuPercent, c.residentMiB, c.bytesPerSecond, c.readsPerSecond, c.writesPerNode,
			c.changeTime.Round(time.Millisecond), c.leaveTime.Round(time.Millisecond), c.failureTime.Round(time.Millisecond),
		)
	}
	r.writeCosts(costs)
	last := costs[len(costs)-1]
	return []Row{
		{
			Measure:  "control cost of a node in a fleet of 200 (CAPACITY.md has the slopes)",
			Baseline: "fleet of 25: " + costs[0].text(),
			Result:   last.text(),
			Target:   "1.9 % of a core, 32 MB, 3 KB/s",
			Met:      last.cpuPercent <= 1.9 && last.residentMiB*1.048576 <= 32 && last.bytesPerSecond <= 3000,
		},
	}
}

func (c cost) text() string {
	return fmt.Sprintf("%.2f %% of a core, %.1f MiB, %.0f B/s", c.cpuPercent, c.residentMiB, c.bytesPerSecond)
}

// fleetCost starts a fleet and measures its costs.
func (r *runner) fleetCost(size int) cost {
	services := make([]fleet.Service, size/5)
	for position := range services {
		services[position] = fleet.Service{
			Name:        fmt.Sprintf("service%d", position),
			Instances:   5,
			Slots:       20,
			ServiceTime: time.Millisecond,
		}
	}
	f := fleet.Start(r, r.config.Binary, "[log]\nlevel = warn\n[control]\nprobe-interval = 1s\n", services...)
	f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
	writes := f.Platform.Stats().Writes
	time.Sleep(settleTime)
	result := idleCost(r, f)
	result.writesPerNode = float64(writes) / float64(size)
	result.changeTime = measureChange(r, f)
	result.leaveTime = measureLeave(f)
	result.failureTime = measureFailures(f)
	r.cleanUp()
	return result
}

// idleCost measures a fleet that serves no requests.
func idleCost(r *runner, f *fleet.Fleet) cost {
	before := measureUsage(r, f)
	reads := f.Platform.Stats().Reads
	time.Sleep(costSpan)
	after := measureUsage(r, f)
	nodes := float64(len(f.Nodes))
	seconds := costSpan.Seconds()
	return cost{
		nodes:          len(f.Nodes),
		cpuPercent:     100 * (after.cpu - before.cpu).Seconds() / seconds / nodes,
		residentMiB:    after.resident / nodes / (1 << 20),
		bytesPerSecond: (after.bytes - before.bytes) / seconds / nodes,
		readsPerSecond: float64(f.Platform.Stats().Reads-reads) / seconds,
	}
}

// usage sums the resources of all nodes. CPU time and control bytes count from the
// start of each node.
type usage struct {
	cpu      time.Duration
	resident float64
	bytes    float64
}

func measureUsage(r *runner, f *fleet.Fleet) usage {
	var sum usage
	for _, node := range f.Nodes {
		cpu, resident := processUsage(r, node.PID())
		sum.cpu += cpu
		sum.resident += resident
		sum.bytes += controlBytes(node)
	}
	return sum
}

// processUsage reads CPU time and resident memory from /proc.
func processUsage(r *runner, pid int) (time.Duration, float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		r.Fatal(err)
	}
	// The process name in parentheses may contain spaces, so fields are counted after it.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime, residentPages = 11, 12, 21
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	pages, _ := strconv.ParseFloat(fields[residentPages], 64)
	return time.Duration(user+system) * time.Second / clockTicks, pages * float64(os.Getpagesize())
}

// controlBytes sums the control bytes that a node sent and received.
func controlBytes(node *fleet.Node) float64 {
	answer := node.AdminRequest("GET", "/metrics", nil, nil)
	sum := 0.0
	for _, line := range strings.Split(string(answer.Body), "\n") {
		if !strings.HasPrefix(line, "lagoonbarrow_") || !strings.Contains(line, "control_bytes") {
			continue
		}
		fields := strings.Fields(line)
		value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
		sum += value
	}
	return sum
}

// measureChange returns the time until a contract change is in force on every node.
func measureChange(r *runner, f *fleet.Fleet) time.Duration {
	contract := fleet.ContractFor("residents", fleet.APIKey)
	contract.BurstWorkUnits = 5
	current := f.Nodes[0].ContractInForce("residents")
	answer := f.Nodes[0].PutContract(contract, current.Version)
	if answer.Err != nil || answer.Status >= 300 {
		r.Fatalf("change not accepted: %v %d %s", answer.Err, answer.Status, answer.Body)
	}
	start := time.Now()
	eachNode(f.Nodes, func(node *fleet.Node) {
		for node.ContractInForce("residents").Version <= current.Version && time.Since(start) < fleet.StartTimeout {
			time.Sleep(20 * time.Millisecond)
		}
	})
	return time.Since(start)
}

// measureLeave returns the time from the start of a graceful stop until no other
// node lists the instance as ready.
func measureLeave(f *fleet.Fleet) time.Duration {
	leaving := f.Nodes[len(f.Nodes)-1]
	remaining := f.Nodes[:len(f.Nodes)-1]
	start := time.Now()
	go leaving.Stop(fleet.StartTimeout)
	awaitReadyMembers(remaining, len(remaining), start)
	return time.Since(start)
}

// measureFailures kills a fifth of the nodes at once and returns the time until no
// other node lists them as ready.
func measureFailures(f *fleet.Fleet) time.Duration {
	remaining := f.Nodes[:len(f.Nodes)-1]
	killed := remaining[:len(remaining)/5]
	remaining = remaining[len(remaining)/5:]
	start := time.Now()
	for _, node := range killed {
		node.Kill()
	}
	awaitReadyMembers(remaining, len(remaining), start)
	return time.Since(start)
}

func awaitReadyMembers(nodes []*fleet.Node, count int, start time.Time) {
	eachNode(nodes, func(node *fleet.Node) {
		for node.ReadyMembers() != count && time.Since(start) < fleet.StartTimeout {
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// eachNode runs a task for every node, with two workers per CPU.
func eachNode(nodes []*fleet.Node, task func(node *fleet.Node)) {
	workers := pond.NewPool(2 * runtime.NumCPU())
	for _, node := range nodes {
		workers.Submit(func() {
			task(node)
		})
	}
	workers.StopAndWait()
}

// writeCosts writes the costs of all fleet sizes as CSV.
func (r *runner) writeCosts(costs []cost) {
	var text strings.Builder
	text.WriteString("nodes,cpu-percent,resident-mib,control-bytes-per-second,platform-reads-per-second,writes-per-start,change-ms,leave-ms,fifth-killed-ms\n")
	for _, c := range costs {
		fmt.Fprintf(
			&text, "%d,%.3f,%.2f,%.1f,%.2f,%.2f,%d,%d,%d\n",
			c.nodes, c.cpuPercent, c.residentMiB, c.bytesPerSecond, c.readsPerSecond, c.writesPerNode,
			c.changeTime.Milliseconds(), c.leaveTime.Milliseconds(), c.failureTime.Milliseconds(),
		)
	}
	path := filepath.Join(r.config.Folder, r.name+".csv")
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		r.Fatal(err)
	}
}

// callRates are the rates at which the cost of a call is measured.
var callRates = []float64{100, 200, 400, 800}

// callCost measures the CPU time that nodes spend on a call. It is the slope over
// the call rate, which excludes the CPU time of an idle node.
func callCost(r *runner) []Row {
	services := []fleet.Service{
		{
			Name:        "minutes",
			Instances:   4,
			Slots:       70,
			ServiceTime: 5 * time.Millisecond,
			Downstream:  []lagoonbarrow.ServiceName{"registry"},
		},
		{
			Name:        "registry",
			Instances:   4,
			Slots:       70,
			ServiceTime: 5 * time.Millisecond,
		},
	}
	var rates, shares []float64
	r.measureFleet(false, services, func(f *fleet.Fleet) {
		for _, rate := range callRates {
			before := measureUsage(r, f)
			start := time.Now()
			samples := r.steady(5*time.Second, rate, lookups).run(f)
			after := measureUsage(r, f)
			share := (after.cpu - before.cpu).Seconds() / time.Since(start).Seconds()
			// Each request causes one call to each of the two services.
			calls := 2 * float64(len(samples)) / time.Since(start).Seconds()
			rates = append(rates, calls)
			shares = append(shares, share)
			r.Logf("%.0f calls/s: %.1f %% of a core for all 8 nodes, resident %.1f MiB a node", calls, 100*share, after.resident/8/(1<<20))
		}
	})
	perCall := slope(rates, shares)
	return []Row{
		{
			Measure:  "processor time of the nodes for one call (slope over 200 to 1,600 calls/s)",
			Baseline: "-",
			Result:   fmt.Sprintf("%.0f us", 1e6*perCall),
			Target:   "no target; see CAPACITY.md",
			Met:      true,
		},
	}
}

// slope returns the least-squares slope of y over x.
func slope(x, y []float64) float64 {
	var sumX, sumY float64
	for position := range x {
		sumX += x[position]
		sumY += y[position]
	}
	meanX := sumX / float64(len(x))
	meanY := sumY / float64(len(x))
	var numerator, denominator float64
	for position := range x {
		numerator += (x[position] - meanX) * (y[position] - meanY)
		denominator += (x[position] - meanX) * (x[position] - meanX)
	}
	return numerator / denominator
}
