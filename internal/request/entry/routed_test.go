package entry

import (
	"strconv"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"lagoonbarrow"
	"lagoonbarrow/internal/request/execute"
	"lagoonbarrow/internal/version/routing"
)

// newShedding returns a listener whose reads have met a threshold that refuses all
// of them, and the key of the reads.
func newShedding() (*RoutedListener, classKey) {
	routes := routing.NewRegistry()
	routes.Offer(&lagoonbarrow.Configuration{
		Version: 1,
		Routes: []lagoonbarrow.Route{
			{
				Name:       "read",
				Host:       "one.example",
				Prefix:     "/read/",
				Idempotent: true,
				Importance: lagoonbarrow.ImportanceDeferrable,
				Timeout:    time.Second,
				Objective:  time.Second,
				Shares: []lagoonbarrow.RouteShare{
					{
						Service: "alpha",
						Weight:  1,
					},
				},
			},
		},
	})
	listener := NewRoutedListener(RoutedConfig{
		Headers: lagoonbarrow.ServerHeaders{
			RequestID: "Request-Id",
		},
		Routes:   routes,
		Parent:   func(lagoonbarrow.RequestID) (*execute.Run, bool) { return nil, false },
		Recorder: noEvents{},
	})
	key := classKey{
		class: "read",
	}
	for range 100 {
		listener.thresholds.observe(key, highestThreshold(lagoonbarrow.ImportanceDeferrable))
	}
	return listener, key
}

// Guards against requests that reach a server although their calls would be refused
// below, and against a refusal that doesn't say when to come back.
func TestRequestsBelowTheThresholdAreRefusedAtOnce(t *testing.T) {
	listener, _ := newShedding()
	for i := range probeInterval - 1 {
		var http fasthttp.RequestCtx
		http.Request.SetRequestURI("/read/x")
		http.Request.Header.SetHost("one.example")
		http.Request.Header.Set("Request-Id", strconv.Itoa(i))
		// A request that is not refused has no forwarder to go to.
		listener.serve(&http)
		status := http.Response.StatusCode()
		seconds, err := strconv.ParseFloat(string(http.Response.Header.Peek(fasthttp.HeaderRetryAfter)), 64)
		if status != fasthttp.StatusServiceUnavailable || err != nil || seconds <= 0 || seconds > 1 {
			t.Fatalf("status %d, return after %g s, error %v", status, seconds, err)
		}
	}
}

// Guards against answers that change the threshold although they tell nothing of
// the services below.
func TestThresholdsAreLearnedFromOfferedRequests(t *testing.T) {
	rows := []struct {
		name    string
		offered bool
		want    bool
	}{
		{"refused before a server", false, false},
		{"served without a threshold below", true, true},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			listener, key := newShedding()
			var http fasthttp.RequestCtx
			http.Request.SetRequestURI("/read/x")
			http.Request.Header.SetHost("one.example")
			request, _ := listener.accept(&http, time.Now())
			for range 100 {
				listener.learn(request, nil, &lagoonbarrow.Answer{
					Outcome: lagoonbarrow.OutcomeDone,
					Status:  200,
					Offered: row.offered,
				})
			}
			if got := listener.thresholds.admits(key, 0); got != row.want {
				t.Errorf("admitted %t, want %t", got, row.want)
			}
		})
	}
}
