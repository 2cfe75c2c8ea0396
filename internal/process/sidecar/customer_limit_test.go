package sidecar

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/platform/standin"
)

// sendEvenly sends requests with a key to members in turn for a time, and counts the statuses.
func sendEvenly(t *testing.T, members []*member, key string, perSecond int, duration time.Duration) map[int]int {
	t.Helper()
	results := make(chan result)
	sent := 0
	interval := time.Second / time.Duration(perSecond)
	for next := time.Now(); duration > 0; duration -= interval {
		m := members[sent%len(members)]
		id := fmt.Sprintf("%s-%d-%d", key, next.UnixNano(), sent)
		go func() { results <- m.sendWithKey(http.MethodGet, "/read/x", id, key) }()
		sent++
		next = next.Add(interval)
		time.Sleep(time.Until(next))
	}
	statuses := map[int]int{}
	for range sent {
		r := <-results
		if r.err != nil {
			t.Error(r.err)
		}
		statuses[r.status]++
		if seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64); r.status == http.StatusTooManyRequests && (err != nil || seconds <= 0) {
			t.Errorf("refused with Retry-After %q", r.header.Get("Retry-After"))
		}
	}
	return statuses
}

// Guards against a rate that each node admits for itself, against one that is admitted again
// or refused for long when its keeper stops, and against limits for customers without one.
func TestRateOfACustomerOverThreeNodes(t *testing.T) {
	const rate = 20
	const burst = 10
	f := newFleet(t, 0, nil)
	f.customers = []standin.Customer{
		{
			Name:          "limited",
			Key:           "limited-key",
			RatePerSecond: rate,
			Burst:         burst,
		},
		{
			Name: "free",
			Key:  "free-key",
		},
	}
	f.configure("alpha")
	f.waitForVersion()
	f.waitFor("the customer is served", func() bool {
		return f.members[0].sendWithKey(http.MethodGet, "/read/x", "first", "limited-key").status == http.StatusOK
	})
	if statuses := sendEvenly(t, f.members, "free-key", 200, time.Second); len(statuses) != 1 || statuses[http.StatusOK] == 0 {
		t.Errorf("without a limit: %v", statuses)
	}
	const seconds = 3
	over := sendEvenly(t, f.members, "limited-key", 8*rate, seconds*time.Second)
	if served := over[http.StatusOK]; float64(served) > (rate*seconds+burst)*1.1+20 || served < rate*seconds*3/4 {
		t.Errorf("8 times the rate for %d s: %v", seconds, over)
	}
	time.Sleep(time.Second)
	within := sendEvenly(t, f.members, "limited-key", rate/2, 2*time.Second)
	if len(within) != 1 {
		t.Errorf("half of the rate: %v", within)
	}
	t.Log(over, within)
}

// Guards against a planned stop and a failure of the keeper that refuse a customer for long,
// and against a rate that two keepers grant.
func TestKeeperOfACustomerStopsAndFails(t *testing.T) {
	const rate = 40
	const burst = 10
	f := newFleet(t, 0, nil)
	f.customers = []standin.Customer{
		{
			Name:          "limited",
			Key:           "limited-key",
			RatePerSecond: rate,
			Burst:         burst,
		},
	}
	f.configure("alpha")
	f.waitForVersion()
	f.waitFor("the customer is served", func() bool {
		return f.members[2].sendWithKey(http.MethodGet, "/read/x", "first", "limited-key").status == http.StatusOK
	})
	keeper := f.keeperOf("limited")
	others := f.others(keeper)
	const seconds = 4
	stopped := make(chan struct{})
	time.AfterFunc(time.Second, func() {
		defer close(stopped)
		keeper.sidecar.Stop()
	})
	within := sendEvenly(t, others, "limited-key", rate/2, seconds*time.Second)
	t.Log("stop of the keeper:", within)
	if refused := within[http.StatusTooManyRequests] + within[http.StatusServiceUnavailable]; refused > rate/2 {
		t.Errorf("the stop of the keeper: %v", within)
	}
	<-stopped
	f.waitFor("the stopped node has left", func() bool {
		return slices.ContainsFunc(others[0].sidecar.directory.All(), func(instance lagoonbarrow.Instance) bool {
			return instance.ID == keeper.sidecar.settings.Instance && instance.State == lagoonbarrow.StateLeft
		})
	})
	f.waitFor("another keeper serves", func() bool {
		return others[0].sidecar.customerLimits.Keeper("limited") != keeper.sidecar.settings.Instance
	})
	over := sendEvenly(t, others, "limited-key", 8*rate, seconds*time.Second)
	t.Log("after the stop, 8 times the rate:", over)
	if served := over[http.StatusOK]; float64(served) > (rate*seconds+burst)*1.1+20 || served < rate*seconds/3 {
		t.Errorf("after the stop of the keeper, 8 times the rate: %v", over)
	}
}

// Guards against a planned stop that releases the votes of the keeper only as other nodes can't
// connect to it any more: they then wait for the votes to end, and refuse customers meanwhile.
func TestStoppingKeeperIsReplacedBeforeItLeaves(t *testing.T) {
	f := newFleet(t, 0, nil)
	f.customers = []standin.Customer{
		{
			Name:          "limited",
			Key:           "limited-key",
			RatePerSecond: 40,
			Burst:         10,
		},
	}
	f.configure("alpha")
	f.waitForVersion()
	f.waitFor("the customer is served", func() bool {
		return f.members[2].sendWithKey(http.MethodGet, "/read/x", "first", "limited-key").status == http.StatusOK
	})
	keeper := f.keeperOf("limited")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		keeper.sidecar.Stop()
	}()
	for _, other := range f.others(keeper) {
		f.waitFor("another keeper is used", func() bool {
			return other.sidecar.customerLimits.Keeper("limited") != keeper.sidecar.settings.Instance
		})
	}
	if keeper.sidecar.leaving.Load() {
		t.Error("the keeper refused calls of other nodes before they used another one")
	}
	<-stopped
}

// keeperOf returns the member that keeps the account of a customer.
func (f *fleet) keeperOf(customer lagoonbarrow.CustomerID) *member {
	id := f.members[2].sidecar.customerLimits.Keeper(customer)
	for _, m := range f.members {
		if m.sidecar.settings.Instance == id {
			return m
		}
	}
	f.t.Fatalf("no member %q", id)
	return nil
}

// others returns the members except one.
func (f *fleet) others(except *member) []*member {
	return slices.DeleteFunc(slices.Clone(f.members), func(m *member) bool { return m == except })
}
