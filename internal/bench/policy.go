package bench

import (
	"fmt"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
)

var (
	lookups = []requestKind{
		{
			name:   "lookup",
			weight: 1,
			method: "GET",
		},
	}
	// lookupsAndArchives has one long request to five short ones.
	lookupsAndArchives = []requestKind{
		{
			name:   "lookup",
			weight: 10,
			method: "GET",
		},
		{
			name:   "archive",
			weight: 2,
			method: "GET",
		},
	}
	// filingsAndReads has one filing to three lookups and six browsing requests.
	filingsAndReads = []requestKind{
		{
			name:    "filing",
			weight:  1,
			method:  "POST",
			withKey: true,
		},
		{
			name:   "lookup",
			weight: 3,
			method: "GET",
		},
		{
			name:   "browse",
			weight: 6,
			method: "GET",
		},
	}
)

// warmUp is the time before a measurement in which limits grow from their values
// at cold start.
const warmUp = 4 * time.Second

// serviceChain returns services of which each calls the next. The last one
// represents the registry and has fewer slots than the others.
func serviceChain(depth int) []fleet.Service {
	services := make([]fleet.Service, depth)
	for position := range services {
		services[position] = fleet.Service{
			Name:        fmt.Sprintf("hop%d", position+1),
			Instances:   4,
			Slots:       70,
			ServiceTime: 2 * time.Millisecond,
		}
		if position+1 < depth {
			services[position].Downstream = []lagoonbarrow.ServiceName{
				lagoonbarrow.ServiceName(fmt.Sprintf("hop%d", position+2)),
			}
		}
	}
	last := &services[depth-1]
	last.Slots = registrySlots
	last.ServiceTime = registryTime
	return services
}

const (
	// registrySlots is the size of the co-operative's registry.
	registrySlots = 15
	// registryTime is long enough for one machine to offer several times the
	// capacity of the registry.
	registryTime = 150 * time.Millisecond
	// registryCapacity is the calls per second that four registry instances complete.
	registryCapacity = 4 * registrySlots * float64(time.Second) / float64(registryTime)
)

// variants are the baseline and the policy, which are measured in the same run.
var variants = []struct {
	name  string
	plain bool
}{
	{
		name:  "baseline",
		plain: true,
	},
	{
		name: "ours",
	},
}

// goodputAtOverload measures a chain of four services at twice the capacity, with
// callers that send failed requests again.
func goodputAtOverload(r *runner) []Row {
	results := map[string]float64{}
	r.eachVariant(func(variant string, f *fleet.Fleet) {
		duration := warmUp + 10*time.Second
		offered := r.steady(duration, 2*registryCapacity, lookups)
		offered.resends = 3
		offered.lateAfter = time.Second
		samples := offered.run(f)
		r.writeSeries(variant, samples)
		r.plotGoodput(variant, samples, duration)
		results[variant] = goodput(samples, warmUp, duration) / registryCapacity
		r.Logf("%s: the registry completed %d runs in %s", variant, completed(f.NodesOf("hop4")), duration)
	})
	return []Row{
		{
			Measure:  "goodput of whole requests at 2x capacity, chain of 4",
			Baseline: fmt.Sprintf("%.0f %%", 100*results["baseline"]),
			Result:   fmt.Sprintf("%.0f %%", 100*results["ours"]),
			Target:   ">= 90 % of capacity",
			Met:      results["ours"] >= 0.9,
		},
	}
}

// Phases of the recovery measure.
const (
	beforeSurge = warmUp + 4*time.Second
	surge       = 10 * time.Second
	afterSurge  = 15 * time.Second
	// recoveryWindow is the length of the windows in which results are compared.
	recoveryWindow = 500 * time.Millisecond
)

// recovery measures the time from the end of a surge until requests succeed as they
// did before it.
func recovery(r *runner) []Row {
	results := map[string]time.Duration{}
	r.eachVariant(func(variant string, f *fleet.Fleet) {
		samples := load{
			phases: []phase{
				{
					duration:  beforeSurge,
					perSecond: 0.6 * registryCapacity,
				},
				{
					duration:  surge,
					perSecond: 3 * registryCapacity,
				},
				{
					duration:  afterSurge,
					perSecond: 0.6 * registryCapacity,
				},
			},
			kinds:     lookups,
			resends:   3,
			lateAfter: time.Second,
			seed:      r.config.Seed,
		}.run(f)
		r.writeSeries(variant, samples)
		r.plotGoodput(variant, samples, beforeSurge+surge+afterSurge)
		results[variant] = recoveryTime(samples)
	})
	return []Row{
		{
			Measure:  "time to recover after a 10 s surge to 3x capacity",
			Baseline: results["baseline"].String(),
			Result:   results["ours"].String(),
			Target:   "<= 2 s to 95 % of normal goodput",
			Met:      results["ours"] <= 2*time.Second,
		},
	}
}

