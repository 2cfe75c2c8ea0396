package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
)

// arrival is a request of the overload and what its caller heard.
type arrival struct {
	kind   string
	at     time.Time
	took   time.Duration
	answer fleet.Response
}

// Guards against filings that are refused for overload while browsing is still
// served: twice the capacity of the deepest service arrives through several
// entry nodes, most of it browsing.
func TestPropertyFilingsAreShedLast(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "",
			fleet.Service{
				Name:        "minutes",
				Instances:   3,
				Slots:       20,
				ServiceTime: 10 * time.Millisecond,
				Downstream:  []lagoonbarrow.ServiceName{"registry"},
			},
			fleet.Service{
				Name:        "registry",
				Instances:   2,
				Slots:       5,
				ServiceTime: 20 * time.Millisecond,
			},
		)
		f.Apply(fleet.ContractFor("residents", fleet.APIKey))
		// The registry serves 2 x 5 / 20 ms = 500 calls a second.
		arrivals := f.overload(random, 1000, 5*time.Second)
		f.checkShedding(arrivals)
	})
}

// overload sends open-loop arrivals: a tenth filings, three tenths look-ups and
// six tenths browsing.
func (f *testFleet) overload(random *rand.Rand, perSecond int, duration time.Duration) []arrival {
	kinds := []string{"filing", "lookup", "lookup", "lookup", "browse", "browse", "browse", "browse", "browse", "browse"}
	count := int(duration.Seconds() * float64(perSecond))
	arrivals := make([]arrival, count)
	entries := f.Of(f.Nodes[0].Service.Name)
	var pending sync.WaitGroup
	started := time.Now()
	for position := range arrivals {
		due := started.Add(time.Duration(position) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(due))
		kind := kinds[random.IntN(len(kinds))]
		node := entries[random.IntN(len(entries))]
		pending.Add(1)
		go func() {
			defer pending.Done()
			arrivals[position] = f.arrive(node, kind, position)
		}()
	}
	pending.Wait()
	return arrivals
}

func (f *testFleet) arrive(node *fleet.Node, kind string, number int) arrival {
	request := fleet.Call{
		Method: "GET",
		Path:   fmt.Sprintf("/%s/%d", kind, number),
	}
	if kind == "filing" {
		request.Method = "POST"
		request.Key = fmt.Sprintf("filing-%d", number)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	at := time.Now()
	answer := node.Do(ctx, request)
	return arrival{
		kind:   kind,
		at:     at,
		took:   time.Since(at),
		answer: answer,
	}
}

func (f *testFleet) checkShedding(arrivals []arrival) {
	f.t.Helper()
	served := map[string]int{}
	refused := map[string]int{}
	browsing := 0
	for _, current := range arrivals {
		if current.answer.Err == nil && current.answer.Status == 200 {
			served[current.kind]++
			continue
		}
		refused[current.kind]++
		if current.kind == "filing" {
			f.t.Errorf("a filing was refused: %v %d %s %s", current.answer.Err, current.answer.Status, current.answer.Reason, current.answer.Body)
		}
	}
	browsing = served["browse"]
	f.t.Logf("served %v, refused %v", served, refused)
	if browsing == 0 || refused["browse"] == 0 {
		f.t.Error("browsing was not partly shed, so nothing was proved")
	}
}
