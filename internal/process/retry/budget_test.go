package retry

import (
	"testing"
	"time"

	"lagoonbarrow"
)

const (
	testWindow = 10 * time.Second
	testSlack  = 47.0
	testRatio  = 0.2
)

// fakeClock is a clock that tests advance.
type fakeClock struct {
	now time.Time
}

func newBudget(instances int) (*Budget, *fakeClock) {
	c := &fakeClock{
		now: time.Unix(0, 0),
	}
	return New(Config{
		Bounds: Bounds{
			Ratio:  testRatio,
			Slack:  testSlack,
			Window: testWindow,
		},
		Instances: func() int { return instances },
		Now:       func() time.Time { return c.now },
	}), c
}

func drain(budget *Budget, importance lagoonbarrow.Importance) int {
	count := 0
	for budget.Spend(importance) {
		count++
	}
	return count
}

// Guards against instances that together allow more repeats in a window than the
// bounds, for several distributions of the demand over time.
func TestNoWindowSeesMoreThanTheAllowance(t *testing.T) {
	const (
		instances = 4
		requests  = 8
		seconds   = 60
		window    = int(testWindow / time.Second)
	)
	rows := []struct {
		name string
		// demanding reports whether repeats are requested in a second.
		demanding func(second int) bool
	}{
		{"always", func(int) bool { return true }},
		{"after a pause", func(second int) bool { return second%25 > 20 }},
		{"at once", func(second int) bool { return second == 30 || second == 39 }},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var budgets []*Budget
			var clocks []*fakeClock
			for range instances {
				budget, c := newBudget(instances)
				budgets = append(budgets, budget)
				clocks = append(clocks, c)
			}
			var repeats [seconds]int
			for second := range seconds {
				for i, budget := range budgets {
					for range requests {
						budget.RecordRequest()
					}
					if row.demanding(second) {
						repeats[second] += drain(budget, lagoonbarrow.ImportanceCritical)
					}
					clocks[i].now = clocks[i].now.Add(time.Second)
				}
			}
			allowed := testRatio*instances*requests*float64(window) + testSlack
			most := 0
			for start := range seconds - window {
				sum := 0
				for _, count := range repeats[start : start+window] {
					sum += count
				}
				most = max(most, sum)
			}
			if float64(most) > allowed || float64(most) < allowed/4 {
				t.Fatalf("%d repeats in the worst window, %g are allowed", most, allowed)
			}
		})
	}
}

// Guards against reads that use up the repeats which writes need. Clients repeat
// their reads, but not a write that has run and failed.
func TestImportantCallsHaveAReserve(t *testing.T) {
	rows := []struct {
		importance lagoonbarrow.Importance
		minRepeats int
	}{
		{lagoonbarrow.ImportanceDeferrable, 4},
		{lagoonbarrow.ImportanceNormal, 1},
		{lagoonbarrow.ImportanceCritical, 2},
	}
	budget, c := newBudget(2)
	c.now = c.now.Add(10 * testWindow)
	for _, row := range rows {
		if got := drain(budget, row.importance); got < row.minRepeats {
			t.Errorf("importance %d: %d repeats are left, want at least %d", row.importance, got, row.minRepeats)
		}
	}
}

// Guards against a process that starts with repeats which the previous process has used.
func TestBudgetIsEmptyAtTheStartAndRefills(t *testing.T) {
	budget, c := newBudget(1)
	if budget.Spend(lagoonbarrow.ImportanceCritical) {
		t.Error("a new budget allows a repeat")
	}
	c.now = c.now.Add(testWindow)
	if !budget.Spend(lagoonbarrow.ImportanceCritical) {
		t.Error("a refilled budget allows no repeat")
	}
	unknown, c := newBudget(0)
	c.now = c.now.Add(testWindow)
	if unknown.Spend(lagoonbarrow.ImportanceCritical) {
		t.Error("a repeat is allowed while the number of instances is unknown")
	}
}
