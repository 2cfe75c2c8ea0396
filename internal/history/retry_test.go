package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/backend"
	"lagoonbarrow/internal/standin/fleet"
)

// lookupTokens is the number of retry tokens of a look-up under fleet.ContractFor.
const lookupTokens = 3

// chain returns depth services, each of which calls the next.
func chain(depth, instances int, service fleet.Service) []fleet.Service {
	services := make([]fleet.Service, depth)
	for i := range services {
		services[i] = service
		services[i].Name = fmt.Sprintf("hop%d", i+1)
		services[i].Instances = instances
		if i+1 < depth {
			services[i].Downstream = []lagoonbarrow.ServiceName{
				lagoonbarrow.ServiceName(fmt.Sprintf("hop%d", i+2)),
			}
		}
	}
	return services
}

// failures are the ways in which the deepest service fails.
var failures = []struct {
	name   string
	change func(*backend.Switches)
}{
	{
		name:   "answers 503 without an outcome",
		change: func(s *backend.Switches) { s.Plain503 = true },
	},
	{
		name:   "answers 500",
		change: func(s *backend.Switches) { s.Fail = 1 },
	},
	{
		name:   "cuts its answers",
		change: func(s *backend.Switches) { s.Cut = 1 },
	},
	{
		name:   "refuses as not run",
		change: func(s *backend.Switches) { s.Shed = true },
	},
	{
		name:   "hangs",
		change: func(s *backend.Switches) { s.Hang = true },
	},
}

// Guards against retries that multiply from hop to hop. The deepest service fails
// in every way while nodes, applications and callers retry. No service may run a
// request more often than 1 + its retry tokens.
func TestPropertyRetriesAreBounded(t *testing.T) {
	depths := []struct {
		depth     int
		instances int
		seeds     int
	}{
		{
			depth:     4,
			instances: 2,
			seeds:     2,
		},
		{
			depth:     24,
			instances: 1,
			seeds:     1,
		},
	}
	for _, c := range depths {
		t.Run(fmt.Sprintf("depth-%d", c.depth), func(t *testing.T) {
			forSeeds(t, c.seeds, func(t *testing.T, random *rand.Rand) {
				checkRetries(t, random, c.depth, c.instances)
			})
		})
	}
}

func checkRetries(t *testing.T, random *rand.Rand, depth, instances int) {
	f := startFleet(t, "", chain(depth, instances, fleet.Service{
		Slots:       20,
		ServiceTime: time.Millisecond,
		Retries:     3,
	})...)
	f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
	deepest := fmt.Sprintf("hop%d", depth)
	for i, failure := range failures {
		prefix := fmt.Sprintf("/lookup/%d-", i)
		for _, node := range f.NodesOf(deepest) {
			node.Backend.UpdateSwitches(func(s *backend.Switches) {
				*s = backend.Switches{}
				failure.change(s)
			})
		}
		f.sendWithRetries(random, prefix, 10)
		f.checkRuns(failure.name, prefix)
	}
}

// sendWithRetries sends count look-ups at the same time and retries each failed one
// up to three times through the other entry nodes.
func (f *testFleet) sendWithRetries(random *rand.Rand, prefix string, count int) {
	entries := f.NodesOf(f.Nodes[0].Service.Name)
	var callers sync.WaitGroup
	for i := range count {
		order := random.Perm(len(entries))
		callers.Add(1)
		go func() {
			defer callers.Done()
			path := fmt.Sprintf("%s%d", prefix, i)
			for attempt := range 4 {
				ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
				answer := entries[order[attempt%len(order)]].Do(ctx, fleet.Call{
					Method:     "GET",
					Path:       path,
					RequestKey: "key-" + path[len("/lookup/"):],
				})
				cancel()
				if answer.Err == nil && answer.Status < 500 {
					return
				}
			}
		}()
	}
	callers.Wait()
}

// checkRuns checks that no service ran a request more often than 1 + lookupTokens.
func (f *testFleet) checkRuns(failure, prefix string) {
	f.t.Helper()
	runs := map[string]map[string]int{}
	for _, node := range f.Nodes {
		if runs[node.Service.Name] == nil {
			runs[node.Service.Name] = map[string]int{}
		}
		for _, run := range node.Backend.Runs() {
			if len(run.Path) > len(prefix) && run.Path[:len(prefix)] == prefix {
				runs[node.Service.Name][run.Path]++
			}
		}
	}
	most := 0
	for service, paths := range runs {
		for path, count := range paths {
			most = max(most, count)
			if count > 1+lookupTokens {
				f.t.Errorf("deepest service %s: %s ran %s %d times, more than 1 + %d", failure, service, path, count, lookupTokens)
			}
		}
	}
	f.t.Logf("deepest service %s: at most %d runs of one request at one service", failure, most)
}
