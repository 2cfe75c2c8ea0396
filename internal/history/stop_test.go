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

// leaveLimit is the time after which a leaving instance receives no new calls.
const leaveLimit = 3 * time.Second

// Guards against requests that are cut off by planned stops. Every node is
// restarted in turn under load, and no request may fail. Callers choose entry nodes
// like a load balancer that polls /readyz every 300 ms.
func TestPropertyGracefulStopCutsNothing(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(3, 2, fleet.Service{
			Slots:       30,
			ServiceTime: 10 * time.Millisecond,
		})...)
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		load := f.startLoad(random, 12)
		load.followReadiness()
		for _, node := range f.Nodes {
			if !node.Stop(20 * time.Second) {
				t.Errorf("%s did not stop", node.Name)
			}
			node.Start()
			f.Await(node.Name+" is ready again", fleet.StartTimeout, func() bool {
				return node.Ready() && node.ContractInForce("residents").Version > 0
			})
		}
		load.stop()
		t.Logf("%d requests, %d failed", load.requests.Load(), load.failed.Load())
		if load.failed.Load() > 0 {
			t.Errorf("%d of %d requests failed; the first: %s", load.failed.Load(), load.requests.Load(), load.firstFailure())
		}
	})
}

// Guards against new calls to a leaving instance, also from peers that were frozen
// or disconnected when it announced its leaving.
func TestPropertyLeavingReceivesNoWork(t *testing.T) {
	forSeeds(t, 2, func(t *testing.T, random *rand.Rand) {
		f := startFleet(t, "", chain(2, 4, fleet.Service{
			Slots:       30,
			ServiceTime: 20 * time.Millisecond,
			PeerProxy:   true,
		})...)
		f.ApplyContract(fleet.ContractFor("residents", fleet.APIKey))
		load := f.startLoad(random, 12)
		time.Sleep(500 * time.Millisecond)
		leaving := f.NodesOf("hop2")[random.IntN(4)]
		frozen := f.NodesOf("hop1")[random.IntN(4)]
		disconnected := f.NodesOf("hop1")[random.IntN(4)]
		// The frozen peer misses the announcement and resumes with an outdated member list.
		load.exclude(frozen)
		time.Sleep(100 * time.Millisecond)
		frozen.Freeze()
		// No other node can connect to this peer to announce the leaving.
		disconnected.CutPeerConnections()
		defer disconnected.RestorePeerConnections()
		began := time.Now()
		leaving.Signal(15)
		time.Sleep(time.Duration(random.IntN(1500)) * time.Millisecond)
		frozen.Unfreeze()
		load.exclude(nil)
		time.Sleep(leaveLimit + time.Second)
		load.stop()
		last := time.Duration(0)
		for _, run := range leaving.Backend.Runs() {
			last = max(last, run.Start.Sub(began))
		}
		t.Logf("last new call %s after the leave began; %d requests, %d failed", last, load.requests.Load(), load.failed.Load())
		if last > leaveLimit {
			t.Errorf("a new call started %s after the leave began", last)
		}
	})
}

// load runs concurrent callers that each send one look-up after another.
type load struct {
	fleet    *testFleet
	requests atomic.Int64
	failed   atomic.Int64
	stopping chan struct{}
	callers  sync.WaitGroup
	excluded atomic.Pointer[fleet.Node]
	mu       sync.Mutex
	// failure describes the first failed request.
	failure string
	// notReady maps the name of each entry node to whether its last readiness check failed.
	notReady sync.Map
}

// readinessInterval is the time between two readiness checks of an entry node.
const readinessInterval = 300 * time.Millisecond

// followReadiness polls the readiness of the entry nodes and stops requests to those
// that are not ready.
func (l *load) followReadiness() {
	for _, node := range l.fleet.NodesOf(l.fleet.Nodes[0].Service.Name) {
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			for {
				l.notReady.Store(node.Name, !node.Ready())
				select {
				case <-l.stopping:
					return
				case <-time.After(readinessInterval):
				}
			}
		}()
	}
}

func (l *load) unready(node *fleet.Node) bool {
	notReady, found := l.notReady.Load(node.Name)
	return found && notReady.(bool)
}

// startLoad starts the given number of callers, which run until stop.
func (f *testFleet) startLoad(random *rand.Rand, callers int) *load {
	l := &load{
		fleet:    f,
		stopping: make(chan struct{}),
	}
	for caller := range callers {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), uint64(caller)))
		l.callers.Add(1)
		go func() {
			defer l.callers.Done()
			for number := 0; ; number++ {
				select {
				case <-l.stopping:
					return
				default:
				}
				l.sendLookup(callerRandom, fmt.Sprintf("%d-%d", caller, number))
			}
		}()
	}
	return l
}

func (l *load) sendLookup(random *rand.Rand, id string) {
	entries := l.fleet.NodesOf(l.fleet.Nodes[0].Service.Name)
	node := entries[random.IntN(len(entries))]
	if node == l.excluded.Load() || l.unready(node) {
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

// exclude stops requests to one entry node. With nil no node is excluded.
func (l *load) exclude(node *fleet.Node) {
	l.excluded.Store(node)
}

func (l *load) stop() {
	close(l.stopping)
	l.callers.Wait()
}

func (l *load) firstFailure() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failure
}
