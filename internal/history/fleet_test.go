// Package history proves the promises to users: real node processes run with
// stand-ins, faults are injected, and the recorded history is checked.
package history

import (
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"

	"lagoonbarrow/internal/standin/fleet"
)

// binary is the node binary that TestMain builds.
var binary string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "history")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(folder)
	binary = filepath.Join(folder, "lagoonbarrow")
	if output, err := exec.Command("go", "build", "-o", binary, "lagoonbarrow/cmd/lagoonbarrow").CombinedOutput(); err != nil {
		fmt.Printf("build node: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// seeds returns the seeds of this run: LAGOONBARROW_SEED alone if set, else
// LAGOONBARROW_SEEDS many, else the given number.
func seeds(t *testing.T, count int) []uint64 {
	t.Helper()
	if text := os.Getenv("LAGOONBARROW_SEED"); text != "" {
		seed, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		return []uint64{seed}
	}
	if text := os.Getenv("LAGOONBARROW_SEEDS"); text != "" {
		wanted, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = wanted
	}
	list := make([]uint64, count)
	for position := range list {
		list[position] = uint64(position + 1)
	}
	return list
}

// forSeeds runs the test once for each seed.
func forSeeds(t *testing.T, count int, test func(t *testing.T, random *rand.Rand)) {
	t.Helper()
	for _, seed := range seeds(t, count) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Logf("repeat with LAGOONBARROW_SEED=%d go test -count=1 -run '%s' ./internal/history", seed, t.Name())
			test(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

// testFleet is a fleet with the checks of one test.
type testFleet struct {
	*fleet.Fleet
	t *testing.T
}

func startFleet(t *testing.T, extra string, services ...fleet.Service) *testFleet {
	t.Helper()
	return &testFleet{
		Fleet: fleet.Start(t, binary, extra, services...),
		t:     t,
	}
}
