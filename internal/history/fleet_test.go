// Package history tests the guarantees to users. It runs real node processes with
// stand-ins, injects faults and checks the recorded history.
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
	dir, err := os.MkdirTemp("", "history")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "lagoonbarrow")
	if output, err := exec.Command("go", "build", "-o", binary, "lagoonbarrow/cmd/lagoonbarrow").CombinedOutput(); err != nil {
		fmt.Printf("build node: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// seeds returns the seed in LAGOONBARROW_SEED if it is set. Otherwise it returns the
// seeds from 1 to LAGOONBARROW_SEEDS, or to count if that is not set either.
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
		number, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		count = number
	}
	list := make([]uint64, count)
	for i := range list {
		list[i] = uint64(i + 1)
	}
	return list
}

// forSeeds runs the test as a sub-test for each seed.
func forSeeds(t *testing.T, count int, test func(t *testing.T, random *rand.Rand)) {
	t.Helper()
	for _, seed := range seeds(t, count) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Logf("repeat with LAGOONBARROW_SEED=%d go test -count=1 -run '%s' ./internal/history", seed, t.Name())
			test(t, rand.New(rand.NewPCG(seed, seed)))
		})
	}
}

// testFleet adds the load and the checks of the tests to a fleet.
type testFleet struct {
	*fleet.Fleet
	t *testing.T
}

func startFleet(t *testing.T, extraSettings string, services ...fleet.Service) *testFleet {
	t.Helper()
	return &testFleet{
		Fleet: fleet.Start(t, binary, extraSettings, services...),
		t:     t,
	}
}
