package history

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lagoonbarrow"
	"lagoonbarrow/internal/standin/fleet"
)

// leaveLimit is the bound after which a leaving instance gets no new work.
const leaveLimit = 3 * time.Second

// Guards against requests that are cut off by planned stops: every node is
// replaced in turn under load, and not one request may fail. Callers choose
// entry nodes as a load balancer does that reads /readyz every 300 ms.
func TestPropertyGracefulStopCutsNothing(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(3, 2, fleet.Service{
			Slots:       30,
			ServiceTime: 10 * time.Millisecond,
		})...)
		f.Apply(fleet.ContractFor("residents", fleet.APIKey))
		load := f.startLoad(random, 12)
		load.followReadiness()
		for _, node := range f.Nodes {
			if !node.Stop(20 * time.Second) {
				t.Errorf("%s did not stop", node.Name)
			}
			node.Start()
			f.Await(node.Name+" is ready again", fleet.StartTimeout, func() bool {
				return node.Ready() && node.InForce("residents").Version > 0
			})
		}
		load.stop()
		t.Logf("%d requests, %d failed", load.requests.Load(), load.failed.Load())
		if load.failed.Load() > 0 {
			t.Errorf("%d of %d requests failed; the first: %s", load.failed.Load(), load.requests.Load(), load.firstFailure())
		}
	})
}

// Guards against work that reaches an instance which is leaving, also from
// peers that were frozen or cut off when it was announced.
func TestPropertyLeavingReceivesNoWork(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 4, fleet.Service{
			Slots:       30,
			ServiceTime: 20 * time.Millisecond,
			Cuttable:    true,
		})...)
		f.Apply(fleet.ContractFor("residents", fleet.APIKey))
		load := f.startLoad(random, 12)
		time.Sleep(500 * time.Millisecond)
		leaving := f.Of("hop2")[random.IntN(4)]
		peer := f.Of("hop1")[random.IntN(4)]
		cutOff := f.Of("hop1")[random.IntN(4)]
		// The peer sleeps through the announcement and wakes with an old view.
		load.avoid(peer)
		time.Sleep(100 * time.Millisecond)
		peer.Freeze()
		// Another peer can't be told of it by anyone.
		cutOff.Cut()
		defer cutOff.Mend()
		began := time.Now()
		leaving.Signal(15)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		peer.Thaw()
		load.avoid(nil)
		time.Sleep(leaveLimit + time.Second)
		load.stop()
		last := time.Duration(0)
		for _, run := range leaving.Backend.Runs() {
			last = max(last, run.Start.Sub(began))
		}
		t.Logf("last new work %s after the leave began; %d requests, %d failed", last, load.requests.Load(), load.failed.Load())
		if last > leaveLimit {
			t.Errorf("new work started %s after the leave began", last)
		}
	})
}

// load is a number of callers that send look-ups one after another.
type load struct {
	fleet    *testFleet
	requests atomic.Int64
	failed   atomic.Int64
	ending   chan struct{}
	callers  sync.WaitGroup
	avoided  atomic.Pointer[fleet.Node]
	mu       sync.Mutex
	failure  string
	// notReady holds the entry nodes that answered so when last asked.
	notReady sync.Map
}

// readinessInterval is how often the callers' load balancer asks entry nodes.
const readinessInterval = 300 * time.Millisecond

// followReadiness keeps requests away from entry nodes that are not ready.
func (l *load) followReadiness() {
	for _, node := range l.fleet.Of(l.fleet.Nodes[0].Service.Name) {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			for {
				l.notReady.Store(node.Name, !node.Ready())
				select {
				case <-l.ending:
					return
				case <-time.After(readinessInterval):
				}
			}
		}()
	}
}

func (l *load) unready(node *fleet.Node) bool {
	state, known := l.notReady.Load(node.Name)
	return known && state.(bool)
}

func (f *testFleet) startLoad(random *rand.Rand, callers int) *load {
	l := &load{
		fleet:  f,
		ending: make(chan struct{}),
	}
	for caller := range callers {
		picks := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			for number := 0; ; number++ {
				select {
				case <-l.ending:
					return
				default:
				}
				l.once(picks, fmt.Sprintf("%d-%d", caller, number))
			}
		}()
	}
	return l
}

func (l *load) once(random *rand.Rand, id string) {
	entries := l.fleet.Of(l.fleet.Nodes[0].Service.Name)
	node := entries[random.IntN(len(entries))]
	if node == l.avoided.Load() || l.unready(node) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer := node.Do(ctx, fleet.Call{
		Method: "GET",
		Path:   "/lookup/" + id,
	})
	l.requests.Add(1)
	if answer.Err == nil && answer.Status == 200 && answer.Outcome == string(lagoonbarrow.OutcomeDone) {
		return
	}
	l.failed.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failure == "" {
		l.failure = fmt.Sprintf("%s at %s: %v %d %s %s", id, node.Name, answer.Err, answer.Status, answer.Outcome, answer.Body)
	}
}

// avoid takes a node out of the callers' list; nil puts it back.
func (l *load) avoid(node *fleet.Node) {
	l.avoided.Store(node)
}

func (l *load) stop() {
	close(l.ending)
	l.callers.Wait()
}

func (l *load) firstFailure() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}