// recoveryTime returns the time after the surge from which the share of successful
// requests stays at 95 % of its value before the surge, or above.
func recoveryTime(samples []sample) time.Duration {
	normal := successRatio(arrivedBetween(samples, "", warmUp, beforeSurge))
	surgeEnd := beforeSurge + surge
	recovered := time.Duration(0)
	for from := time.Duration(0); from+recoveryWindow <= afterSurge; from += recoveryWindow {
		window := arrivedBetween(samples, "", surgeEnd+from, surgeEnd+from+recoveryWindow)
		if successRatio(window) < 0.95*normal {
			recovered = from + recoveryWindow
		}
	}
	return recovered
}

// tails holds the 99th percentiles of one variant without and with a disturbance.
type tails struct {
	undisturbed time.Duration
	disturbed   time.Duration
}

// ratio returns the disturbed tail divided by the undisturbed one.
func (t tails) ratio() float64 {
	return float64(t.disturbed) / float64(t.undisturbed)
}

func (t tails) text() string {
	return fmt.Sprintf("%.2fx (%s)", t.ratio(), milliseconds(t.disturbed))
}

// compareTails measures the tail latency of lookups for each variant, without and
// with a disturbance, and returns a row with the ratios.
func (r *runner) compareTails(title string, services []fleet.Service, run func(f *fleet.Fleet, disturbed bool) []sample) []Row {
	byVariant := map[string]*tails{}
	for _, variant := range variants {
		current := &tails{}
		byVariant[variant.name] = current
		for _, disturbed := range []bool{false, true} {
			name := fmt.Sprintf("%s-disturbed-%t", variant.name, disturbed)
			r.measureFleet(variant.plain, services, func(f *fleet.Fleet) {
				samples := run(f, disturbed)
				r.writeSeries(name, samples)
				lookupSamples := arrivedBetween(samples, "lookup", warmUp, tailDuration)
				tail := percentile(lookupSamples, 99)
				r.Logf("%s: p99 %s, %.2f %% ok", name, tail, 100*successRatio(lookupSamples))
				if disturbed {
					current.disturbed = tail
				} else {
					current.undisturbed = tail
				}
			})
		}
	}
	ours := byVariant["ours"]
	return []Row{
		{
			Measure:  title,
			Baseline: byVariant["baseline"].text(),
			Result:   ours.text(),
			Target:   "<= 1.5x",
			Met:      ours.ratio() <= 1.5,
		},
	}
}

// tailDuration is the length of a load whose tail latency is measured after warmUp.
const tailDuration = warmUp + 8*time.Second

// headOfLine measures short requests with and without concurrent long requests.
func headOfLine(r *runner) []Row {
	return r.compareTails(
		"p99 of short work beside long work, against its p99 without",
		servicesWithLongWork(),
		func(f *fleet.Fleet, disturbed bool) []sample {
			kinds := lookups
			rate := 400.0
			if disturbed {
				kinds = lookupsAndArchives
				rate = 480
			}
			return r.steady(tailDuration, rate, kinds).run(f)
		},
	)
}

// servicesWithLongWork returns a service with 4 x 10 slots. 80 long requests per
// second of 500 ms need all 40 slots, and the short requests need another 8.
func servicesWithLongWork() []fleet.Service {
	return []fleet.Service{
		{
			Name:            "minutes",
			Instances:       4,
			Slots:           10,
			ServiceTime:     20 * time.Millisecond,
			LongServiceTime: 500 * time.Millisecond,
		},
	}
}

// crest measures the success of requests while the load rises from 20 % to 90 % of
// the capacity within a second.
func crest(r *runner) []Row {
	results := map[string]float64{}
	p99 := map[string]time.Duration{}
	lowPhase := warmUp + 2*time.Second
	r.eachVariant(func(variant string, f *fleet.Fleet) {
		samples := load{
			phases: []phase{
				{
					duration:  lowPhase,
					perSecond: 0.2 * registryCapacity,
				},
				{
					duration:  time.Second,
					perSecond: 0.5 * registryCapacity,
				},
				{
					duration:  5 * time.Second,
					perSecond: 0.9 * registryCapacity,
				},
			},
			kinds:     filingsAndReads,
			lateAfter: time.Second,
			seed:      r.config.Seed,
		}.run(f)
		r.writeSeries(variant, samples)
		afterLow := arrivedBetween(samples, "", lowPhase, lowPhase+6*time.Second)
		results[variant] = successRatio(afterLow)
		p99[variant] = percentile(afterLow, 99)
	})
	return []Row{
		{
			Measure:  "requests served in time at the crest of a swing from 20 % to 90 % of capacity",
			Baseline: fmt.Sprintf("%.1f %%, p99 %s", 100*results["baseline"], milliseconds(p99["baseline"])),
			Result:   fmt.Sprintf("%.1f %%, p99 %s", 100*results["ours"], milliseconds(p99["ours"])),
			Target:   "not below the baseline",
			Met:      results["ours"] >= results["baseline"],
		},
	}
}

