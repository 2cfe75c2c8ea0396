package routing

import (
	"math"
	"testing"

	"github.com/pkg/errors"

	"lagoonbarrow"
)

func configuration(version lagoonbarrow.ConfigurationVersion, routes ...lagoonbarrow.Route) *lagoonbarrow.Configuration {
	return &lagoonbarrow.Configuration{
		Version: version,
		Routes:  routes,
	}
}

func route(name lagoonbarrow.RouteName, host, prefix string) lagoonbarrow.Route {
	return lagoonbarrow.Route{
		Name:   name,
		Host:   host,
		Prefix: prefix,
		Shares: []lagoonbarrow.RouteShare{{
			Service: "alpha",
			Weight:  1,
		}},
	}
}

// Guards against a match with a shorter prefix or with a route of another host.
func TestFindReturnsLongestPrefix(t *testing.T) {
	registry := NewRegistry()
	registry.Offer(configuration(1,
		route("all", "one.example", "/"),
		route("a", "one.example", "/a/"),
		route("ab", "one.example", "/a/b/"),
		route("two", "two.example", "/a/"),
	))
	rows := []struct {
		host string
		path string
		want lagoonbarrow.RouteName
	}{
		{"one.example", "/", "all"},
		{"one.example", "/a", "all"},
		{"one.example", "/a/", "a"},
		{"one.example", "/a/bc/d", "a"},
		{"one.example", "/a/b/c/d?e=/f/", "ab"},
		{"ONE.example:8080", "/a/b/", "ab"},
		{"two.example", "/a/b/c", "two"},
		{"two.example", "/b/?x=/a/", ""},
		{"three.example", "/a/", ""},
	}
	for _, row := range rows {
		found, err := registry.Find(row.host, row.path)
		if row.want == "" {
			if !errors.Is(err, lagoonbarrow.ErrNotFound) {
				t.Errorf("%s%s: error %v", row.host, row.path, err)
			}
			continue
		}
		if err != nil || found.Name != row.want {
			t.Errorf("%s%s: %v, error %v, want %s", row.host, row.path, found, err, row.want)
		}
	}
}

// Guards against an older configuration that replaces a newer one.
func TestVersionNeverDecreases(t *testing.T) {
	registry := NewRegistry()
	if _, err := registry.Find("one.example", "/"); !errors.Is(err, lagoonbarrow.ErrUnavailable) {
		t.Fatalf("without a configuration: %v", err)
	}
	for _, version := range []lagoonbarrow.ConfigurationVersion{3, 2, 3, 7, 5} {
		registry.Offer(configuration(version))
	}
	if registry.Version() != 7 {
		t.Fatalf("version %d", registry.Version())
	}
}

// Guards against shares that deviate from their weights over few requests.
func TestServiceFollowsTheWeights(t *testing.T) {
	split := route("split", "one.example", "/")
	split.Shares = []lagoonbarrow.RouteShare{
		{
			Service: "alpha",
			Weight:  90,
		},
		{
			Service: "beta",
			Weight:  10,
		},
	}
	for range 50 {
		chosen := newRoute(split, 1)
		const count = 50
		beta := 0
		for range count {
			if chosen.Service() == "beta" {
				beta++
			}
		}
		if math.Abs(float64(beta)/count-0.1) > 0.05 {
			t.Fatalf("%d of %d requests", beta, count)
		}
	}
}
