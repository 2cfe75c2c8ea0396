package bench

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lagoonbarrow/internal/standin/fleet"
)

// plainSettings makes nodes run as the baseline.
const plainSettings = "[baseline]\nplain = true\nplain-retries = 3\n"

// Config configures a run of measurements.
type Config struct {
	// Binary is the node binary.
	Binary string
	// Folder is the directory for series and plots.
	Folder string
	// Only is the name of a single measure to run. If empty, all run.
	Only string
	// Seed is the seed of all random numbers of the measures.
	Seed uint64
	// Out receives the progress and the result table.
	Out io.Writer
}

// Row is a line of the result table.
type Row struct {
	Measure  string
	Baseline string
	// Result is printed in the column "ours".
	Result string
	Target string
	Met    bool
}

// measure is a named measurement.
type measure struct {
	name string
	run  func(r *runner) []Row
}

var measures = []measure{
	{
		name: "head-of-line",
		run:  headOfLine,
	},
	{
		name: "recovery",
		run:  recovery,
	},
	{
		name: "goodput",
		run:  goodputAtOverload,
	},
	{
		name: "crest",
		run:  crest,
	},
	{
		name: "attempts",
		run:  attempts,
	},
	{
		name: "straggler",
		run:  straggler,
	},
	{
		name: "filings",
		run:  filings,
	},
	{
		name: "added-time",
		run:  addedTime,
	},
	{
		name: "contract-change",
		run:  contractChange,
	},
	{
		name: "control-cost",
		run:  controlCost,
	},
	{
		name: "table-cost",
		run:  tableCost,
	},
	{
		name: "call-cost",
		run:  callCost,
	},
	{
		name: "sidecar-cost",
		run:  sidecarCost,
	},
}

// Run runs the measurements and prints the result table.
func Run(config Config) error {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return errors.Wrap(err, "bench: create folder")
	}
	found := false
	var rows []Row
	for _, m := range measures {
		if config.Only != "" && config.Only != m.name {
			continue
		}
		found = true
		fmt.Fprintf(config.Out, "measuring %s\n", m.name)
		result, err := runMeasure(config, m)
		if err != nil {
			return err
		}
		rows = append(rows, result...)
	}
	if !found {
		return errors.Errorf("bench: no measure is named %q", config.Only)
	}
	printTable(config.Out, rows)
	return nil
}

// runMeasure runs one measure and returns a call of Fatal or Fatalf as an error.
func runMeasure(config Config, m measure) (rows []Row, err error) {
	r := &runner{
		config: config,
		name:   m.name,
	}
	defer func() {
		r.cleanUp()
		if failure := recover(); failure != nil {
			fatal, ok := failure.(fatalError)
			if !ok {
				panic(failure)
			}
			err = errors.Errorf("bench: %s: %s", m.name, fatal.text)
		}
	}()
	return m.run(r), nil
}

func printTable(out io.Writer, rows []Row) {
	fmt.Fprintln(out, "| measure | baseline | ours | target | met |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, row := range rows {
		met := "no"
		if row.Met {
			met = "yes"
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", row.Measure, row.Baseline, row.Result, row.Target, met)
	}
}

// runner runs one measure. It implements fleet.TB.
type runner struct {
	config Config
	name   string
	// cleanups run in reverse order when a fleet or the measure ends.
	cleanups []func()
}

// fatalError is the panic value with which Fatal and Fatalf end a measure.
type fatalError struct {
	text string
}

// Helper implements fleet.TB.
func (r *runner) Helper() {}

// Logf implements fleet.TB.
func (r *runner) Logf(format string, arguments ...any) {
	fmt.Fprintf(r.config.Out, "  "+format+"\n", arguments...)
}

// Fatal implements fleet.TB.
func (r *runner) Fatal(arguments ...any) {
	panic(fatalError{
		text: fmt.Sprint(arguments...),
	})
}

// Fatalf implements fleet.TB.
func (r *runner) Fatalf(format string, arguments ...any) {
	panic(fatalError{
		text: fmt.Sprintf(format, arguments...),
	})
}

// TempDir implements fleet.TB.
func (r *runner) TempDir() string {
	folder, err := os.MkdirTemp("", "bench")
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() {
		_ = os.RemoveAll(folder)
	})
	return folder
}

// Cleanup implements fleet.TB.
func (r *runner) Cleanup(cleanup func()) {
	r.cleanups = append(r.cleanups, cleanup)
}

// cleanUp runs the registered cleanups, which stop the started fleets.
func (r *runner) cleanUp() {
	for position := len(r.cleanups) - 1; position >= 0; position-- {
		r.cleanups[position]()
	}
	r.cleanups = nil
}

// measureFleet starts a fleet, puts a contract in force, calls during and stops the
// fleet.
func (r *runner) measureFleet(plain bool, services []fleet.Service, during func(f *fleet.Fleet)) {
	settings := ""
	if plain {
		settings = plainSettings
	}
	f := fleet.Start(r, r.config.Binary, settings, services...)
	f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
	during(f)
	r.cleanUp()
}

// eachVariant calls measure with a chain of four services for each variant.
func (r *runner) eachVariant(measure func(variant string, f *fleet.Fleet)) {
	for _, variant := range variants {
		r.measureFleet(variant.plain, serviceChain(4), func(f *fleet.Fleet) {
			measure(variant.name, f)
		})
	}
}

// writeSeries writes the samples of a load as CSV.
func (r *runner) writeSeries(variant string, samples []sample) {
	var text strings.Builder
	text.WriteString("kind,at-seconds,took-ms,ok,status,reason,sends\n")
	for _, s := range samples {
		fmt.Fprintf(
			&text, "%s,%.3f,%.3f,%t,%d,%s,%d\n",
			s.kind, s.arrival.Seconds(), float64(s.latency)/float64(time.Millisecond),
			s.ok, s.status, s.reason, s.sends,
		)
	}
	path := filepath.Join(r.config.Folder, r.name+"-"+variant+".csv")
	if err := os.WriteFile(path, []byte(text.String()), 0o644); err != nil {
		r.Fatal(err)
	}
}

func milliseconds(duration time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(duration)/float64(time.Millisecond))
}