// straggler measures the tail latency while one of four backend servers is ten times
// slower.
func straggler(r *runner) []Row {
	return r.compareTails(
		"p99 with one straggler in four, against the p99 without",
		stragglerServices(),
		func(f *fleet.Fleet, disturbed bool) []sample {
			if disturbed {
				f.NodesOf("registry")[1].Backend.UpdateSwitches(func(s *backend.Switches) { s.Slow = 10 })
			}
			return r.steady(tailDuration, 300, lookups).run(f)
		},
	)
}

func stragglerServices() []fleet.Service {
	return []fleet.Service{
		{
			Name:        "minutes",
			Instances:   2,
			Slots:       70,
			ServiceTime: 2 * time.Millisecond,
			Downstream:  []lagoonbarrow.ServiceName{"registry"},
		},
		{
			Name:        "registry",
			Instances:   4,
			Slots:       15,
			ServiceTime: 20 * time.Millisecond,
		},
	}
}

// filings counts the filings that fail or are late at twice the capacity.
func filings(r *runner) []Row {
	counts := map[string]int{}
	browsed := map[string]int{}
	r.eachVariant(func(variant string, f *fleet.Fleet) {
		duration := warmUp + 8*time.Second
		offered := r.steady(duration, 2*registryCapacity, filingsAndReads)
		offered.lateAfter = 3 * time.Second
		samples := offered.run(f)
		r.writeSeries(variant, samples)
		for _, s := range arrivedBetween(samples, "filing", 0, duration) {
			if !s.ok {
				counts[variant]++
			}
		}
		for _, s := range arrivedBetween(samples, "browse", 0, duration) {
			if s.ok {
				browsed[variant]++
			}
		}
		r.Logf("%s: %d filings, %d failed, %d browsing requests served", variant, len(arrivedBetween(samples, "filing", 0, duration)), counts[variant], browsed[variant])
	})
	return []Row{
		{
			Measure:  "filings refused or late at 2x overload while browsing was served",
			Baseline: fmt.Sprint(counts["baseline"]),
			Result:   fmt.Sprint(counts["ours"]),
			Target:   "0",
			Met:      counts["ours"] == 0,
		},
	}
}

// attempts counts the runs of one request at the deepest service while that service
// fails.
func attempts(r *runner) []Row {
	var rows []Row
	for _, depth := range []int{4, 24} {
		most := map[string]int{}
		for _, variant := range variants {
			services := serviceChain(depth)
			for position := range services {
				services[position].Instances = 2
				if depth > 4 {
					services[position].Instances = 1
				}
			}
			if variant.plain && depth > 4 {
				// Four attempts at each of 24 hops would cause 4^23 attempts at the deepest.
				continue
			}
			r.measureFleet(variant.plain, services, func(f *fleet.Fleet) {
				deepest := f.NodesOf(fmt.Sprintf("hop%d", depth))
				for _, node := range deepest {
					node.Backend.UpdateSwitches(func(s *backend.Switches) { s.Cut = 1 })
				}
				r.steady(time.Second, 10, lookups).run(f)
				time.Sleep(4 * time.Second)
				most[variant.name] = mostRuns(deepest)
			})
		}
		baseline := fmt.Sprint(most["baseline"])
		if depth > 4 {
			baseline = "4^23 by calculation"
		}
		rows = append(rows, Row{
			Measure:  fmt.Sprintf("attempts at the deepest service for one request, depth %d", depth),
			Baseline: baseline,
			Result:   fmt.Sprint(most["ours"]),
			Target:   "<= 1 + 3 tokens",
			Met:      most["ours"] <= 4,
		})
	}
	return rows
}

// completed counts the runs that the backend servers finished.
func completed(nodes []*fleet.Node) int64 {
	sum := int64(0)
	for _, node := range nodes {
		sum += node.Backend.Counts().Completed
	}
	return sum
}

// mostRuns returns the largest number of runs of one path over all nodes of a service.
func mostRuns(nodes []*fleet.Node) int {
	counts := map[string]int{}
	most := 0
	for _, node := range nodes {
		for _, run := range node.Backend.Runs() {
			counts[run.Path]++
			most = max(most, counts[run.Path])
		}
	}
	return most
}
