package retry

import (
	"testing"
	"time"
)

// Guards against nodes that together send more repeats in some window than allowed.
func TestNoWindowSeesMoreThanTheAllowance(t *testing.T) {
	const (
		nodes    = 16
		ratio    = 0.2
		slack    = 47.0
		requests = 2
		seconds  = 60
		window   = 10
	)
	now := time.Unix(0, 0)
	var budgets []*Budget
	for range nodes {
		budgets = append(budgets, New(Config{
			Bounds: Bounds{
				Ratio:  ratio,
				Slack:  slack,
				Window: window * time.Second,
			},
			Nodes: func() int { return nodes },
			Now:   func() time.Time { return now },
		}))
	}
	var repeats [seconds]int
	for second := range seconds {
		for _, budget := range budgets {
			for range requests {
				budget.Sent("service")
			}
			for budget.Take("service") {
				repeats[second]++
			}
		}
		now = now.Add(time.Second)
	}
	allowed := ratio*nodes*requests*window + slack
	for start := range seconds - window {
		sum := 0
		for _, count := range repeats[start : start+window] {
			sum += count
		}
		if float64(sum) > allowed {
			t.Fatalf("%d repeats from second %d, allowed are %g", sum, start, allowed)
		}
	}
}

// Guards against a budget that never allows anything or doesn't recover.
func TestAllowanceComesBack(t *testing.T) {
	now := time.Unix(0, 0)
	budget := New(Config{
		Bounds: Bounds{
			Slack:  10,
			Window: 10 * time.Second,
		},
		Nodes: func() int { return 1 },
		Now:   func() time.Time { return now },
	})
	count := 0
	for budget.Take("service") {
		count++
	}
	now = now.Add(10 * time.Second)
	if count == 0 || !budget.Take("service") {
		t.Fatalf("%d repeats at first", count)
	}
}
