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

// plainSettings turns nodes into the baseline.
const plainSettings = "[baseline]\nplain = true\nplain-retries = 3\n"

// Config configures a run of measurements.
type Config struct {
	// Binary is the node binary.
	Binary string
	// Folder takes the series and plots.
	Folder string
	// Only is the name of the one measure to run; all when empty.
	Only string
	Seed uint64
	Out  io.Writer
}

// Row is a line of the result table.
type Row struct {
	Measure  string
	Baseline string
	Ours     string
	Target   string
	Met      bool
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

// Run runs the measurements and prints the table.
func Run(config Config) error {
	if err := os.MkdirAll(config.Folder, 0o755); err != nil {
		return errors.Wrap(err, "bench: create folder")
	}
	found := false
	var rows []Row
	for _, current := range measures {
		if config.Only != "" && config.Only != current.name {
			continue
		}
		found = true
		fmt.Fprintf(config.Out, "measuring %s\n", current.name)
		result, err := measured(config, current)
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

// measured runs one measure and turns a fleet's failure into an error.
func measured(config Config, current measure) (rows []Row, err error) {
	r := &runner{
		config: config,
		name:   current.name,
	}
	defer func() {
		r.end()
		if failure := recover(); failure != nil {
			fatal, ours := failure.(fatalError)
			if !ours {
				panic(failure)
			}
			err = errors.Errorf("bench: %s: %s", current.name, fatal.text)
		}
	}()
	return current.run(r), nil
}

func printTable(out io.Writer, rows []Row) {
	fmt.Fprintln(out, "| measure | baseline | ours | target | met |")
	fmt.Fprintln(out, "|---|---|---|---|---|")
	for _, row := range rows {
		met := "no"
		if row.Met {
			met = "yes"
		}
		fmt.Fprintf(out, "| %s | %s | %s | %s | %s |\n", row.Measure, row.Baseline, row.Ours, row.Target, met)
	}
}

// runner is one measure in progress. It implements fleet.TB.
type runner struct {
	config Config
	name   string
	ends   []func()
}

// fatalError ends a measure.
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
func (r *runner) Cleanup(end func()) {
	r.ends = append(r.ends, end)
}

// end stops the fleets that were started.
func (r *runner) end() {
	for position := len(r.ends) - 1; position >= 0; position-- {
		r.ends[position]()
	}
	r.ends = nil
}

// measureFleet starts a fleet, puts a contract in force, runs the load and stops.
func (r *runner) measureFleet(plain bool, services []fleet.Service, during func(f *fleet.Fleet)) {
	settings := ""
	if plain {
		settings = plainSettings
	}
	f := fleet.Start(r, r.config.Binary, settings, services...)
	f.Apply(fleet.ContractFor("residents", fleet.APIKey))
	during(f)
	r.end()
}

// eachVariant measures a chain of four for each variant.
func (r *runner) eachVariant(measure func(variant string, f *fleet.Fleet)) {
	for _, variant := range variants {
		r.measureFleet(variant.plain, chainOf(4), func(f *fleet.Fleet) {
			measure(variant.name, f)
		})
	}
}

// series writes a load's samples as CSV.
func (r *runner) series(variant string, samples []sample) {
	var text strings.Builder
	text.WriteString("kind,at-seconds,took-ms,ok,status,reason,sends\n")
	for _, current := range samples {
		fmt.Fprintf(
			&text, "%s,%.3f,%.3f,%t,%d,%s,%d\n",
			current.kind, current.at.Seconds(), float64(current.took)/float64(time.Millisecond),
			current.ok, current.status, current.reason, current.sends,
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
