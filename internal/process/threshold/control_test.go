package threshold

import (
	"testing"
	"time"

	"lagoonbarrow"
)

const testWindow = 100 * time.Millisecond

// runWindows simulates windows with the given numbers of arrivals, spread over all
// deferrable priorities, and of completions, and with the given standing delay.
func runWindows(control *Control, windows, arrivals, completions int, standing time.Duration) {
	for range windows {
		for i := range arrivals {
			control.RecordArrival(lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, uint64(i)))
		}
		for range completions {
			control.RecordRelease()
		}
		control.Sample(standing, false)
		control.Close(Window{
			Length:          testWindow,
			Elapsed:         testWindow,
			Target:          testWindow / 2,
			AddQueued:       func(*[Priorities]float64) {},
			MaxThroughput:   float64(completions),
			SlotTime:        10 * time.Millisecond,
			NonCriticalWork: true,
		})
	}
}

// Guards against a threshold that admits more calls than complete, refuses calls
// without a delay, refuses critical calls, or stays up after the delay has ended.
func TestThresholdFollowsCompletions(t *testing.T) {
	const (
		deferrable = lagoonbarrow.Threshold(64)
		normal     = lagoonbarrow.Threshold(128)
		windows    = 10
	)
	rows := []struct {
		name        string
		arrivals    int
		completions int
		standing    time.Duration
		lowest      lagoonbarrow.Threshold
		highest     lagoonbarrow.Threshold
	}{
		{"no delay", 64, 64, 0, 0, 0},
		{"a delay below the target", 64, 64, testWindow / 4, 0, 0},
		{"half of the calls complete", 128, 64, testWindow, deferrable, normal - 8},
		// The threshold rises by at least one in each window with a delay.
		{"a sixteenth of the calls complete", 128, 8, testWindow, normal - 16, normal + windows},
		{"no calls complete", 128, 0, testWindow, 1, lagoonbarrow.CriticalThreshold},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			control := New(0)
			runWindows(&control, windows, row.arrivals, row.completions, row.standing)
			if got := control.Threshold(); got < row.lowest || got > row.highest {
				t.Fatalf("threshold %d, want %d to %d", got, row.lowest, row.highest)
			}
			runWindows(&control, 20, 1, 64, 0)
			if got := control.Threshold(); got != 0 {
				t.Fatalf("threshold %d after the delay has ended", got)
			}
		})
	}
}
