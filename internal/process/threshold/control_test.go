package threshold

import (
	"testing"
	"time"

	"lagoonbarrow"
)

const testWindow = 100 * time.Millisecond

// play ends windows in each of which calls of all deferrable priorities arrive and so
// many end, with a standing delay.
func play(control *Control, windows, arrivals, ends int, standing time.Duration) {
	for range windows {
		for i := range arrivals {
			control.Arrived(lagoonbarrow.NewPriority(lagoonbarrow.ImportanceDeferrable, uint64(i)))
		}
		for range ends {
			control.Freed()
		}
		control.Sample(standing, false)
		control.Close(Window{
			Length:    testWindow,
			Elapsed:   testWindow,
			Target:    testWindow / 2,
			AddQueued: func(*[Priorities]float64) {},
			Potential: float64(ends),
			Hold:      10 * time.Millisecond,
			LowerBusy: true,
		})
	}
}

// Guards against a threshold that admits more than ends, refuses without a delay,
// refuses critical work, or stays when the delay is gone.
func TestThresholdAdmitsWhatEnds(t *testing.T) {
	const (
		deferrable = lagoonbarrow.Threshold(64)
		normal     = lagoonbarrow.Threshold(128)
		windows    = 10
	)
	rows := []struct {
		name     string
		arrivals int
		ends     int
		standing time.Duration
		least    lagoonbarrow.Threshold
		most     lagoonbarrow.Threshold
	}{
		{"no delay", 64, 64, 0, 0, 0},
		{"a delay below the target", 64, 64, testWindow / 4, 0, 0},
		{"half of the calls end", 128, 64, testWindow, deferrable, normal - 8},
		// While the delay goes on, the threshold rises by one a window at least.
		{"a sixteenth of the calls ends", 128, 8, testWindow, normal - 16, normal + windows},
		{"few calls end", 128, 0, testWindow, 1, lagoonbarrow.CriticalThreshold},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			control := New(0)
			play(&control, windows, row.arrivals, row.ends, row.standing)
			if got := control.Threshold(); got < row.least || got > row.most {
				t.Fatalf("threshold %d, want %d to %d", got, row.least, row.most)
			}
			play(&control, 20, 1, 64, 0)
			if got := control.Threshold(); got != 0 {
				t.Fatalf("threshold %d after the delay has gone", got)
			}
		})
	}
}
